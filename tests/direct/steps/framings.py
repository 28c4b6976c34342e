"""Steps with an endpoint that answers in chunks and states a content length."""

import asyncio

from behave import then, when
from raw_endpoints import call_raw_endpoint, encode_head
from scenes import ORDER

LENGTHS = {"too short": 2, "too long": 9}
BODY = b"done"
CHUNKS = b"4\r\ndone\r\n0\r\n\r\n"


@when("an endpoint answers in chunks with a content length that is {fault}")
def answer_with_two_framings(context, fault):
    framing = (f"content-length: {LENGTHS[fault]}", "transfer-encoding: chunked")

    async def answer(request, writer):
        writer.write(encode_head(request, *framing) + CHUNKS)

    context.answer = asyncio.run(call_raw_endpoint(ORDER, "shop", answer))


@then("the caller gets the whole body or a refusal")
def check_whole_or_refused(context):
    answer = context.answer
    assert answer.whole, answer
    assert answer.status == 502 or (answer.status, answer.body) == (200, BODY), answer
