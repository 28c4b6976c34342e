"""Steps with streams whose second endpoint does not continue them."""

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
from scenes import CHAT, ONCE, call, start_fixture

N_EVENTS = 3
TIMEOUT_MS = 3_000
SILENCE_S = 1.8
TYPE = "content-type: text/event-stream"
TEXT_TYPE = "content-type: text/plain"
CHUNKED = "transfer-encoding: chunked"
ERROR = b'{"error": "the engine is out of memory"}\n'
ERROR_HEAD = b"HTTP/1.1 500 Internal\r\ncontent-length: 0\r\n\r\n"
REST = encode_events(N_EVENTS, N_EVENTS)


def with_length(
    request: RawRequest, body: bytes, *lines: str, status: int = 200
) -> bytes:
    """Return an answer whose body has a length."""
    lines = (*lines, f"content-length: {len(body)}")
    return encode_head(request, *lines, status=status) + body


def in_chunks(
    request: RawRequest, body: bytes, *lines: str, status: int = 200
) -> bytes:
    """Return an answer whose body comes in one chunk."""
    head = encode_head(request, *lines, CHUNKED, status=status)
    return head + encode_chunk(body) + b"0\r\n\r\n"


def by_nothing(
    request: RawRequest, body: bytes, *lines: str, status: int = 200
) -> bytes:
    """Return an answer whose body ends with its connection."""
    return encode_head(request, *lines, status=status) + body


NOT_RUN = "not-executed: 1"
CONTINUATIONS = {
    "a refusal with a length": lambda r: with_length(r, ERROR, NOT_RUN, status=503),
    "a refusal by nothing": lambda r: by_nothing(r, ERROR, NOT_RUN, status=503),
    "an error with a length": lambda r: with_length(r, ERROR, status=500),
    "an error in chunks": lambda r: in_chunks(r, ERROR, status=500),
    "an error by nothing": lambda r: by_nothing(r, ERROR, status=404),
    "an error's head without an end": lambda r: encode_head(r, status=500)[:-2],
    "a redirection": lambda r: with_length(r, b"", "location: /", status=302),
    "204": lambda r: encode_head(r, status=204),
    "a success of another type with no body": lambda r: with_length(r, b"", TEXT_TYPE),
    "a success of another type with a text": lambda r: with_length(r, ERROR, TEXT_TYPE),
    "a success of another type with a blank line": lambda r: in_chunks(
        r, ERROR + b"\n", TEXT_TYPE
    ),
    "an event's start and then an error's head": lambda r: by_nothing(
        r, b"id: 3\ndata: tok" + ERROR_HEAD[:-2], TYPE
    ),
    "the rest with the type's parameters": lambda r: with_length(
        r, REST, TYPE + "; charset=utf-8"
    ),
    "the rest in chunks": lambda r: in_chunks(r, REST, TYPE),
}


def run_stream(context, continuation: str, silence_s: float = 0.0) -> None:
    """Read a stream that breaks off, or falls silent, and its continuation."""

    async def answer_first(request, writer):
        writer.write(encode_head(request, TYPE, CHUNKED))
        writer.write(encode_chunk(encode_events(1, 2)))
        if silence_s:
            await asyncio.sleep(silence_s)
            writer.write(encode_chunk(REST) + b"0\r\n\r\n")
        else:
            await end_connection(writer, "reset")

    async def answer_second(request, writer):
        writer.write(CONTINUATIONS[continuation](request))
        await end_connection(writer, "close")

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            script = Script([answer_first, answer_second])
            await add_raw_endpoints(fixture, "model", 2, script)
            context.answer = await call(fixture, CHAT, timeout_ms=TIMEOUT_MS)
            context.requests = script.requests

    asyncio.run(run())


@when("a stream breaks off after 2 of 3 events and its continuation is {continuation}")
def break_off(context, continuation):
    run_stream(context, continuation)


@when(
    "the endpoint of a stream by {framing} writes an error's head after 2 of 3 events"
)
def write_head_into_stream(context, framing):
    async def answer(request, writer):
        body = encode_events(1, 2) + ERROR_HEAD
        writer.write(encode_framed(request, framing, body))
        await end_connection(writer, "close")

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            await add_raw_endpoints(fixture, "model", 1, Script([answer]))
            context.answer = await call(fixture, ONCE, timeout_ms=TIMEOUT_MS)

    asyncio.run(run())


@when(
    "a stream falls silent after 2 of 3 events and its continuation is {continuation}"
)
def fall_silent(context, continuation):
    run_stream(context, continuation, SILENCE_S)


@then("the caller gets the 2 events and nothing else, and its stream is cut")
def check_cut(context):
    assert context.answer.body == encode_events(1, 2), context.answer
    assert context.answer.status == 200 and not context.answer.whole, context.answer


@then("both endpoints were asked")
def check_both_asked(context):
    assert len({one.endpoint for one in context.requests}) == 2, context.requests


@then("the caller gets each of the 3 events once and a complete stream")
def check_complete(context):
    assert context.answer.body == encode_events(1, N_EVENTS), context.answer
    assert context.answer.whole, context.answer
