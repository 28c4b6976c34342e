"""Steps with endpoints that send bytes without end."""

import asyncio
import time
from collections.abc import Callable

from behave import then, when
from raw_endpoints import (
    RawAnswer,
    RawRequest,
    Script,
    add_raw_endpoints,
    call_raw_endpoint,
    encode_chunk,
    encode_framed,
    encode_head,
)
from scenes import ONCE, ORDER, Answer, call, start_fixture

from pulley_direct.requests.events import EventBuffer, take_events
from pulley_direct.state.loads import get_state

# Just below the timeout of the routes: large bodies have to reach their limit in it.
TIMEOUT_MS = 1_900
# Time after its deadline within which a request has to end.
MAX_LATE_MS = 500
MAX_CALL_S = 10
# Time for the router's side of a connection to be closed, in turns of the loop.
CLOSE_WAIT_TURNS = 20
CLOSE_WAIT_TURN_S = 0.01
PIECE_BYTES = 65_536
SLOW_PIECE = b"y"
SLOW_PERIOD_S = 0.02
MEBIBYTE = 1024 * 1024
EVENT_BYTES = 512 * 1024
EVENT_PIECE_BYTES = 64
MAX_EVENT_S = 0.5
MAX_TURN_S = 0.1
# Enough to fill the router's buffer at once.
N_BUFFERED_PIECES = 32

CHUNKED = "transfer-encoding: chunked"
INFORMATIONAL = b"HTTP/1.1 103 x\r\nx: y\r\n\r\n"
OTHER_ANSWER = encode_framed(RawRequest("", {"attempt-id": "other"}), "a length", b"no")
TINY_CHUNK_CASES = {
    "an order": (ORDER, "shop", None),
    "a stream": (ONCE, "model", None),
    "an answer to another order": (ORDER, "shop", "other"),
}
FIRST_EVENT = b"id: 1\ndata: token 1\n\n"


def repeat(data: bytes) -> bytes:
    """Return about ``PIECE_BYTES`` of repeated data."""
    return data * (PIECE_BYTES // len(data))


def start_nothing(request: RawRequest) -> bytes:
    return b""


def start_header_line(request: RawRequest) -> bytes:
    return encode_head(request)[:-2] + b"x-fill: "


def start_header_lines(request: RawRequest) -> bytes:
    return encode_head(request)[:-2]


def start_body(request: RawRequest) -> bytes:
    return encode_head(request)


def start_chunks(request: RawRequest) -> bytes:
    return encode_head(request, CHUNKED)


def start_chunk_extension(request: RawRequest) -> bytes:
    return encode_head(request, CHUNKED) + b"5;"


def start_trailers(request: RawRequest) -> bytes:
    return encode_head(request, CHUNKED) + b"0\r\n"


def start_refusal(request: RawRequest) -> bytes:
    return encode_head(request, "not-executed: 1", status=503)


def start_other_body(request: RawRequest) -> bytes:
    return encode_head(RawRequest("", {"attempt-id": "other"}))


def start_after_event(request: RawRequest) -> bytes:
    return encode_head(request) + FIRST_EVENT


# The first bytes of an answer, and those that follow them again and again.
ENDLESS: dict[str, tuple[Callable[[RawRequest], bytes], bytes]] = {
    "a status line": (lambda request: b"HTTP/1.1 200 ", repeat(b"y")),
    "a header line": (start_header_line, repeat(b"y")),
    "header lines": (start_header_lines, repeat(b"x: y\r\n")),
    "informational answers": (start_nothing, repeat(INFORMATIONAL)),
    "answers to another request": (start_nothing, repeat(OTHER_ANSWER)),
    "a chunk size": (start_chunks, repeat(b"0")),
    "a chunk extension": (start_chunk_extension, repeat(b"y")),
    "trailers": (start_trailers, repeat(b"x: y\r\n")),
    "a body without a length": (start_body, repeat(b"y")),
    "chunks": (start_chunks, encode_chunk(repeat(b"y"))),
    "the body of a refusal": (start_refusal, repeat(b"y")),
    "a body to another request": (start_other_body, repeat(b"y")),
    "one event": (lambda request: encode_head(request) + b"data: ", repeat(b"y")),
    "an event after another": (start_after_event, repeat(b"y")),
    "comment lines": (start_body, repeat(b": fill\n")),
}


async def write_without_end(script: Script, writer, piece: bytes, period_s: float):
    """Write a piece again and again until the router closes the connection."""
    while not writer.is_closing():
        writer.write(piece)
        await writer.drain()
        script.n_sent_bytes += len(piece)
        await asyncio.sleep(period_s)


def answer_without_end(script: Script, name: str, *, slowly: bool) -> RawAnswer:
    """Return an answer of bytes without end."""
    start, piece = ENDLESS[name]

    async def answer(request, writer):
        writer.write(start(request))
        if slowly:
            await write_without_end(script, writer, SLOW_PIECE, SLOW_PERIOD_S)
        else:
            await write_without_end(script, writer, piece, 0)

    return answer


def run_endless(context, path: str, service: str, name: str, *, slowly: bool = False):
    """Call a route whose only endpoint sends bytes without end."""

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            script = Script([])
            script.answers.append(answer_without_end(script, name, slowly=slowly))
            await add_raw_endpoints(fixture, service, 1, script)
            context.answer = await call_in_time(fixture, path)
            for _ in range(CLOSE_WAIT_TURNS):
                await asyncio.sleep(CLOSE_WAIT_TURN_S)
            context.n_sent_bytes, context.n_open = script.n_sent_bytes, script.n_open
            context.state = get_state(fixture.router.loads, "raw-0")

    asyncio.run(run())


async def call_in_time(fixture, path: str) -> Answer:
    """Call a route; the answer has no status if none comes in ``MAX_CALL_S``."""
    try:
        async with asyncio.timeout(MAX_CALL_S):
            return await call(fixture, path, timeout_ms=TIMEOUT_MS)
    except TimeoutError:
        return Answer(took_ms=MAX_CALL_S * 1_000)


@when("an order's endpoint sends {name} without end")
def send_to_order_without_end(context, name):
    run_endless(context, ORDER, "shop", name)


@when("a stream's endpoint sends {name} without end")
def send_to_stream_without_end(context, name):
    run_endless(context, ONCE, "model", name)


@when("an order's endpoint drips {name}")
def send_to_order_slowly(context, name):
    run_endless(context, ORDER, "shop", name, slowly=True)


@when("{count:d} {name} come before the answer to a request")
def send_before_answer(context, count, name):
    data = {
        "informational answers": INFORMATIONAL,
        "answers to another request": OTHER_ANSWER,
    }[name]

    async def answer(request, writer):
        writer.write(data * count + encode_framed(request, "a length", b"own"))
        await writer.drain()

    context.answer = asyncio.run(call_raw_endpoint(ORDER, "shop", answer, TIMEOUT_MS))


@when("an event of 512 KiB comes in pieces of 64 bytes")
def take_large_event(context):
    event = b"data: " + b"y" * EVENT_BYTES + b"\n\n"
    buffer = EventBuffer()
    started = time.process_time()
    taken = [
        take_events(buffer, event[position : position + EVENT_PIECE_BYTES])
        for position in range(0, len(event), EVENT_PIECE_BYTES)
    ]
    context.took_s = time.process_time() - started
    assert b"".join(taken) == event


@when("{kind} gets tiny chunks without end from its endpoint")
def send_tiny_chunks(context, kind):
    path, service, request_id = TINY_CHUNK_CASES[kind]

    async def answer(request, writer):
        named = RawRequest("", {"attempt-id": request_id or request.request_id})
        writer.write(start_chunks(named))
        piece = repeat(encode_chunk(b"y")) * N_BUFFERED_PIECES
        await write_without_end(Script([]), writer, piece, 0)

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            await add_raw_endpoints(fixture, service, 1, Script([answer]))
            task = asyncio.create_task(call(fixture, path, timeout_ms=TIMEOUT_MS))
            context.longest_turn_s = await measure_longest_turn(task)
            context.state = get_state(fixture.router.loads, "raw-0")

    asyncio.run(run())


async def measure_longest_turn(task: asyncio.Task) -> float:
    """Return the most processor time between two turns of the event loop, in s."""
    longest_s = 0.0
    while not task.done():
        started_s = time.process_time()
        await asyncio.sleep(0)
        longest_s = max(longest_s, time.process_time() - started_s)
    return longest_s


@then('the caller gets a {status:d} with the outcome "{outcome}" in time')
def check_outcome_in_time(context, status, outcome):
    answer = context.answer
    found = (answer.status, answer.header("pulley-outcome"))
    assert found == (status, outcome), str(answer)[:500]
    assert answer.whole, str(answer)[:500]
    check_in_time(context)


def check_in_time(context):
    assert context.answer.took_ms < TIMEOUT_MS + MAX_LATE_MS, context.answer.took_ms


@then("the caller's stream {result} in time")
def check_stream_in_time(context, result):
    answer = context.answer
    expected = {"is refused": (502, True), "is cut": (200, False)}[result]
    assert (answer.status, answer.whole) == expected, str(answer)[:500]
    check_in_time(context)
    if result == "is cut":
        assert answer.body == FIRST_EVENT, str(answer)[:500]


@then(
    "the router took at most {most:d} MiB from the endpoint and closed its connection"
)
def check_taken_bytes(context, most):
    assert context.n_sent_bytes <= most * MEBIBYTE, context.n_sent_bytes / MEBIBYTE
    assert context.n_open == 0, context.n_open


@then("the endpoint that sent without end counts as failing")
def check_endless_endpoint_failing(context):
    assert context.state.n_failures == 1, context.state
    assert context.state.record.bad > 0, context.state


@then("the caller gets the answer after them")
def check_answer_after(context):
    assert (context.answer.status, context.answer.body) == (200, b"own"), context.answer


@then("taking it out takes less than half a second")
def check_event_time(context):
    assert context.took_s < MAX_EVENT_S, context.took_s


@then("the router gave other work a turn every 100 ms")
def check_longest_turn(context):
    assert context.longest_turn_s < MAX_TURN_S, context.longest_turn_s
