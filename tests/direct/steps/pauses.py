"""Steps that block the event loop while a stream is open."""

import asyncio
import time

from behave import then, when
from scenes import CHAT, call, start_fixture

EVENT_MS = 50
N_EVENTS = 6
BLOCK_AFTER_S = 0.2


@when("the loop is busy for {block_ms:d} ms while an endpoint streams")
def block_while_streaming(context, block_ms):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            endpoints = [one for one in fixture.endpoints if one.service == "model"]
            for endpoint in endpoints:
                endpoint.n_events, endpoint.event_ms = N_EVENTS, EVENT_MS
            loop = asyncio.get_running_loop()
            loop.call_later(BLOCK_AFTER_S, time.sleep, block_ms / 1_000)
            context.answer = await call(fixture, CHAT, timeout_ms=4_000)
            context.counts = [len(endpoint.requests) for endpoint in endpoints]

    asyncio.run(run())


@then("every event arrives, from one endpoint")
def check_all_from_one(context):
    answer = context.answer
    assert (answer.body.count(b"data:"), answer.whole) == (N_EVENTS, True), answer
    assert sum(context.counts) == 1, context.counts
