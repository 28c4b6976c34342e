"""Steps with a stream that lasts longer than its caller waits."""

import asyncio

from behave import then, when
from scenes import CHAT, call, start_fixture

TIMEOUT_MS = 600
EVENT_MS = 50
N_EVENTS = 100
SETTLE_S = 0.2


@when("a stream lasts longer than its caller waits")
def read_long_stream(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            for endpoint in fixture.endpoints:
                endpoint.n_events, endpoint.event_ms = N_EVENTS, EVENT_MS
            context.answer = await call(fixture, CHAT, timeout_ms=TIMEOUT_MS)
            await asyncio.sleep(SETTLE_S)
            context.counts = [len(endpoint.requests) for endpoint in fixture.endpoints]

    asyncio.run(run())


@then("only one endpoint got the request")
def check_one_request(context):
    assert not context.answer.whole, context.answer
    assert sum(context.counts) == 1, context.counts
