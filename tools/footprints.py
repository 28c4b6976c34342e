"""What one process costs a fleet: traffic, processor time and memory.

A figure of a role is the mean over its agents or its routers.
"""

import asyncio
import json
import sys
from dataclasses import dataclass, field
from random import Random

from fleets import Fleet, read_metrics
from growth import ROLES, find_processes
from packets import Counter, count_packets, sum_ports
from processes import Process, read_cpu_s, read_rss_mb
from replays import Replay, play
from workloads import ChatFlow, chat_turns, make_teams

from pulley_base import Clock

LOAD_RATE_PER_S = 20
HEADER_BYTES = 40
PER_REQUEST = "bytes_per_request"


@dataclass(slots=True)
class Measurement:
    """The mean figures of one role at one fleet size, by kind.

    ``sent_bytes_per_s`` is the control bytes that an idle process sends each second,
    as counted by the process.
    """

    role: str
    n_engines: int
    n_routers: int
    figures: dict[str, float] = field(default_factory=dict)
    sent_bytes_per_s: float = 0.0


def peer_port(process: Process, role: str) -> int:
    """Return the port at which other processes reach this one."""
    name = "peer" if role == "router" else "address"
    return parse_port(process.addresses[name])


def parse_port(address: str) -> int:
    """Return the port of an address ``IP:port``."""
    return int(address.rpartition(":")[2])


async def measure_idle(fleet: Fleet, window_s: float) -> list[Measurement]:
    """Measure each role over ``window_s`` without requests.

    Raises RuntimeError if the packet counter missed packets.
    """
    processes = {role: find_processes(fleet, role) for role in ROLES}
    n_engines, n_routers = (len(processes[role]) for role in ROLES)
    sent = {role: await read_sent(fleet, role) for role in ROLES}
    before = {role: sum(map(read_cpu_s, processes[role])) for role in ROLES}
    with count_packets() as counter:
        clock = Clock()
        start_ms = clock.now_ms()
        await asyncio.sleep(window_s)
        elapsed_s = (clock.now_ms() - start_ms) / 1_000
    after = {role: sum(map(read_cpu_s, processes[role])) for role in ROLES}
    if counter.n_dropped:
        raise RuntimeError(f"{counter.n_dropped} packets were not counted")
    platform_share = find_platform_share(fleet, counter)
    measurements = []
    for role in ROLES:
        ports = [peer_port(process, role) for process in processes[role]]
        tally = sum_ports(counter, ports)
        n = len(ports)
        cpu_s = after[role] - before[role]
        figures = {
            "bytes_per_s": (tally.n_bytes / n + platform_share.n_bytes) / elapsed_s,
            "packets_per_s": (tally.n_packets / n + platform_share.n_packets)
            / elapsed_s,
            "core_share": cpu_s / n / elapsed_s,
            "memory_mb": sum(map(read_rss_mb, processes[role])) / n,
            "list_bytes": len(json.dumps(fleet.instances.versions[-1].groups)),
        }
        sent_bytes = await read_sent(fleet, role) - sent[role]
        sent_bytes_per_s = sent_bytes / elapsed_s
        measurements.append(
            Measurement(role, n_engines, n_routers, figures, sent_bytes_per_s)
        )
    return measurements


def find_platform_share(fleet: Fleet, counter: Counter):
    """Return the mean traffic of one process with the store and the instance list."""
    addresses = (fleet.store_address, fleet.list_address)
    tally = sum_ports(counter, map(parse_port, addresses))
    n_processes = len(fleet.endpoints) + len(fleet.routers)
    tally.n_bytes /= n_processes
    tally.n_packets /= n_processes
    return tally


async def measure_loaded(
    fleet: Fleet, idle: list[Measurement], seed: int, duration_ms: float
) -> None:
    """Measure the fleet under load; add the bytes per request to the idle figures."""
    clock = Clock()
    start_ms = clock.now_ms()
    before = {role: await read_sent(fleet, role) for role in ROLES}
    addresses = [router.address for router in fleet.routers]
    service = fleet.plan.services[0].name
    flow = ChatFlow(
        seed,
        n_chats=200,
        rate_per_s=LOAD_RATE_PER_S,
        duration_ms=duration_ms,
        teams=make_teams(),
        prefix=f"chat-{len(fleet.endpoints)}-{len(addresses)}",
    )
    ended = await play(make_replay(service, addresses, seed), chat_turns(flow))
    elapsed_s = (clock.now_ms() - start_ms) / 1_000
    for measurement in idle:
        sent = await read_sent(fleet, measurement.role) - before[measurement.role]
        n_processes = len(find_processes(fleet, measurement.role))
        added_bytes = (
            max(0.0, sent - measurement.sent_bytes_per_s * elapsed_s) * n_processes
        )
        measurement.figures[PER_REQUEST] = 2 * added_bytes / len(ended)


def make_replay(service: str, addresses: list[str], seed: int) -> Replay:
    """Return a replay that sends its requests to the given routers."""
    return Replay(service, lambda: addresses, Random(seed))


async def read_sent(fleet: Fleet, role: str) -> float:
    """Return the mean control bytes sent by a process of a role, with headers."""
    processes = find_processes(fleet, role)
    metrics = await asyncio.gather(
        *(read_metrics(fleet, process.addresses["admin"]) for process in processes)
    )
    n_bytes = sum(each["plantainpulley_control_bytes_sent"] for each in metrics)
    n_frames = sum(each["plantainpulley_control_frames_sent"] for each in metrics)
    return (n_bytes + HEADER_BYTES * n_frames) / len(processes)


async def measure_imports(module: str) -> float:
    """Return the resident memory, in MB, of a process that only imported a module."""
    code = f"import {module}, sys; print('ready', flush=True); sys.stdin.read()"
    handle = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        code,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    await handle.stdout.readline()
    memory_mb = read_rss_mb(Process(module, None, handle))
    handle.stdin.close()
    await handle.wait()
    return memory_mb
