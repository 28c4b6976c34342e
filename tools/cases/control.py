"""Control traffic, processor time and memory per process, projected to full size.

A fleet grows from 5 to 50 engines and from 2 to 8 routers. At each size it is measured
idle, when all traffic is control traffic, and under load. The whole fleet is in one
data centre. The figure of a size is the mean over its agents or its routers.

Metrics, each given by the three coefficients of ``base + per_engine x engines +
per_router x routers``; ``<role>`` is ``agent`` or ``router``:

- ``bytes_per_s_per_<role>_base``, ``_per_engine``, ``_per_router``: bytes sent and
  received by one process, idle, counted on the wire with TCP, UDP and IP headers,
  at its peer port and at the store and the instance list.
- ``loaded_bytes_per_s_per_<role>_...``: the same, plus the control bytes of the
  requests that one process handles at peak load.
- ``packets_per_s_per_<role>_...``: packets, counted in the same way.
- ``bytes_per_request_per_<role>``: control bytes that one request adds at one process:
  those of the frames sent, as counted by the processes, under load minus idle, doubled
  to include those received, with 40 bytes of headers for each frame.
- ``list_bytes_per_<role>_...``: length of the instance list's document, which is read
  in full after each change.
- ``core_share_per_<role>_...``: processor seconds per second, idle.
- ``memory_mb_per_<role>_...``: resident memory beyond that of a process that has only
  imported the modules of the role; ``memory_mb_<role>_imported`` is the latter.

``projected_bytes_per_s``, ``projected_core_share`` and ``projected_memory_mb`` are
projected from the slopes for the worse role at 600 routers and 12,000 engines in 26
data centres: a process talks to those of its own data centre, 461 engines and 23
routers. The projected bytes are those of an idle process plus those of its requests at
the peak, 26,000 requests a second in the whole fleet.
"""

import asyncio
import json
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace
from random import Random

from fleets import (
    Endpoint,
    Fleet,
    publish_list,
    read_metrics,
    start_agent,
    start_routers,
    wait_ready,
)
from packets import Counter, count_packets, sum_ports
from plots import Picture, Series, draw_lines, make_table
from processes import Process, read_cpu_s, read_rss_mb
from progress import show_progress
from replays import Replay, play
from results import CaseResult, Target
from slopes import Point, Slope, fit_slope
from stages import DATA_CENTRE, Stage, run_stage
from workloads import ChatFlow, chat_turns, make_teams

from pulley_base import Clock
from pulley_standins.engines import EngineSettings, start_engine

SIZES = ((5, 2), (10, 4), (25, 4), (50, 8))
LONG_SIZE_SERIES = tuple(
    tuple((n_engines, n_routers) for n_engines in (5, 10, 25, 50))
    for n_routers in (2, 4, 8)
)
TARGET_ENGINES = 12_000
TARGET_ROUTERS = 600
TARGET_DATA_CENTRES = 26
MAX_BYTES_PER_S = 6_000
MAX_CORE_SHARE = 0.047
MAX_MEMORY_MB = 32
SETTLE_S = 2.5
IDLE_S = 2.5
LOADED_MS = 1_300
LONG_FACTOR = 2
LOAD_RATE_PER_S = 20
HEADER_BYTES = 40
N_STARTING_AT_ONCE = 16
REPORT_LAG_MS = 2_000
ROLES = ("agent", "router")
KINDS = {
    "bytes_per_s": "bytes/s",
    "packets_per_s": "packets/s",
    "core_share": "core share",
    "memory_mb": "memory, MB",
    "list_bytes": "list, bytes",
}
MODULES = {"agent": "pulley_agent.app", "router": "pulley_router.app"}
PER_REQUEST = "bytes_per_request"
TARGET_REQUESTS_PER_S = 26_000
TARGET_COUNTS = {"agent": TARGET_ENGINES, "router": TARGET_ROUTERS}
COLUMN_HEADINGS = ("role", "engines", "routers", *KINDS.values(), "bytes/request")


@dataclass(frozen=True, slots=True)
class LocalEngine:
    """An engine stand-in that runs in the process of the bench."""

    address: str


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


async def run(seed: int, long: bool) -> CaseResult:
    """Measure each size and project the figures to the target's size."""
    factor = LONG_FACTOR if long else 1
    measurements = []
    for sizes in LONG_SIZE_SERIES if long else (SIZES,):
        async for at_size in measure_sizes(sizes, seed, factor):
            measurements += at_size
    imported_mb = {role: await measure_imports(MODULES[role]) for role in ROLES}
    return report(measurements, imported_mb)


async def measure_sizes(
    sizes: Sequence[tuple[int, int]], seed: int, factor: int
) -> AsyncIterator[list[Measurement]]:
    """Grow one fleet through ``sizes``, and yield the measurements at each size.

    A size is a pair: number of engines, number of routers.
    """
    stage = Stage(
        n_engines=0,
        n_routers=0,
        team_names=tuple(team.name for team in make_teams()),
    )
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(run_stage(stage))
        for n_engines, n_routers in sizes:
            show_progress(f"{n_engines} engines, {n_routers} routers")
            await grow(fleet, n_engines, n_routers)
            await asyncio.sleep(SETTLE_S * factor)
            idle = await measure_idle(fleet, IDLE_S * factor)
            await measure_loaded(fleet, idle, seed, LOADED_MS * factor)
            yield idle


async def grow(fleet: Fleet, n_engines: int, n_routers: int) -> None:
    """Start endpoints and routers until the fleet has the given numbers of each."""
    start_limit = asyncio.Semaphore(N_STARTING_AT_ONCE)
    n_missing = n_engines - len(fleet.endpoints)
    additions = [add_endpoint(fleet, start_limit) for _ in range(n_missing)]
    fleet.endpoints += await asyncio.gather(*additions)
    running = fleet.routers
    fleet.routers = []
    places = (DATA_CENTRE,) * (n_routers - len(running))
    fleet.plan = replace(fleet.plan, name=f"{n_routers}", router_places=places)
    await start_routers(fleet)
    fleet.routers = running + fleet.routers
    fleet.plan = replace(fleet.plan, router_places=(DATA_CENTRE,) * n_routers)
    publish_list(fleet)
    await wait_ready(fleet)


async def add_endpoint(fleet: Fleet, start_limit: asyncio.Semaphore) -> Endpoint:
    """Start an engine in the process of the bench, and an agent for it."""
    settings = EngineSettings(slots=4, report_lag_ms=REPORT_LAG_MS)
    engine = LocalEngine(await start_engine(settings))
    service = fleet.plan.services[0]
    name = f"agent-{engine.address.rpartition(':')[2]}"
    async with start_limit:
        agent = await start_agent(fleet, service, DATA_CENTRE, name, engine)
    return Endpoint(service.name, DATA_CENTRE, engine, agent)


def find_processes(fleet: Fleet, role: str) -> list[Process]:
    """Return the processes of a role, ``agent`` or ``router``."""
    if role == "router":
        return list(fleet.routers)
    return [endpoint.agent for endpoint in fleet.endpoints]


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


def report(
    measurements: list[Measurement], imported_mb: dict[str, float]
) -> CaseResult:
    """Build the result: slopes, projections, the table and a chart.

    Subtracts the memory of the imported modules from the measurements in place.
    """
    for measurement in measurements:
        measurement.figures["memory_mb"] -= imported_mb[measurement.role]
    slopes = {
        (role, kind): fit_figure(measurements, role, kind)
        for role in ROLES
        for kind in KINDS
    }
    per_request = {role: mean_per_request(measurements, role) for role in ROLES}
    metrics = {
        "projected_bytes_per_s": max(
            project_role(slopes, role, "bytes_per_s")
            + per_request[role] * TARGET_REQUESTS_PER_S / TARGET_COUNTS[role]
            for role in ROLES
        ),
        "projected_core_share": project(slopes, "core_share"),
        "projected_memory_mb": project(slopes, "memory_mb"),
    }
    for (role, kind), slope in slopes.items():
        metrics[f"{kind}_per_{role}_base"] = slope.base
        metrics[f"{kind}_per_{role}_per_engine"] = slope.per_engine
        metrics[f"{kind}_per_{role}_per_router"] = slope.per_router
    for role in ROLES:
        metrics[f"{PER_REQUEST}_per_{role}"] = per_request[role]
        metrics |= find_loaded(role, slopes[role, "bytes_per_s"], per_request[role])
        metrics[f"projected_bytes_per_s_{role}_idle"] = project_role(
            slopes, role, "bytes_per_s"
        )
        metrics[f"memory_mb_{role}_imported"] = imported_mb[role]
    targets = {
        "projected_bytes_per_s": Target("<", MAX_BYTES_PER_S),
        "projected_core_share": Target("<", MAX_CORE_SHARE),
        "projected_memory_mb": Target("<", MAX_MEMORY_MB),
    }
    table = make_table(
        COLUMN_HEADINGS, [make_row(measurement) for measurement in measurements]
    )
    return CaseResult(metrics, targets, table, lambda: draw_picture(measurements))


def fit_figure(measurements: list[Measurement], role: str, kind: str) -> Slope:
    """Fit the slope of one kind of figure of one role over all sizes."""
    points = [
        Point(measurement.n_engines, measurement.n_routers, measurement.figures[kind])
        for measurement in measurements
        if measurement.role == role
    ]
    return fit_slope(points)


def mean_per_request(measurements: list[Measurement], role: str) -> float:
    """Return the control bytes per request at one role, as the mean over all sizes."""
    values = [
        measurement.figures[PER_REQUEST]
        for measurement in measurements
        if measurement.role == role
    ]
    return sum(values) / len(values)


def find_loaded(role: str, idle: Slope, bytes_per_request: float) -> dict:
    """Return the coefficients of the bytes per second under load at one role.

    They are those of the idle bytes, with the bytes of the requests added to the base.
    """
    requests_per_s = TARGET_REQUESTS_PER_S / TARGET_COUNTS[role]
    name = f"loaded_bytes_per_s_per_{role}"
    return {
        f"{name}_base": idle.base + bytes_per_request * requests_per_s,
        f"{name}_per_engine": idle.per_engine,
        f"{name}_per_router": idle.per_router,
    }


def project(slopes: dict[tuple[str, str], Slope], kind: str) -> float:
    """Return a kind's projected figure at the target's size for the worse role."""
    return max(project_role(slopes, role, kind) for role in ROLES)


def project_role(slopes: dict[tuple[str, str], Slope], role: str, kind: str) -> float:
    """Return a kind's projected figure at the target's size for one role."""
    n_engines = TARGET_ENGINES / TARGET_DATA_CENTRES
    n_routers = TARGET_ROUTERS / TARGET_DATA_CENTRES
    return slopes[role, kind].project(n_engines, n_routers)


def make_row(measurement: Measurement) -> tuple:
    """Return the table row of one role at one size."""
    figures = [measurement.figures[kind] for kind in (*KINDS, PER_REQUEST)]
    return (measurement.role, measurement.n_engines, measurement.n_routers, *figures)


def draw_picture(measurements: list[Measurement]) -> None:
    """Draw the bytes per second of an idle process by size, one line for each role."""
    series = []
    for role in ROLES:
        of_role = [
            measurement for measurement in measurements if measurement.role == role
        ]
        xs = [measurement.n_engines + measurement.n_routers for measurement in of_role]
        ys = [measurement.figures["bytes_per_s"] for measurement in of_role]
        series.append(Series(role, xs, ys))
    title = "Control traffic of one idle process"
    picture = Picture("control", title, "processes", "bytes/s", series, MAX_BYTES_PER_S)
    draw_lines(picture, marker="o")
