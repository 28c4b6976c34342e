"""Run real routers under faults drawn from a seed, and check the guarantees to callers.

``python tests/soak/soak.py --seeds 50 --seconds 8`` runs 50 seeds one after the other
and prints, for each seed that failed, the guarantees that were violated.
"""

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from asyncio.subprocess import Process
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests" / "soak"), str(ROOT / "tests" / "direct" / "steps")]

from faults import FAULTS  # noqa: E402
from pulley_platform_standins.endpoints import (  # noqa: E402
    StandInEndpoint,
    header_text,
    list_endpoint,
    start_endpoint,
)
from pulley_platform_standins.processes import (  # noqa: E402
    READY_MS,
    ROUTER_SETTINGS,
    draw_peer_ip,
    reserve_address,
    wait_ready,
)
from pulley_platform_standins.stores import (  # noqa: E402
    StandInStore,
    StoreFault,
    put_document,
    start_store,
)
from scenes import CHAT, LOOKUP, ONCE, ORDER, configuration, send_call  # noqa: E402

from pulley_base import Clock  # noqa: E402
from pulley_http import Client, Request, close_client  # noqa: E402
from pulley_standins.relays import Relay, open_relay, relay_address, reset_connections  # noqa: E402

N_EVENTS = 6
REVOKE_MS = 3_000
CONFIGURATION_MS = 1_000
GRACE_S = 5
RECOVERY_S = 4.0
FAULT_FREE_S = 1.5
CLOSE_DELAY_S = 0.1
PATIENCE_MS = 4_000
# Characters of a log that are shown of a router that ended at its start.
LOG_END_LENGTH = 2_000
SETTINGS = (
    ROUTER_SETTINGS
    + """
[bounds]
graceS = {grace}
revokeMs = {revoke}
configMs = {configuration}
"""
)


@dataclass(frozen=True, slots=True)
class FleetSize:
    """How many routers, callers and, for each of two services, endpoints take part."""

    routers: int = 3
    endpoints: int = 3
    callers: int = 8


@dataclass(slots=True)
class Slot:
    """One router's fixed addresses and the process that serves them at the moment."""

    name: str
    front_address: str
    ready_address: str
    peer_ip: str
    settings: Path
    process: Process | None = None
    restarting: bool = False


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One request, when it was sent, and the answer that its caller got.

    ``process_id`` is that of the router. ``after_faults`` is True if it was sent after
    the faults had ended.
    """

    request_id: str
    process_id: int
    path: str
    token: str
    sent_ms: int
    answered_ms: int
    after_faults: bool
    answer: object


@dataclass(slots=True)
class Fleet:
    """The processes, settings and relays of one seed, and what its callers saw.

    ``leavings`` has, for each endpoint that said in its answers that it leaves, its
    name and the requests that it got from then on.
    """

    store: StandInStore
    folder: Path
    clock: Clock = field(default_factory=Clock)
    relays: list[Relay] = field(default_factory=list)
    endpoints: list[StandInEndpoint] = field(default_factory=list)
    relay_addresses: dict[str, str] = field(default_factory=dict)
    slots: list[Slot] = field(default_factory=list)
    tokens: list[str] = field(default_factory=lambda: ["t-0", "t-1", "t-2"])
    revoked_ms: dict[str, int] = field(default_factory=dict)
    version: int = 1
    after_faults: bool = False
    sent: list[SentRequest] = field(default_factory=list)
    leavings: list[tuple[str, list[Request]]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def address_of(self, endpoint: StandInEndpoint) -> str:
        """Return the address of the relay through which routers reach an endpoint."""
        return self.relay_addresses[endpoint.name]

    def publish(self) -> None:
        """Write the configuration to the store under a new version."""
        self.version += 1
        document = configuration(self.version, self.tokens)
        put_document(self.store, "op/config", document)

    def revoke(self, token: str) -> None:
        """Replace one token by a new one and record when that was published."""
        self.tokens.remove(token)
        self.tokens.append(f"t-{self.version + 10}")
        self.publish()
        self.revoked_ms[token] = self.clock.now_ms()

    async def restart(self, slot: Slot, signal_number: int) -> None:
        """End a router's process by a signal and start another one in its slot."""
        slot.restarting = True
        slot.process.send_signal(signal.SIGCONT)
        slot.process.send_signal(signal_number)
        status = await slot.process.wait()
        if signal_number == signal.SIGTERM and status != 0:
            self.violations.append(
                f"{slot.name} exited with status {status} after SIGTERM, expected 0"
            )
        await start_process(slot)
        slot.restarting = False


async def start_process(slot: Slot) -> None:
    """Start a router in its slot; its log goes to a file beside its settings.

    Raises RuntimeError with the end of the log if the process ends at once.
    """
    environment = os.environ | {"PLANTAINPULLEY_BOOT": str(slot.settings)}
    with slot.settings.with_suffix(".log").open("ab") as log:
        slot.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pulley_adapter",
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    if not await wait_for_sigterm_handling(slot.process):
        await slot.process.wait()
        raise RuntimeError(describe_process(slot))


def describe_process(slot: Slot) -> str:
    """Say whether a router's process has ended, with which status and last lines."""
    status = slot.process.returncode
    if status is None:
        return f"{slot.name} is running"
    text = slot.settings.with_suffix(".log").read_text(errors="replace")
    return f"{slot.name} exited with status {status}:\n{text[-LOG_END_LENGTH:]}"


async def wait_for_sigterm_handling(process: Process) -> bool:
    """Wait until a process blocks or catches SIGTERM; return False if it has ended.

    The program blocks it in the first line it runs. Before that line the interpreter
    is still loading, and the signal has the kernel's default action.
    """
    status = Path(f"/proc/{process.pid}/status")
    while True:
        try:
            text = status.read_text()
        except (FileNotFoundError, ProcessLookupError):
            return False
        rows = dict(row.split(":", 1) for row in text.splitlines())
        masks = int(rows["SigBlk"], 16) | int(rows["SigCgt"], 16)
        if masks & 1 << (signal.SIGTERM - 1):
            return True
        if rows["State"].split()[0] == "Z":
            return False
        await asyncio.sleep(0.002)


async def start_fleet(folder: Path, size: FleetSize) -> Fleet:
    """Start the store, the endpoints behind relays, and the routers."""
    fleet = Fleet(await start_store(), folder)
    fleet.publish()
    for service in ("shop", "model"):
        for number in range(size.endpoints):
            name = f"{service}-{number}"
            endpoint = await start_endpoint(
                name, service, n_events=N_EVENTS, event_ms=30
            )
            relay = await open_relay(endpoint.address)
            fleet.relays.append(relay)
            fleet.endpoints.append(endpoint)
            fleet.relay_addresses[name] = relay_address(relay)
            list_endpoint(fleet.store, endpoint, "ready", fleet.relay_addresses[name])
    for number in range(size.routers):
        await add_router(fleet, f"router-{number}")
    return fleet


async def add_router(fleet: Fleet, name: str) -> None:
    """Start one router that reaches the store through its own relay."""
    relay = await open_relay(fleet.store.address)
    fleet.relays.append(relay)
    path = fleet.folder / f"{name}.toml"
    addresses = reserve_address(), reserve_address()
    slot = Slot(name, *addresses, draw_peer_ip(), path)
    write_settings(slot, relay_address(relay))
    fleet.slots.append(slot)
    await start_process(slot)


def write_settings(slot: Slot, store_address: str) -> None:
    """Write the settings file of a router."""
    slot.settings.write_text(
        SETTINGS.format(
            name=slot.name,
            ip=slot.peer_ip,
            front=slot.front_address,
            ready=slot.ready_address,
            store=store_address,
            grace=GRACE_S,
            revoke=REVOKE_MS,
            configuration=CONFIGURATION_MS,
        )
    )


async def wait_all_ready(fleet: Fleet, limit_ms: int = READY_MS) -> None:
    """Wait until every router reports ready; record a violation for each that does not.

    ``limit_ms`` is for all routers together.
    """
    client = Client()
    deadline_ms = fleet.clock.deadline_ms(limit_ms)
    for slot in fleet.slots:
        left_ms = deadline_ms - fleet.clock.now_ms()
        if not await wait_ready(client, slot.ready_address, left_ms):
            fleet.violations.append(
                f"{slot.name} did not become ready within {limit_ms} ms: "
                + describe_process(slot)
            )
    close_client(client)


async def run_caller(fleet: Fleet, number: int, random: Random) -> None:
    """Send one request after the other over kept-alive connections, without retries."""
    client = Client(connect_timeout_ms=500)
    count = 0
    while True:
        count += 1
        slot = random.choice(fleet.slots)
        token = random.choice([*fleet.tokens, *list(fleet.revoked_ms)[-1:]])
        path = random.choice([LOOKUP, ORDER, ORDER, CHAT, ONCE])
        request_id = f"c{number}-{count}"
        sent_ms, after_faults = fleet.clock.now_ms(), fleet.after_faults
        process_id = slot.process.pid
        answer = await send_call(
            client,
            slot.front_address,
            path,
            request_id=request_id,
            token=token,
            timeout_ms=2_000,
            parts=f"aa:100,b{random.randint(0, 5)}:50",
        )
        fleet.sent.append(
            SentRequest(
                request_id,
                process_id,
                path,
                token,
                sent_ms,
                fleet.clock.now_ms(),
                after_faults,
                answer,
            )
        )
        await asyncio.sleep(random.uniform(0.0, 0.05))


async def inject_faults(fleet: Fleet, seconds: float, random: Random) -> None:
    """Start faults that may overlap for ``seconds``, and wait until all have ended."""
    end_ms = fleet.clock.deadline_ms(int(seconds * 1_000))
    running = []
    while fleet.clock.now_ms() < end_ms:
        fault = random.choice(FAULTS)
        running.append(asyncio.create_task(fault(fleet, random)))
        await asyncio.sleep(random.uniform(0.1, 0.6))
    await asyncio.gather(*running)
    fleet.store.fault = StoreFault.NONE


async def run_seed(
    seed: int, seconds: float, folder: Path, size: FleetSize = FleetSize()
) -> Fleet:
    """Run one seed: faults, recovery, then a time in which requests must succeed."""
    fleet = await start_fleet(folder, size)
    callers = []
    try:
        await wait_all_ready(fleet)
        callers = [
            asyncio.create_task(run_caller(fleet, number, Random(f"{seed}-{number}")))
            for number in range(size.callers)
        ]
        await inject_faults(fleet, seconds, Random(seed))
        await asyncio.sleep(RECOVERY_S)
        await wait_all_ready(fleet)
        fleet.after_faults = True
        await asyncio.sleep(FAULT_FREE_S)
    finally:
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await close_fleet(fleet)
    check_guarantees(fleet)
    return fleet


async def close_fleet(fleet: Fleet) -> None:
    """Kill the processes that this run started, by id; close its servers and relays."""
    for slot in fleet.slots:
        if slot.process.returncode is None:
            slot.process.kill()
            await slot.process.wait()
    for server in [fleet.store.server, *(each.server for each in fleet.endpoints)]:
        server.listener.close()
        for connection in list(server.connections):
            connection.abort()
    for relay in fleet.relays:
        relay.listener.close()
        reset_connections(relay)
    await asyncio.sleep(CLOSE_DELAY_S)


def check_guarantees(fleet: Fleet) -> None:
    """Compare what callers got with what endpoints ran, and record violations."""
    runs = Counter()
    for endpoint in fleet.endpoints:
        runs.update(endpoint.runs)
    fleet.violations.extend(find_late_requests(fleet))
    for sent in fleet.sent:
        for violation in find_violations(fleet, sent, runs[sent.request_id]):
            fleet.violations.append(
                f"{sent.request_id} {sent.path}: {violation}: {sent.answer}"
            )


def find_late_requests(fleet: Fleet) -> Iterator[str]:
    """Yield a text for each request to an endpoint of whose leaving its router knew.

    A router knows it from the first answer with the notice that a caller got from it.
    """
    sent_by_id = {sent.request_id: sent for sent in fleet.sent}
    for name, requests in fleet.leavings:
        ids = [header_text(request, b"attempt-id") for request in requests]
        sent_there = [sent_by_id[one] for one in ids if one in sent_by_id]
        told_ms: dict[int, int] = {}
        for sent in sorted(sent_there, key=lambda one: one.answered_ms):
            if sent.answer.header("server-leaving"):
                told_ms.setdefault(sent.process_id, sent.answered_ms)
        for sent in sent_there:
            if sent.sent_ms > told_ms.get(sent.process_id, sent.sent_ms):
                yield f"{sent.request_id} reached {name} after its router knew it left"


def find_violations(fleet: Fleet, sent: SentRequest, n_runs: int):
    """Yield a text for each guarantee that was violated for one request."""
    answer = sent.answer
    may_run_again = sent.path in (LOOKUP, CHAT)
    if not may_run_again and n_runs > 1:
        yield f"ran {n_runs} times, although it must not run again"
    if not may_run_again and answer.status in (429, 503) and n_runs:
        yield "was refused as not run, but ran"
    revoked_ms = fleet.revoked_ms.get(sent.token)
    if revoked_ms is not None and n_runs and sent.sent_ms > revoked_ms + REVOKE_MS:
        yield "ran with a token that had been revoked"
    if answer.status == 200:
        yield from find_answer_violations(sent)
    elif sent.after_faults and sent.token in fleet.tokens:
        yield "failed after all faults had ended"


def find_answer_violations(sent: SentRequest):
    """Yield a text for each fault in a successful answer."""
    answer = sent.answer
    if answer.header("attempt-id") != sent.request_id:
        yield "got the answer to another request"
    if sent.path not in (CHAT, ONCE):
        if answer.whole and answer.body != b"done\n":
            yield "got an unexpected body"
        return
    events = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, N_EVENTS + 1)]
    expected = b"".join(events)
    if not expected.startswith(answer.body):
        yield "got events that are missing, duplicated or out of order"
    if answer.whole and answer.body != expected:
        yield "got a stream that ended normally but is incomplete"


def main() -> int:
    """Run the seeds that the command line names; return 1 if one failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="duration of the faults, in seconds"
    )
    for name, n_default in asdict(FleetSize()).items():
        help_text = f"number of {name}"
        parser.add_argument(f"--{name}", type=int, default=n_default, help=help_text)
    parser.add_argument(
        "--logs", type=Path, help="folder in which to keep routers' logs"
    )
    options = parser.parse_args()
    size = FleetSize(options.routers, options.endpoints, options.callers)
    n_failed = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = options.logs / str(seed) if options.logs else None
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        with tempfile.TemporaryDirectory() as scratch:
            fleet = asyncio.run(
                run_seed(seed, options.seconds, folder or Path(scratch), size)
            )
        statuses = Counter(sent.answer.status for sent in fleet.sent)
        print(json.dumps({"seed": seed, "broken": len(fleet.violations), **statuses}))
        for line in fleet.violations[:10]:
            print("   ", line)
        n_failed += bool(fleet.violations)
    print(f"{options.seeds - n_failed} passed, {n_failed} failed")
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(main())
