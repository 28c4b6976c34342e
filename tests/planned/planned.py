"""Run real routers under planned work alone, and look for requests that were lost.

``python tests/planned/planned.py --first 1 --seeds 20`` runs 20 seeds one after the
other. Planned work is SIGTERM and a new start, SIGHUP, a settings file that changes
without a signal or has other limits, and configurations that are large or come in quick
succession. It overlaps; nothing fails.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [
    str(ROOT / "tests" / "planned"),
    str(ROOT / "tests" / "soak"),
    str(ROOT / "tests" / "direct" / "steps"),
]

from channels import (  # noqa: E402
    KeptChannel,
    Sent,
    close_channel,
    open_channel,
    send_on_channel,
)
from faults import (  # noqa: E402
    Fault,
    disturb_store,
    drain_endpoint,
    drop_history,
    leave_unlisted,
    reload_router,
    stop_router,
)
from pulley_platform_standins.endpoints import header_text  # noqa: E402
from pulley_platform_standins.stores import put_document  # noqa: E402
from scenes import CHAT, LOOKUP, ONCE, OPEN, ORDER, ROUTES, configuration  # noqa: E402
from soak import (  # noqa: E402
    Fleet,
    FleetSize,
    close_fleet,
    start_fleet,
    wait_all_ready,
)

# Beyond this time after its last byte a request that is not passed on must be
# answered.
LOST_MS = 200
TIMEOUT_MS = 3_000
# How long answers take; a stream takes N_EVENTS times EVENT_MS.
WORK_MS = 250
EVENT_MS = 120
MAX_PAUSE_S = 0.05
AFTER_S = 1.0
BEFORE_S = 1.5
LIMITS = """[limits]
memoryMb = {memory_mb}
maxFds = {descriptors}
linkMbps = 350.0
"""
SIZE = FleetSize(routers=3, endpoints=3, callers=24)


@dataclass(slots=True)
class Played:
    """What the callers of one seed sent, and the requests that were lost."""

    sent: list[Sent] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


async def change_configuration(fleet: Fleet, random: Random) -> None:
    """Publish one to six configurations in quick succession."""
    for _ in range(random.randint(1, 6)):
        fleet.publish()
        await asyncio.sleep(random.uniform(0.02, 0.3))


async def touch_settings(fleet: Fleet, random: Random) -> None:
    """Write a router's settings file again, without a signal."""
    random.choice(fleet.slots).settings.touch()


async def grow_configuration(fleet: Fleet, random: Random) -> None:
    """Publish a configuration with several hundred routes more, or without them."""
    fleet.version += 1
    document = configuration(fleet.version, fleet.tokens)
    document["routes"] += [
        ROUTES[0] | {"name": f"more-{number}", "pathPrefix": f"/more/{number}/"}
        for number in range(random.choice([0, 400, 1_400]))
    ]
    put_document(fleet.store, "op/config", document)


async def change_settings(fleet: Fleet, random: Random) -> None:
    """Write other limits and bounds into a router's settings file, then SIGHUP it."""
    slot = random.choice(fleet.slots)
    text = slot.settings.read_text().partition("[limits]")[0]
    text += LIMITS.format(
        memory_mb=random.randint(160, 400), descriptors=random.randint(600, 2_000)
    )
    slot.settings.write_text(text)
    if not slot.restarting:
        slot.process.send_signal(signal.SIGHUP)


async def stop_again(fleet: Fleet, random: Random) -> None:
    """Send a router SIGHUP and SIGTERM at once, and SIGHUP as it stops; restart it."""
    slot = random.choice(fleet.slots)
    if slot.restarting:
        return
    process = slot.process
    process.send_signal(signal.SIGHUP)
    restarting = asyncio.create_task(fleet.restart(slot, signal.SIGTERM))
    await asyncio.sleep(random.uniform(0.0, 0.2))
    if process.returncode is None:
        process.send_signal(signal.SIGHUP)
    await restarting


PLANNED = (
    stop_router,
    stop_again,
    reload_router,
    touch_settings,
    change_settings,
    grow_configuration,
    change_configuration,
)
# Beside planned work, with ``--store``: they excuse no lost request.
BESIDE = (disturb_store, drop_history, drain_endpoint, leave_unlisted)


async def run_caller(fleet: Fleet, played: Played, number: int, random: Random) -> None:
    """Send one request after the other on a connection that is kept open."""
    channels = [KeptChannel(slot.front_address, fleet.clock) for slot in fleet.slots]
    count = 0
    try:
        while True:
            count += 1
            channel = random.choice(channels)
            if not await open_channel(channel):
                await asyncio.sleep(MAX_PAUSE_S)
                continue
            path = random.choice([LOOKUP, ORDER, OPEN, CHAT, ONCE])
            request_id = f"c{number}-{count}"
            token = fleet.tokens[0]
            sending = send_on_channel(channel, request_id, path, token, TIMEOUT_MS)
            played.sent.append(await sending)
            await asyncio.sleep(random.uniform(0.0, MAX_PAUSE_S))
    finally:
        for channel in channels:
            close_channel(channel)


async def run_planned(
    fleet: Fleet, seconds: float, random: Random, kinds: Sequence[Fault]
) -> None:
    """Start planned work that may overlap for ``seconds``; wait until all has ended."""
    end_ms = fleet.clock.deadline_ms(int(seconds * 1_000))
    running = []
    while fleet.clock.now_ms() < end_ms:
        work = random.choice(kinds)
        running.append(asyncio.create_task(work(fleet, random)))
        await asyncio.sleep(random.uniform(0.05, 0.8))
    await asyncio.gather(*running)


async def run_seed(
    seed: int, seconds: float, folder: Path, size=SIZE, kinds=PLANNED
) -> Played:
    """Run one seed, and return what its callers saw."""
    fleet, played, callers = await start_fleet(folder, size), Played(), []
    for endpoint in fleet.endpoints:
        endpoint.work_ms, endpoint.event_ms = WORK_MS, EVENT_MS
    try:
        await wait_all_ready(fleet)
        for number in range(size.callers):
            random = Random(f"{seed}-{number}")
            calling = run_caller(fleet, played, number, random)
            callers.append(asyncio.create_task(calling))
        await asyncio.sleep(BEFORE_S)
        await run_planned(fleet, seconds, Random(seed), kinds)
        await wait_all_ready(fleet)
        await asyncio.sleep(AFTER_S)
    finally:
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await close_fleet(fleet)
    played.violations = fleet.violations
    played.lost = list(find_lost(fleet, played))
    return played


def find_lost(fleet: Fleet, played: Played) -> Iterator[str]:
    """Yield a text for each request that was read and got no whole answer.

    A request that crosses the close of its connection, and is not passed on, is not
    lost; nor is one whose caller still waits as the run ends.
    """
    passed_on = {
        header_text(request, b"attempt-id")
        for endpoint in fleet.endpoints
        for request in endpoint.requests
    }
    for sent in played.sent:
        if sent.whole:
            continue
        took_ms = sent.ended_ms - sent.sent_ms
        if sent.request_id in passed_on:
            yield f"passed on, no whole answer after {took_ms} ms: {sent}"
        elif took_ms > LOST_MS:
            yield f"no answer after {took_ms} ms: {sent}"


def main() -> int:
    """Run the seeds that the command line names; return 1 if one lost a request."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="duration of the work, in seconds"
    )
    parser.add_argument(
        "--logs", type=Path, help="folder in which to keep routers' logs"
    )
    parser.add_argument(
        "--program", type=Path, help="folder with the libraries of another version"
    )
    parser.add_argument(
        "--store", action="store_true", help="with faults of the store, and leaving"
    )
    options = parser.parse_args()
    kinds = PLANNED + BESIDE if options.store else PLANNED
    if options.program:
        os.environ["PYTHONPATH"] = str(options.program)
    n_failed = 0
    for seed in range(options.first, options.first + options.seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = options.logs / str(seed) if options.logs else Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            played = asyncio.run(run_seed(seed, options.seconds, folder, kinds=kinds))
        statuses = Counter(sent.status for sent in played.sent)
        n_broken = len(played.lost) + len(played.violations)
        print(json.dumps({"seed": seed, "broken": n_broken, **statuses}), flush=True)
        for line in [*played.lost, *played.violations][:10]:
            print("   ", line)
        n_failed += bool(n_broken)
    print(f"{options.seeds - n_failed} passed, {n_failed} failed")
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(main())
