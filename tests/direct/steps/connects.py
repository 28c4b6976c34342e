"""Steps with endpoints that accept connections again."""

import asyncio

from behave import then, when
from scenes import CHAT, call, start_fixture

from pulley_direct.state.loads import get_state

# Longer than the silence after which an unreachable endpoint is abandoned.
PAUSE_MS = 900


@when("a stream pauses at an endpoint that could not be reached before")
def read_pausing_stream(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            endpoints = [one for one in fixture.endpoints if one.service == "model"]
            for endpoint in endpoints:
                endpoint.pause_ms = PAUSE_MS
                get_state(fixture.router.loads, endpoint.name).unreachable = True
            context.answer = await call(fixture, CHAT, timeout_ms=3_000)
            context.counts = [len(endpoint.requests) for endpoint in endpoints]

    asyncio.run(run())


@then("the stream ran at one endpoint and is complete")
def check_one_endpoint(context):
    assert context.answer.whole, context.answer
    assert sum(context.counts) == 1, context.counts
