"""Steps with streams that have not ended at their deadline."""

import asyncio

from behave import then, when
from raw_endpoints import (
    RawAnswer,
    Script,
    add_raw_endpoints,
    encode_chunk,
    encode_head,
)
from scenes import CHAT, ONCE, ORDER, call, start_fixture

from pulley_direct.state.loads import get_state

TIMEOUT_MS = 1_200
MAX_LATE_MS = 300
# Shorter than the time after which a missed deadline counts.
SHORT_TIMEOUT_MS = 400
KINDS = {"an order": (ORDER, "shop"), "a stream": (ONCE, "model")}
EVENT_PERIOD_S = 0.03
# Time for a late attempt at another endpoint to be seen.
SETTLE_S = 0.2
FRAMINGS = {
    "nothing": ((), lambda event: event),
    "chunks": (("transfer-encoding: chunked",), encode_chunk),
}


def stream_without_end(framing: str) -> RawAnswer:
    """Return an answer of events until the router closes the connection."""
    lines, encode_event = FRAMINGS[framing]

    async def answer(request, writer):
        writer.write(encode_head(request, *lines))
        number = int(request.headers.get("last-event-id", 0))
        while not writer.is_closing():
            number += 1
            writer.write(encode_event(b"id: %d\ndata: x\n\n" % number))
            await writer.drain()
            await asyncio.sleep(EVENT_PERIOD_S)

    return answer


async def fall_silent(request, writer):
    """Send one event, then nothing."""
    writer.write(encode_head(request) + b"id: 1\ndata: x\n\n")
    await writer.drain()
    await asyncio.Event().wait()


def run_past_deadline(
    context,
    path: str,
    answer: RawAnswer,
    service: str = "model",
    timeout_ms: int = TIMEOUT_MS,
) -> None:
    """Call a route whose endpoints do not end their answers in time."""
    context.timeout_ms = timeout_ms

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            script = Script([answer])
            await add_raw_endpoints(fixture, service, 2, script)
            context.answer = await call(fixture, path, timeout_ms=timeout_ms)
            await asyncio.sleep(SETTLE_S)
            context.requests = script.requests
            first = script.requests[0].endpoint
            context.state = get_state(fixture.router.loads, first)
            context.counters = fixture.router.counters

    asyncio.run(run())


@when("a resumable stream by {framing} still goes on after its {timeout_ms:d} ms")
def go_on_at_deadline(context, framing, timeout_ms):
    answer = stream_without_end(framing)
    run_past_deadline(context, CHAT, answer, timeout_ms=timeout_ms)


@when("a stream that can't be resumed falls silent until its deadline")
def fall_silent_until_deadline(context):
    run_past_deadline(context, ONCE, fall_silent)


@then("the caller's stream is cut at its deadline")
def check_cut_at_deadline(context):
    answer = context.answer
    assert (answer.status, answer.whole) == (200, False), answer
    assert answer.took_ms < context.timeout_ms + MAX_LATE_MS, answer.took_ms


@then("only the first endpoint was asked, and no retry was spent")
def check_one_request(context):
    assert len(context.requests) == 1, context.requests
    assert not context.counters.retries, context.counters.retries


@then("the endpoint of that stream does not count as failing")
def check_endpoint_sound(context):
    assert context.state.n_failures == 0, context.state
    assert context.state.record.bad == 0, context.state


@then("the endpoint of that stream counts as failing")
def check_endpoint_failing(context):
    assert context.state.n_failures == 1, context.state
    assert context.state.record.bad > 0, context.state


async def send_head_only(request, writer):
    """Send the head of an answer, then nothing."""
    writer.write(encode_head(request))
    await writer.drain()
    await asyncio.Event().wait()


@when("{kind} has begun but is not there at a short deadline")
def begin_before_short_deadline(context, kind):
    path, service = KINDS[kind]
    run_past_deadline(context, path, send_head_only, service, SHORT_TIMEOUT_MS)


@then('its caller gets a {status:d} for "{reason}"')
def check_status_and_reason(context, status, reason):
    found = (context.answer.status, context.answer.header("pulley-reason"))
    assert found == (status, reason), context.answer


@then("its endpoint is late, but not in backoff")
def check_no_backoff(context):
    assert context.state.record.bad == 1, context.state
    assert context.state.n_failures == 0, context.state
