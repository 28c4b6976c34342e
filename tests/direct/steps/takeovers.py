"""Steps in which a silent stream goes on while a second endpoint is asked for it."""

import asyncio

from behave import then, when
from pulley_platform_standins.endpoints import Behavior
from pulley_platform_standins.stores import put_document
from scenes import (
    CHAT,
    TOKEN,
    add_endpoint,
    call,
    configuration,
    start_fixture,
    wait_until_synced,
)
from timed_endpoints import answer_head, list_raw_endpoint, start_raw_endpoint

from pulley_direct.state.loads import get_state

# Far longer than the silence after which a second endpoint is asked.
ROUTE_TIMEOUT_MS = 6_000
MAX_TOOK_MS = 5_000
SETTLE_S = 0.3
EVENTS = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 6)]
BODY = b"".join(EVENTS)


async def set_route_timeouts(fixture) -> None:
    """Publish a configuration whose routes have ``ROUTE_TIMEOUT_MS``."""
    document = configuration(2, [TOKEN])
    for route in document["routes"]:
        route["timeoutMs"] = ROUTE_TIMEOUT_MS
    put_document(fixture.store, "op/config", document)
    fixture.version = 2
    await wait_until_synced(fixture)


async def start_stream(fixture, may_go_on: asyncio.Event):
    """Start a stream that is silent until ``may_go_on`` is set.

    Returns the caller's task and a second endpoint, which does not answer, once the
    router has asked it.
    """
    began = asyncio.Event()

    async def answer(writer):
        writer.write(answer_head(f"content-length: {len(BODY)}\r\n") + EVENTS[0])
        began.set()
        await may_go_on.wait()
        writer.write(b"".join(EVENTS[1:]))

    server = await start_raw_endpoint(answer)
    list_raw_endpoint(fixture.store, server, "model")
    await set_route_timeouts(fixture)
    task = asyncio.create_task(call(fixture, CHAT, timeout_ms=ROUTE_TIMEOUT_MS))
    await began.wait()
    other = await add_endpoint(fixture, "model-2", "model", behavior=Behavior.NO_ANSWER)
    await wait_until_synced(fixture)
    async with asyncio.timeout(MAX_TOOK_MS / 1_000):
        while not other.n_running:
            await asyncio.sleep(0.01)
    return task, other


def describe_left(fixture, other) -> tuple:
    """Return the second endpoint's work, and what the router counts as open."""
    loads = fixture.router.loads
    n_in_flight = [get_state(loads, name).in_flight for name in ("raw", other.name)]
    return other.n_running, n_in_flight


@when("the first endpoint of a stream goes on while the second one does not answer")
def read_stream(context):
    async def run():
        may_go_on = asyncio.Event()
        async with start_fixture(n_endpoints=0) as fixture:
            task, other = await start_stream(fixture, may_go_on)
            may_go_on.set()
            context.answer = await task
            await asyncio.sleep(SETTLE_S)
            context.left = describe_left(fixture, other)

    asyncio.run(run())


@when("the caller of a silent stream leaves while the second endpoint does not answer")
def leave_stream(context):
    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            task, other = await start_stream(fixture, asyncio.Event())
            task.cancel()
            await asyncio.wait([task])
            await asyncio.sleep(SETTLE_S)
            context.left = describe_left(fixture, other)
            context.n_open = sum(fixture.router.pool.n_open.values())

    asyncio.run(run())


@then("the caller gets every event before the deadline")
def check_every_event(context):
    answer = context.answer
    assert (answer.body, answer.whole) == (BODY, True), answer
    assert answer.took_ms < MAX_TOOK_MS, answer.took_ms


@then("no endpoint is at work on the stream")
def check_none_at_work(context):
    assert context.left == (0, [0, 0]), context.left


@then("no connection is open")
def check_none_open(context):
    assert context.n_open == 0, context.n_open
