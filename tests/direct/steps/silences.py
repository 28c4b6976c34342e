"""Steps in which the endpoint of a stream is silent for a while."""

import asyncio

from behave import then, when
from pulley_platform_standins.endpoints import Behavior
from scenes import CHAT, call, start_fixture

from pulley_direct.state.loads import get_state

# Longer than the silence after which a stream is resumed elsewhere, and within the
# route's timeout.
LONG_PAUSE_MS = 1_600
# Longer than the silence after which an unreachable endpoint is abandoned.
SHORT_PAUSE_MS = 900
N_EVENTS = 5


def read_stream(context, pause_ms, *, connection_fails):
    """Read a stream that pauses for ``pause_ms`` after its first event."""

    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            endpoints = [one for one in fixture.endpoints if one.service == "model"]
            for endpoint in endpoints:
                endpoint.n_events, endpoint.pause_ms = N_EVENTS, pause_ms
            task = asyncio.create_task(call(fixture, CHAT, timeout_ms=3_000))
            while not any(endpoint.n_running for endpoint in endpoints):
                await asyncio.sleep(0.001)
            (running,) = [one for one in endpoints if one.n_running]
            (other,) = [one for one in endpoints if one is not running]
            other.behavior = Behavior.FULL
            state = get_state(fixture.router.loads, running.name)
            state.unreachable = connection_fails
            return await task

    context.answer = asyncio.run(run())


@when("the endpoint of a stream is silent while the other one is full")
def read_silent_stream(context):
    read_stream(context, LONG_PAUSE_MS, connection_fails=False)


@when("a connection to the endpoint of a silent stream fails while the other is full")
def read_unreachable_stream(context):
    read_stream(context, SHORT_PAUSE_MS, connection_fails=True)


@then("the caller gets every event")
def check_every_event(context):
    answer = context.answer
    lines = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, N_EVENTS + 1)]
    assert (answer.body, answer.whole) == (b"".join(lines), True), answer
