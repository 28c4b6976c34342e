"""Steps with endpoints whose streams end inside an event, or seem to."""

import asyncio

from behave import then, when
from raw_endpoints import (
    RawAnswer,
    Script,
    add_raw_endpoints,
    encode_framed,
    end_connection,
)
from scenes import CHAT, ONCE, call, start_fixture

from pulley_direct.state.loads import get_state

N_EVENTS = 3
KINDS = {"a resumable stream": CHAT, "a stream of one run": ONCE}
EVENT_PART = b"id: 3\nda"
RESTS = {"its last event": b"", "another newline": b"\n", "a comment": b": end\n"}
BODIES = {"no byte of its body": b"", "a part of its event": b"id: 1\nda"}
TIMEOUT_MS = 3_000
# Time for the first events to be passed on.
PAUSE_S = 0.05
# Time for the router's side of a connection to be closed.
CLOSE_WAIT_S = 0.05


def encode_events(first: int, last: int) -> bytes:
    """Return the events with these ids."""
    numbers = range(first, last + 1)
    return b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in numbers)


def answer_with(body: bytes, framing: str, end: str) -> RawAnswer:
    """Return an answer with this body, framing and end of its connection."""

    async def answer(request, writer):
        writer.write(encode_framed(request, framing, body))
        await end_connection(writer, end)

    return answer


async def answer_rest(request, writer):
    """Answer with the events that follow the request's last event id."""
    first = int(request.headers.get("last-event-id", 0)) + 1
    writer.write(encode_framed(request, "chunks", encode_events(first, N_EVENTS)))


def run_stream(context, path: str, answers: list[RawAnswer]) -> None:
    """Call a route once, with three endpoints that answer by this script."""

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            script = Script(answers)
            await add_raw_endpoints(fixture, "model", 3, script)
            context.answer = await asyncio.wait_for(
                call(fixture, path, timeout_ms=TIMEOUT_MS), 2 * TIMEOUT_MS / 1_000
            )
            await asyncio.sleep(CLOSE_WAIT_S)
            context.requests = script.requests
            first = script.requests[0].endpoint
            context.first_state = get_state(fixture.router.loads, first)
            addresses = {one.name: one.address for one in fixture.endpoints}
            context.n_kept = fixture.router.pool.n_open[addresses[first]]

    asyncio.run(run())


@when("a resumable stream framed by {framing} ends inside an event with a {end}")
def end_resumable_stream_early(context, framing, end):
    body = encode_events(1, 2) + EVENT_PART
    run_stream(context, CHAT, [answer_with(body, framing, end), answer_rest])


@when("a stream of one run framed by {framing} ends inside an event")
def end_single_stream_early(context, framing):
    body = encode_events(1, 2) + EVENT_PART
    run_stream(context, ONCE, [answer_with(body, framing, "close")])


@when("a stream of one run without a length pauses, then ends inside an event")
def end_single_stream_after_pause(context):
    async def answer(request, writer):
        writer.write(encode_framed(request, "nothing", encode_events(1, 2)))
        await asyncio.sleep(PAUSE_S)
        writer.write(EVENT_PART)
        writer.close()

    run_stream(context, ONCE, [answer])


@when("{kind} without a length closes after {body}")
def close_before_first_event(context, kind, body):
    first = answer_with(BODIES[body], "nothing", "close")
    run_stream(context, KINDS[kind], [first, answer_rest])


@when("a whole stream framed by {framing} ends with {rest}")
def end_whole_stream(context, framing, rest):
    context.expected = encode_events(1, N_EVENTS) + RESTS[rest]
    run_stream(context, CHAT, [answer_with(context.expected, framing, "close")])


@when("a resumable stream is reset after its last event and has no more events")
def reset_after_last_event(context):
    first = answer_with(encode_events(1, N_EVENTS), "nothing", "reset")
    run_stream(context, CHAT, [first, answer_rest])


@when("a resumable stream ends inside an event at each endpoint")
def end_early_at_each_endpoint(context):
    async def answer_early(request, writer):
        first = int(request.headers.get("last-event-id", 0)) + 1
        body = encode_events(first, 2) + EVENT_PART
        await answer_with(body, "nothing", "close")(request, writer)

    run_stream(context, CHAT, [answer_early])


@then("the caller gets each event once and a complete stream")
def check_each_event_once(context):
    assert context.answer.body == encode_events(1, N_EVENTS), context.answer
    assert context.answer.whole, context.answer


@then("the second endpoint was asked for what follows the last whole event")
def check_second_request(context):
    assert len(context.requests) == 2, context.requests
    assert context.requests[1].headers["last-event-id"] == "2", context.requests


@then("the endpoint whose stream ended early counts as failing")
def check_first_failing(context):
    assert context.first_state.n_failures == 1, context.first_state
    assert context.first_state.record.bad > 0, context.first_state


@then("its connection is not kept")
def check_connection_closed(context):
    assert context.n_kept == 0, context.n_kept


@then("the caller gets the whole events, and its answer is cut")
def check_cut_stream(context):
    assert context.answer.body == encode_events(1, 2), context.answer
    assert context.answer.status == 200 and not context.answer.whole, context.answer


@then("the caller's status is {status:d} and the stream has {n_events:d} events")
def check_status_and_events(context, status, n_events):
    assert context.answer.status == status, context.answer
    assert context.answer.whole, context.answer
    if n_events:
        assert context.answer.body == encode_events(1, n_events), context.answer


@then("the caller gets all of its bytes and a complete stream")
def check_all_bytes(context):
    assert context.answer.body == context.expected, context.answer
    assert context.answer.whole, context.answer


@then("one endpoint was asked, and it does not count as failing")
def check_one_sound_endpoint(context):
    assert len(context.requests) == 1, context.requests
    assert context.first_state.n_failures == 0, context.first_state


@then("as many endpoints were asked as the route allows")
def check_n_requests(context):
    assert len(context.requests) == 2, context.requests
