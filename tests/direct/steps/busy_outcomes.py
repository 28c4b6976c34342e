"""Steps that read what was counted for an endpoint while the router was busy."""

import asyncio

from behave import then, when
from scenes import LOOKUP, call, start_fixture, wait_until_synced
from stalls import answer_in_block
from timed_endpoints import list_raw_endpoint, start_raw_endpoint

from pulley_direct.state.loads import get_state

N_LOOKUPS = 3


@when("an endpoint answers three lookups while the loop is busy")
def answer_lookups(context):
    async def run():
        server = await start_raw_endpoint(answer_in_block)
        async with start_fixture(n_endpoints=0) as fixture:
            list_raw_endpoint(fixture.store, server, "shop")
            await wait_until_synced(fixture)
            for _ in range(N_LOOKUPS):
                answer = await call(fixture, LOOKUP)
                assert answer.status == 200, answer
            context.record = get_state(fixture.router.loads, "raw").record
        server.close()

    asyncio.run(run())


@then("it has no bad outcome")
def check_outcomes(context):
    record = context.record
    assert record.bad == 0.0, record
    assert record.good > 0.0, record
