"""Steps in which real routers are killed while callers send requests."""

import asyncio
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

from behave import given, then, when
from pulley_platform_standins.endpoints import Behavior, header_text

ROOT = Path(__file__).resolve().parents[3]
sys.path[:0] = [
    str(ROOT / "tests" / "budgets"),
    str(ROOT / "tests" / "soak"),
    str(ROOT / "tests" / "direct" / "steps"),
]

from scenes import CHAT, LOOKUP, send_call  # noqa: E402
from soak import (  # noqa: E402
    Fleet,
    FleetSize,
    close_fleet,
    start_fleet,
    wait_all_ready,
)
from windows import WINDOW_MS, Traffic  # noqa: E402

from pulley_base import to_seconds  # noqa: E402
from pulley_http import Client, close_client  # noqa: E402

SIZE = FleetSize(routers=4, endpoints=6, callers=0)
BEHAVIORS = {
    "answer 500": Behavior.FAILING,
    "refuse": Behavior.FULL,
    "break off": Behavior.CUT_BODY,
    "stay silent": Behavior.NO_ANSWER,
    "cut events": Behavior.CUT_STREAM,
    "answer well": Behavior.NORMAL,
}
KINDS = {"lookups": ("shop", LOOKUP), "streams": ("model", CHAT)}
TIMEOUT_MS = 1_000
# Of both kinds of requests' routes.
MAX_ATTEMPTS = 2
# How much later than the caller's own deadline one that is passed on may end.
DEADLINE_SLACK_MS = 500
# Time before the first kill, and after the last one.
BEFORE_MS = 4_000
AFTER_MS = 3_000


@dataclass(slots=True)
class Played:
    """A fleet to which requests are sent at a steady rate, and when they were sent."""

    fleet: Fleet
    path: str
    sent_ms: list[int] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)


async def send_steadily(played, rate_per_s):
    """Send requests to the routers in turn; callers wait for no one's answer."""
    fleet, client = played.fleet, Client(connect_timeout_ms=500)
    try:
        for number in count():
            slot = fleet.slots[number % len(fleet.slots)]
            played.sent_ms.append(fleet.clock.now_ms())
            calling = send_call(
                client,
                slot.front_address,
                played.path,
                request_id=f"request-{number}",
                token=fleet.tokens[0],
                timeout_ms=TIMEOUT_MS,
            )
            task = asyncio.create_task(calling)
            played.tasks.add(task)
            task.add_done_callback(played.tasks.discard)
            await asyncio.sleep(1 / rate_per_s)
    finally:
        for task in played.tasks:
            task.cancel()
        close_client(client)


async def kill_all(fleet):
    """Kill all routers by SIGKILL and start them again."""
    restarts = (fleet.restart(slot, signal.SIGKILL) for slot in fleet.slots)
    await asyncio.gather(*restarts)


async def play(folder, kind, behaviors, rate_per_s, n_kills):
    """Play one fleet; return when requests were sent, and the endpoints."""
    fleet = await start_fleet(Path(folder), SIZE)
    service, path = KINDS[kind]
    endpoints = [one for one in fleet.endpoints if one.service == service]
    try:
        await wait_all_ready(fleet)
        for endpoint, behavior in zip(endpoints, behaviors):
            endpoint.behavior = behavior
        played = Played(fleet, path)
        sending = asyncio.create_task(send_steadily(played, rate_per_s))
        await asyncio.sleep(to_seconds(BEFORE_MS))
        for _ in range(n_kills):
            killing = asyncio.create_task(kill_all(fleet))
            await asyncio.sleep(to_seconds(WINDOW_MS / n_kills))
            await killing
        await asyncio.sleep(to_seconds(AFTER_MS if n_kills else WINDOW_MS))
        sending.cancel()
        await asyncio.wait({sending})
    finally:
        await close_fleet(fleet)
    return played.sent_ms, endpoints


def list_arrivals(endpoints):
    """Return the time, id and deadline header of all requests, in order of arrival."""
    return sorted(
        (
            arrived_ms,
            header_text(request, b"attempt-id"),
            header_text(request, b"deadline-ms"),
        )
        for endpoint in endpoints
        for arrived_ms, request in zip(endpoint.arrivals_ms, endpoint.requests)
    )


def list_repeats_ms(endpoints):
    """Return when requests arrived that had arrived somewhere before."""
    seen, repeats_ms = set(), []
    for arrived_ms, request_id, _deadline in list_arrivals(endpoints):
        if request_id in seen:
            repeats_ms.append(arrived_ms)
        seen.add(request_id)
    return repeats_ms


@given("four routers before six endpoints, of which {share} {behavior}")
def choose_behaviors(context, share, behavior):
    n_faulty = {"all": SIZE.endpoints, "half": SIZE.endpoints // 2}[share]
    n_sound = SIZE.endpoints - n_faulty
    context.behaviors = [BEHAVIORS[behavior]] * n_faulty + [Behavior.NORMAL] * n_sound


@when("{rate:d} {kind} a second are sent and all routers are killed {n:d} times")
def send_while_killed(context, rate, kind, n):
    with tempfile.TemporaryDirectory() as folder:
        playing = play(folder, kind, context.behaviors, rate, n)
        sent_ms, context.endpoints = asyncio.run(playing)
    context.traffic = Traffic(sent_ms, list_repeats_ms(context.endpoints))


@then("no request ran at more endpoints than its route allows")
def check_attempts(context):
    n_ran = Counter()
    for endpoint in context.endpoints:
        n_ran.update(endpoint.runs.keys())
    most = max(n_ran.values(), default=0)
    assert most <= MAX_ATTEMPTS, n_ran.most_common(3)


@then("no endpoint was handed more time than the caller had left")
def check_deadlines(context):
    ends_ms = {}
    for arrived_ms, request_id, deadline in list_arrivals(context.endpoints):
        left_ms = int(deadline)
        assert left_ms <= TIMEOUT_MS, (request_id, deadline)
        end_ms = ends_ms.setdefault(request_id, arrived_ms + left_ms)
        assert arrived_ms + left_ms <= end_ms + DEADLINE_SLACK_MS, request_id
