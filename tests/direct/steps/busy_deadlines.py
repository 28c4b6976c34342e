"""Steps with an event loop that is busy at a request's deadline."""

import asyncio
import time

from behave import then, when
from pulley_platform_standins.endpoints import Behavior
from scenes import ORDER, call, start_fixture

DEADLINE_MS = 600
BLOCK_START_MS = 590
BLOCK_MS = 150
# Less than a wait may be extended by.
MAX_DELAY_MS = 70
N_CALLS = 5


async def call_until_busy(fixture) -> float:
    """Send an order, block the loop at its deadline, and return how long it took."""
    asyncio.get_running_loop().call_later(
        BLOCK_START_MS / 1_000, time.sleep, BLOCK_MS / 1_000
    )
    answer = await call(fixture, ORDER, timeout_ms=DEADLINE_MS)
    assert answer.status == 504, answer
    return answer.took_ms


@when("an endpoint does not answer and the router is busy at the deadline")
def call_often(context):
    async def run():
        async with start_fixture() as fixture:
            for endpoint in fixture.endpoints:
                endpoint.behavior = Behavior.NO_ANSWER
            return [await call_until_busy(fixture) for _ in range(N_CALLS)]

    context.took_ms = asyncio.run(run())


@then("the request is answered as soon as the router is free")
def check_times(context):
    free_ms = BLOCK_START_MS + BLOCK_MS
    assert min(context.took_ms) <= free_ms + MAX_DELAY_MS, context.took_ms
