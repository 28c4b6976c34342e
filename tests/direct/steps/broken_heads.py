"""Steps with endpoints that stop in the middle of an answer's head."""

import asyncio

from behave import then, when
from broken_streams import encode_events
from raw_endpoints import (
    RawRequest,
    Script,
    add_raw_endpoints,
    encode_chunk,
    encode_framed,
    encode_head,
    end_connection,
)
from scenes import CHAT, LOOKUP, ORDER, call, start_fixture

TIMEOUT_MS = 3_000
BODY = b"x" * 800
STATUS_LINE = b"HTTP/1.1 200 OK"
OTHER_ANSWER = encode_framed(RawRequest("", {"attempt-id": "other"}), "a length", b"no")
INFORMATIONAL = b"HTTP/1.1 103 x\r\nx: y\r\n\r\n"


def encode_headers(request: RawRequest) -> bytes:
    """Return a head with all headers, without the blank line that ends it."""
    return encode_head(request, "content-length: 800")[: -len(b"\r\n")]


def encode_half_header(request: RawRequest) -> bytes:
    """Return a head that stops in the middle of a header."""
    return encode_headers(request)[: -len(b"h: 800\r\n")]


PARTS = {
    "a part of the status line": lambda request: STATUS_LINE[:9],
    "the status line": lambda request: STATUS_LINE + b"\r\n",
    "the status line and half its end": lambda request: STATUS_LINE + b"\r",
    "a part of a header": encode_half_header,
    "all headers": encode_headers,
    "all headers and half the last line's end": lambda request: (
        encode_headers(request) + b"\r"
    ),
    "a length whose last digits are missing": lambda request: encode_headers(request)[
        : -len(b"0\r\n")
    ],
    "an informational answer and a part of a header": lambda request: (
        INFORMATIONAL + encode_half_header(request)
    ),
    "another's answer and a part of a header": lambda request: (
        OTHER_ANSWER + encode_half_header(request)
    ),
}


def run_call(context, path: str, service: str, answers: list) -> None:
    """Call a route with two endpoints that answer by this script."""

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            await add_raw_endpoints(fixture, service, 2, Script(answers))
            context.answer = await call(fixture, path, timeout_ms=TIMEOUT_MS)

    asyncio.run(run())


def answer_in_part(part: str, end: str):
    """Return an answer that stops in the middle of its head."""

    async def answer(request, writer):
        writer.write(PARTS[part](request))
        await end_connection(writer, end)

    return answer


async def answer_whole(request, writer):
    """Answer with a whole body."""
    writer.write(encode_framed(request, "a length", BODY))


async def break_stream(request, writer):
    """Send two events of a stream and reset the connection."""
    writer.write(encode_head(request, "transfer-encoding: chunked"))
    writer.write(encode_chunk(encode_events(1, 2)))
    await end_connection(writer, "reset")


@when("the endpoint of an order sends {part} and then a {end}")
def answer_order(context, part, end):
    run_call(context, ORDER, "shop", [answer_in_part(part, end)])


@when("the endpoint of a lookup sends {part} and then a {end}")
def answer_lookup(context, part, end):
    run_call(context, LOOKUP, "shop", [answer_in_part(part, end), answer_whole])


@when("a stream breaks off and the next endpoint sends {part} and then a close")
def continue_in_part(context, part):
    run_call(context, CHAT, "model", [break_stream, answer_in_part(part, "close")])


@then("the caller gets a 502 that says so, and nothing of the endpoint's")
def check_unknown(context):
    assert context.answer.status == 502, context.answer
    assert context.answer.header("pulley-outcome") == "unknown", context.answer


@then("the caller gets the second endpoint's answer")
def check_second(context):
    assert (context.answer.status, context.answer.body) == (200, BODY), context.answer


@then("the caller gets the stream's first events, and it is cut")
def check_cut(context):
    assert context.answer.body == encode_events(1, 2), context.answer
    assert not context.answer.whole, context.answer
