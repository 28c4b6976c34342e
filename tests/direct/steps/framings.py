"""Steps with an endpoint that answers in chunks and states a content length."""

import asyncio

from behave import then, when
from scenes import ORDER, call, start_fixture, wait_until_synced
from timed_endpoints import answer_head, list_raw_endpoint, start_raw_endpoint

LENGTHS = {"too short": 2, "too long": 9}
BODY = b"done"
CHUNKS = b"4\r\ndone\r\n0\r\n\r\n"


@when("an endpoint answers in chunks with a content length that is {fault}")
def answer_with_two_framings(context, fault):
    async def answer(writer):
        framing = f"content-length: {LENGTHS[fault]}\r\ntransfer-encoding: chunked\r\n"
        writer.write(answer_head(framing) + CHUNKS)

    async def run():
        server = await start_raw_endpoint(answer)
        async with start_fixture(n_endpoints=0) as fixture:
            list_raw_endpoint(fixture.store, server, "shop")
            await wait_until_synced(fixture)
            context.answer = await call(fixture, ORDER)
        server.close()

    asyncio.run(run())


@then("the caller gets the whole body or a refusal")
def check_whole_or_refused(context):
    answer = context.answer
    assert answer.whole, answer
    assert answer.status == 502 or (answer.status, answer.body) == (200, BODY), answer
