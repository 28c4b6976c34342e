"""Steps with a stream that ends with its connection."""

import asyncio

from behave import then, when
from scenes import ONCE, call, start_fixture, wait_until_synced
from timed_endpoints import answer_head, list_raw_endpoint, start_raw_endpoint

EVENT = b"id: 1\ndata: a\n\n"
PART_OF_EVENT = b"id: 2\nda"
PAUSE_S = 0.05


async def stream_and_close(writer):
    """Send one event and a part of the next, and close."""
    writer.write(answer_head("") + EVENT)
    await asyncio.sleep(PAUSE_S)
    writer.write(PART_OF_EVENT)
    writer.close()


@when("the connection of a stream without a length ends inside an event")
def end_inside_event(context):
    async def run():
        server = await start_raw_endpoint(stream_and_close)
        async with start_fixture(n_endpoints=0) as fixture:
            list_raw_endpoint(fixture.store, server, "model")
            await wait_until_synced(fixture)
            context.answer = await call(fixture, ONCE)
        server.close()

    asyncio.run(run())


@then("the answer is incomplete")
def check_incomplete(context):
    assert context.answer.body.startswith(EVENT), context.answer
    assert not context.answer.whole, context.answer
