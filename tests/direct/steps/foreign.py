"""Steps with an endpoint that sends an incomplete answer to an earlier request."""

import asyncio

from behave import then, when
from raw_endpoints import RawRequest, call_raw_endpoint, encode_chunk, encode_head
from scenes import ORDER

TIMEOUT_MS = 600
MAX_TOOK_MS = 1_100
PIECE = encode_chunk(b"again")
PIECE_PAUSE_S = 0.02
EARLIER = RawRequest("", {"attempt-id": "request-0"})


async def stop_midway(request, writer):
    """Send the start of an answer to another request."""
    writer.write(encode_head(EARLIER, "content-length: 10") + b"abc")


async def go_on_forever(request, writer):
    """Send an answer to another request that does not end."""
    writer.write(encode_head(EARLIER, "transfer-encoding: chunked"))
    while not writer.is_closing():
        writer.write(PIECE)
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)


ANSWERS = {"stops midway": stop_midway, "goes on forever": go_on_forever}


@when("an endpoint's answer to an earlier request {fault}")
def answer_earlier_request(context, fault):
    calling = call_raw_endpoint(ORDER, "shop", ANSWERS[fault], TIMEOUT_MS)
    context.answer = asyncio.run(calling)


@then("the request is refused within its timeout")
def check_refused_in_time(context):
    answer = context.answer
    assert answer.status in (502, 504), answer
    assert answer.took_ms < MAX_TOOK_MS, answer
