"""Steps with an endpoint that sends an incomplete answer to an earlier request."""

import asyncio

from behave import then, when
from scenes import ORDER, call, start_fixture, wait_until_synced
from timed_endpoints import answer_head, list_raw_endpoint, start_raw_endpoint

TIMEOUT_MS = 600
MAX_TOOK_MS = 1_100
PIECE = b"5\r\nagain\r\n"
PIECE_PAUSE_S = 0.02


async def stop_midway(writer):
    """Send the start of an answer to another request."""
    writer.write(answer_head("content-length: 10\r\n", "request-0") + b"abc")


async def go_on_forever(writer):
    """Send an answer to another request that does not end."""
    writer.write(answer_head("transfer-encoding: chunked\r\n", "request-0"))
    while not writer.is_closing():
        writer.write(PIECE)
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)


ANSWERS = {"stops midway": stop_midway, "goes on forever": go_on_forever}


@when("an endpoint's answer to an earlier request {fault}")
def answer_earlier_request(context, fault):
    async def run():
        server = await start_raw_endpoint(ANSWERS[fault])
        async with start_fixture(n_endpoints=0) as fixture:
            list_raw_endpoint(fixture.store, server, "shop")
            await wait_until_synced(fixture)
            context.answer = await call(fixture, ORDER, timeout_ms=TIMEOUT_MS)
        server.close()

    asyncio.run(run())


@then("the request is refused within its timeout")
def check_refused_in_time(context):
    answer = context.answer
    assert answer.status in (502, 504), answer
    assert answer.took_ms < MAX_TOOK_MS, answer
