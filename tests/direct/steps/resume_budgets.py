"""Steps that look at the retry budget after a stream that could not be resumed."""

import asyncio

from behave import then, when
from scenes import CHAT, call, find_endpoints, start_fixture

N_ENDPOINTS = 8
# Longer than the silence after which a stream is resumed elsewhere, and within the
# route's timeout.
PAUSE_MS = 1_650
MANY_CONNECTIONS = 1_000


@when("the endpoint of a stream pauses while no connection to the others is free")
def read_stream(context):
    async def run():
        async with start_fixture(n_endpoints=N_ENDPOINTS) as fixture:
            endpoints = find_endpoints(fixture, "model")
            for endpoint in endpoints:
                endpoint.pause_ms = PAUSE_MS
            task = asyncio.create_task(call(fixture, CHAT, timeout_ms=3_000))
            while not any(endpoint.n_running for endpoint in endpoints):
                await asyncio.sleep(0.001)
            for endpoint in endpoints:
                if not endpoint.n_running:
                    fixture.router.pool.n_open[endpoint.address] = MANY_CONNECTIONS
            context.answer = await task
            context.n_retries = fixture.router.counters.retries.total()
            context.n_failures = fixture.router.counters.failures.total()

    asyncio.run(run())


@then("the caller gets the stream, which took at most {n:d} retry from the budget")
def check_budget(context, n):
    assert context.answer.whole, context.answer
    assert context.n_failures == N_ENDPOINTS, context.n_failures
    assert context.n_retries <= n, context.n_retries
