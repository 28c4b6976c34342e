"""Run real routers under faults drawn from a seed, and check the promises.

``python tests/soak/soak.py --seeds 50 --seconds 8`` runs seeds one after the other and
prints each one that failed with what was broken.
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
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests" / "soak"), str(ROOT / "tests" / "direct" / "steps")]

from faults import FAULTS  # noqa: E402
from pulley_platform_standins.endpoints import (  # noqa: E402
    StandInEndpoint,
    list_endpoint,
    start_endpoint,
)
from pulley_platform_standins.processes import (  # noqa: E402
    READY_MS,
    ROUTER_SETTINGS,
    free_address,
    wait_ready,
)
from pulley_platform_standins.stores import (  # noqa: E402
    Mood,
    StandInStore,
    put_document,
    start_store,
)
from scenes import CHAT, LOOKUP, ONCE, ORDER, configuration, send_call  # noqa: E402

from pulley_base import Clock  # noqa: E402
from pulley_http import Client, close_client  # noqa: E402
from pulley_standins.relays import Relay, open_relay, relay_address, reset_connections  # noqa: E402

N_EVENTS = 6
REVOKE_MS = 3_000
CONFIGURATION_MS = 1_000
GRACE_S = 5
HEAL_S = 4.0
CALM_S = 1.5
CLOSE_S = 0.1
PATIENCE_MS = 4_000
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
class Size:
    """How many of each take part; ``endpoints`` of each of two services."""

    routers: int = 3
    endpoints: int = 3
    callers: int = 8


@dataclass(slots=True)
class Slot:
    """One router's place: its addresses and the process that runs there now."""

    name: str
    front: str
    ready: str
    settings: Path
    process: Process | None = None
    ending: bool = False


@dataclass(frozen=True, slots=True)
class Sent:
    """One request, when it was sent, and what its caller got."""

    request_id: str
    path: str
    token: str
    sent_ms: int
    calm: bool
    answer: object


@dataclass(slots=True)
class Fleet:
    """All that one seed runs with, and what callers saw."""

    store: StandInStore
    folder: Path
    clock: Clock = field(default_factory=Clock)
    relays: list[Relay] = field(default_factory=list)
    endpoints: list[StandInEndpoint] = field(default_factory=list)
    paths: dict[str, str] = field(default_factory=dict)
    slots: list[Slot] = field(default_factory=list)
    tokens: list[str] = field(default_factory=lambda: ["t-0", "t-1", "t-2"])
    revoked_ms: dict[str, int] = field(default_factory=dict)
    version: int = 1
    calm: bool = False
    sent: list[Sent] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def address_of(self, endpoint: StandInEndpoint) -> str:
        """Give the address at which routers reach an endpoint."""
        return self.paths[endpoint.name]

    def publish(self) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        document = configuration(self.version, self.tokens)
        put_document(self.store, "op/config", document)

    def revoke(self, token: str) -> None:
        """Replace one token by a new one."""
        self.tokens.remove(token)
        self.tokens.append(f"t-{self.version + 10}")
        self.publish()
        self.revoked_ms[token] = self.clock.now_ms()

    async def replace(self, slot: Slot, number: int) -> None:
        """End a router's process by a signal and start it again."""
        slot.ending = True
        slot.process.send_signal(signal.SIGCONT)
        slot.process.send_signal(number)
        status = await slot.process.wait()
        if number == signal.SIGTERM and status != 0:
            self.broken.append(f"{slot.name} ended with {status} after SIGTERM")
        await start_process(slot)
        slot.ending = False


async def start_process(slot: Slot) -> None:
    """Start a router in its place; its log goes to a file beside the settings."""
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
    await wait_first_line(slot.process)


async def wait_first_line(process: Process) -> None:
    """Wait until a process has run the first line of the program.

    Before that the interpreter loads, and a signal does what the kernel does with
    it, whatever the program says.
    """
    status = Path(f"/proc/{process.pid}/status")
    while process.returncode is None:
        rows = dict(row.split(":", 1) for row in status.read_text().splitlines())
        if int(rows["SigCgt"], 16) & 1 << (signal.SIGTERM - 1):
            return
        await asyncio.sleep(0.002)


async def open_fleet(folder: Path, size: Size) -> Fleet:
    """Start store, endpoints, relays and routers."""
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
            fleet.paths[name] = relay_address(relay)
            list_endpoint(fleet.store, endpoint, "ready", fleet.paths[name])
    for number in range(size.routers):
        await add_router(fleet, f"router-{number}")
    return fleet


async def add_router(fleet: Fleet, name: str) -> None:
    """Start one router with a path of its own to the store."""
    relay = await open_relay(fleet.store.address)
    fleet.relays.append(relay)
    front, ready = free_address(), free_address()
    path = fleet.folder / f"{name}.toml"
    path.write_text(
        SETTINGS.format(
            name=name,
            front=front,
            ready=ready,
            store=relay_address(relay),
            grace=GRACE_S,
            revoke=REVOKE_MS,
            configuration=CONFIGURATION_MS,
        )
    )
    slot = Slot(name, front, ready, path)
    fleet.slots.append(slot)
    await start_process(slot)


async def wait_all_ready(fleet: Fleet) -> None:
    """Wait until every router says that it is ready."""
    client = Client()
    deadline_ms = fleet.clock.deadline_ms(READY_MS)
    for slot in fleet.slots:
        left_ms = deadline_ms - fleet.clock.now_ms()
        if not await wait_ready(client, slot.ready, left_ms):
            fleet.broken.append(f"{slot.name} is not ready 10 s after all faults")
    close_client(client)


async def run_caller(fleet: Fleet, number: int, random: Random) -> None:
    """Send one request after the other, each once, on kept connections."""
    client = Client(connect_timeout_ms=500)
    count = 0
    while True:
        count += 1
        slot = random.choice(fleet.slots)
        token = random.choice([*fleet.tokens, *list(fleet.revoked_ms)[-1:]])
        path = random.choice([LOOKUP, ORDER, ORDER, CHAT, ONCE])
        request_id = f"c{number}-{count}"
        sent_ms, calm = fleet.clock.now_ms(), fleet.calm
        answer = await send_call(
            client,
            slot.front,
            path,
            request_id=request_id,
            token=token,
            timeout_ms=2_000,
            parts=f"aa:100,b{random.randint(0, 5)}:50",
        )
        fleet.sent.append(Sent(request_id, path, token, sent_ms, calm, answer))
        await asyncio.sleep(random.uniform(0.0, 0.05))


async def inject_faults(fleet: Fleet, seconds: float, random: Random) -> None:
    """Start faults, overlapping, until the time is up, and wait for their ends."""
    end_ms = fleet.clock.deadline_ms(int(seconds * 1_000))
    running = []
    while fleet.clock.now_ms() < end_ms:
        fault = random.choice(FAULTS)
        running.append(asyncio.create_task(fault(fleet, random)))
        await asyncio.sleep(random.uniform(0.1, 0.6))
    await asyncio.gather(*running)
    fleet.store.mood = Mood.WELL


async def play_seed(
    seed: int, seconds: float, folder: Path, size: Size = Size()
) -> Fleet:
    """Run one seed: faults, then a calm while in which all must be served."""
    fleet = await open_fleet(folder, size)
    callers = []
    try:
        await wait_all_ready(fleet)
        callers = [
            asyncio.create_task(run_caller(fleet, number, Random(f"{seed}-{number}")))
            for number in range(size.callers)
        ]
        await inject_faults(fleet, seconds, Random(seed))
        await asyncio.sleep(HEAL_S)
        await wait_all_ready(fleet)
        fleet.calm = True
        await asyncio.sleep(CALM_S)
    finally:
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await close_fleet(fleet)
    check_promises(fleet)
    return fleet


async def close_fleet(fleet: Fleet) -> None:
    """End the processes that this run started, by their ids."""
    for slot in fleet.slots:
        if slot.process.returncode is None:
            slot.process.kill()
            await slot.process.wait()
    for server in [fleet.store.server, *(one.server for one in fleet.endpoints)]:
        server.listener.close()
        for connection in list(server.connections):
            connection.abort()
    for relay in fleet.relays:
        relay.listener.close()
        reset_connections(relay)
    await asyncio.sleep(CLOSE_S)


def check_promises(fleet: Fleet) -> None:
    """Hold what callers got against what endpoints ran."""
    runs = Counter()
    for endpoint in fleet.endpoints:
        runs.update(endpoint.runs)
    for one in fleet.sent:
        for fault in broken_promises(fleet, one, runs[one.request_id]):
            fleet.broken.append(f"{one.request_id} {one.path}: {fault}: {one.answer}")


def broken_promises(fleet: Fleet, one: Sent, n_runs: int):
    """Yield what is wrong with one request's end."""
    answer = one.answer
    repeatable = one.path in (LOOKUP, CHAT)
    if not repeatable and n_runs > 1:
        yield f"ran {n_runs} times"
    if not repeatable and answer.status in (429, 503) and n_runs:
        yield "was refused as not run, and ran"
    revoked_ms = fleet.revoked_ms.get(one.token)
    if revoked_ms is not None and n_runs and one.sent_ms > revoked_ms + REVOKE_MS:
        yield "ran with a token that was taken away"
    if answer.status == 200:
        yield from broken_answer(one)
    elif one.calm and one.token in fleet.tokens:
        yield "was not served though nothing was wrong any more"


def broken_answer(one: Sent):
    """Yield what is wrong with a success."""
    answer = one.answer
    if answer.header("attempt-id") != one.request_id:
        yield "got another request's answer"
    if one.path not in (CHAT, ONCE):
        if answer.whole and answer.body != b"done\n":
            yield "got another body"
        return
    events = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, N_EVENTS + 1)]
    expected = b"".join(events)
    if not expected.startswith(answer.body):
        yield "got events that are missing, doubled or out of order"
    if answer.whole and answer.body != expected:
        yield "got a stream that looks whole and is not"


def main() -> int:
    """Run seeds from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=5, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=8.0, help="faults, seconds")
    for name, n_default in asdict(Size()).items():
        help_text = f"how many {name}"
        parser.add_argument(f"--{name}", type=int, default=n_default, help=help_text)
    parser.add_argument("--logs", type=Path, help="keep the routers' logs here")
    options = parser.parse_args()
    size = Size(options.routers, options.endpoints, options.callers)
    n_failed = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = options.logs / str(seed) if options.logs else None
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        with tempfile.TemporaryDirectory() as scratch:
            fleet = asyncio.run(
                play_seed(seed, options.seconds, folder or Path(scratch), size)
            )
        statuses = Counter(one.answer.status for one in fleet.sent)
        print(json.dumps({"seed": seed, "broken": len(fleet.broken), **statuses}))
        for line in fleet.broken[:10]:
            print("   ", line)
        n_failed += bool(fleet.broken)
    print(f"{options.seeds - n_failed} passed, {n_failed} failed")
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(main())
