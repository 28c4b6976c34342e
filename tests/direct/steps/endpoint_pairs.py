"""A request at a silent endpoint, and a second endpoint that is asked meanwhile."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from gated_endpoints import GatedEndpoint, add_gated
from scenes import (
    CHAT,
    LOOKUP,
    ORDER,
    RouterFixture,
    call,
    start_fixture,
    wait_until_synced,
)

from pulley_direct.state.loads import get_state, record_success, start_backoff
from pulley_policy.crashes import add_report
from pulley_policy.losses import LostRequest, Suspect

TIMEOUT_MS = 1_800
MAX_LEFT_S = 0.5
LIMIT_S = 10
SERVICES = {"lookup": "shop", "order": "shop", "stream": "model"}
PATHS = {"lookup": LOOKUP, "order": ORDER, "stream": CHAT}

PART_KEY = "model/part/aa"
EARLIER = LostRequest("earlier", (Suspect(PART_KEY, 1), Suspect("another request", 1)))
LATER = LostRequest("later", (Suspect(PART_KEY, 2), Suspect("a third request", 1)))


@dataclass(slots=True)
class Pair:
    """A request at a silent endpoint, and a second endpoint that was asked too."""

    fixture: RouterFixture
    task: asyncio.Task
    first: GatedEndpoint
    second: GatedEndpoint


@asynccontextmanager
async def start_first(kind: str, opening: bytes = b"") -> AsyncIterator[Pair]:
    """Send a request to the first of two endpoints, which is silent."""
    service = SERVICES[kind]
    async with asyncio.timeout(LIMIT_S), start_fixture(n_endpoints=0) as fixture:
        first = await add_gated(fixture, "first", service, opening)
        second = await add_gated(fixture, "second", service)
        await wait_until_synced(fixture)
        loads = fixture.router.loads
        start_backoff(loads, "second")
        task = asyncio.create_task(call(fixture, PATHS[kind], timeout_ms=TIMEOUT_MS))
        await first.asked.wait()
        record_success(loads, "second")
        get_state(loads, "first").unreachable = kind == "stream"
        yield Pair(fixture, task, first, second)


@asynccontextmanager
async def start_pair(
    kind: str, opening: bytes = b"", *, earlier_crash: bool = False
) -> AsyncIterator[Pair]:
    """Send a request to an endpoint that is silent until the second one is asked.

    With ``earlier_crash`` the router learns of another crash in between, with a part of
    the request.
    """
    async with start_first(kind, opening) as pair:
        if earlier_crash:
            router = pair.fixture.router
            evidence = router.fleet_view.crash_log.evidence
            assert add_report(evidence, EARLIER, router.clock.now_ms())
        await pair.second.asked.wait()
        yield pair


async def read_state(context, pair: Pair) -> None:
    """Keep the answer, and what the router still holds of the request."""
    context.answer = await pair.task
    await asyncio.sleep(0)
    keep_held(context, pair.fixture)


def keep_held(context, fixture: RouterFixture) -> None:
    """Keep what the router still counts as in flight, and its endpoints' records."""
    loads = fixture.router.loads
    names = [one.name for one in fixture.endpoints]
    context.in_flight = [get_state(loads, name).in_flight for name in names]
    context.first_state = get_state(loads, "first")


async def wait_until_left(*endpoints: GatedEndpoint) -> bool:
    """Check whether the router closes the connections to these endpoints at once."""
    try:
        async with asyncio.timeout(MAX_LEFT_S):
            for endpoint in endpoints:
                await endpoint.left.wait()
    except TimeoutError:
        return False
    return True


def run_pair(context, kind: str, act: Callable[[Pair], Awaitable], **options) -> None:
    """Send a request to a silent endpoint, act once the second one is asked too."""

    async def run():
        async with start_pair(kind, **options) as pair:
            await act(pair)
            await read_state(context, pair)

    asyncio.run(run())
