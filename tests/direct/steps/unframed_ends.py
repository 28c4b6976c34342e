"""Steps with answers that end with their connection, at endpoints that then crash."""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from contextlib import ExitStack

from behave import then, when
from broken_streams import EVENT_PART, answer_rest, encode_events
from raw_endpoints import (
    RawEndpoint,
    Script,
    add_raw_endpoints,
    encode_framed,
    encode_head,
    end_connection,
)
from scenes import CHAT, LOOKUP, ONCE, ORDER, RouterFixture, call, start_fixture

from pulley_direct.requests import answer_ends
from pulley_direct.state.loads import get_state

N_EVENTS = 3
PATHS = {
    "a resumable stream": CHAT,
    "a stream of one run": ONCE,
    "a lookup": LOOKUP,
    "an order": ORDER,
}
WHOLE_BODY = b"x" * 800
TIMEOUT_MS = 3_000
LIMIT_S = 10
# How long a dying endpoint still accepts connections.
DYING_S = 0.03
SHORT_TIMEOUT_MS = 150
# A caller's own allowance after its deadline.
MAX_LATE_MS = 500

Crash = Callable[[RawEndpoint], Awaitable[None]]


async def crash(endpoint: RawEndpoint) -> None:
    """Refuse connections from now on."""
    endpoint.server.listener.close()


async def die_slowly(endpoint: RawEndpoint) -> None:
    """Accept connections for a while, and then refuse them."""
    loop = asyncio.get_running_loop()
    loop.call_later(DYING_S, endpoint.server.listener.close)
    endpoint.server.is_dying = True


async def become_unreachable(endpoint: RawEndpoint) -> None:
    """Replace the listener by one that answers no attempt to connect."""
    endpoint.server.listener.close()
    host, port = endpoint.address.split(":")
    sockets = endpoint.server.sockets
    full = socket.socket()
    full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    full.bind((host, int(port)))
    full.listen(0)
    sockets.enter_context(full)
    # A queue of no length holds one connection.
    waiting = sockets.enter_context(socket.socket())
    waiting.connect((host, int(port)))


async def live_on(endpoint: RawEndpoint) -> None:
    """Go on as before."""


CRASHES = {
    "crashes": crash,
    "dies slowly": die_slowly,
    "can't be reached": become_unreachable,
}


def run_calls(context, path: str, head_lines, body: bytes, after: Crash, **options):
    """Call a route whose first endpoint ends its answer and then does ``after``.

    The second endpoint answers with the rest of a stream, or a whole body.
    """
    status = options.pop("status", 200)
    delay_s = options.pop("delay_s", 0.0)

    async def run():
        with ExitStack() as sockets:
            async with asyncio.timeout(LIMIT_S), start_fixture(0) as fixture:

                async def answer_first(request, writer):
                    endpoint = find_endpoint(fixture, request.endpoint)
                    endpoint.server.sockets = sockets
                    await asyncio.sleep(delay_s)
                    writer.write(encode_head(request, *head_lines, status=status))
                    writer.write(body)
                    await writer.drain()
                    await after(endpoint)
                    writer.close()

                streams = path in (CHAT, ONCE)
                answer_second = answer_rest if streams else answer_whole
                script = Script([answer_first, answer_second])
                service = "model" if streams else "shop"
                await add_raw_endpoints(fixture, service, 2, script)
                options.setdefault("timeout_ms", TIMEOUT_MS)
                context.answer = await call(fixture, path, **options)
                context.requests = script.requests
                router = fixture.router
                context.state = get_state(router.loads, script.requests[0].endpoint)
                context.counters = router.counters

    context.records = []
    keeper = RecordKeeper(context.records)
    answer_ends.logger.addHandler(keeper)
    try:
        asyncio.run(run())
    finally:
        answer_ends.logger.removeHandler(keeper)


class RecordKeeper(logging.Handler):
    """A log handler that appends each record to a list."""

    def __init__(self, records: list):
        super().__init__()
        self.records = records

    def emit(self, record):
        self.records.append(record)


def find_endpoint(fixture: RouterFixture, name: str) -> RawEndpoint:
    """Return the endpoint with this name."""
    return next(one for one in fixture.endpoints if one.name == name)


async def answer_whole(request, writer):
    """Answer with a whole body that has a length."""
    writer.write(encode_framed(request, "a length", WHOLE_BODY))


@when("{kind} ends after {n_events:d} of 3 events as its endpoint {after}")
def end_stream(context, kind, n_events, after):
    body = encode_events(1, n_events)
    run_calls(context, PATHS[kind], [], body, CRASHES[after])


@when("{kind} is answered with {n_bytes:d} of 800 bytes by an endpoint that crashes")
def answer_part(context, kind, n_bytes):
    run_calls(context, PATHS[kind], [], WHOLE_BODY[:n_bytes], crash)


@when("an order is answered with a part of an error by an endpoint that crashes")
def answer_part_of_error(context):
    run_calls(context, ORDER, [], b"the stock is", crash, status=404)


@when("{kind} is answered by an endpoint that closes each connection and lives on")
def answer_and_live_on(context, kind):
    path = PATHS[kind]
    context.expected = (
        encode_events(1, N_EVENTS) if path in (CHAT, ONCE) else WHOLE_BODY
    )
    run_calls(context, path, [], context.expected, live_on)


@when("an order is rejected as not run by an endpoint that crashes")
def reject_order(context):
    lines = ["not-executed: 1"]
    run_calls(context, "/open/", lines, b"full", crash, status=503)


@when(
    "an order is answered just before its deadline by an endpoint that can't be reached"
)
def answer_before_deadline(context):
    run_calls(
        context,
        ORDER,
        [],
        WHOLE_BODY,
        become_unreachable,
        timeout_ms=SHORT_TIMEOUT_MS,
        delay_s=SHORT_TIMEOUT_MS / 2_000,
    )


@when("the answer to {request} has no body and its endpoint crashes")
def answer_without_body(context, request):
    kind, _, status = request.partition(", ")
    options = {"status": int(status)} if status else {"method": "HEAD"}
    run_calls(context, ORDER, [], b"", crash, **options)


@when("{kind} gets a part of its answer together with a reset")
def reset_with_data(context, kind):
    path = PATHS[kind]
    part = encode_events(1, 2) + EVENT_PART if path == ONCE else WHOLE_BODY[:400]

    async def run():
        async with asyncio.timeout(LIMIT_S), start_fixture(0) as fixture:

            async def answer(request, writer):
                writer.write(encode_head(request) + part)
                await end_connection(writer, "reset", delay_s=0.0)

            service = "model" if path == ONCE else "shop"
            await add_raw_endpoints(fixture, service, 1, Script([answer]))
            context.answer = await call(fixture, path, timeout_ms=TIMEOUT_MS)

    asyncio.run(run())


@then("the caller gets {n_events:d} events and a {end} stream")
def check_events(context, n_events, end):
    assert context.answer.body == encode_events(1, n_events), context.answer
    assert context.answer.status == 200, context.answer
    assert context.answer.whole == (end == "complete"), context.answer


@then("the second endpoint was asked for what follows event {last_id}")
def check_second_request(context, last_id):
    assert len(context.requests) == 2, context.requests
    assert context.requests[1].headers["last-event-id"] == last_id, context.requests


@then("the endpoint counts as failing")
def check_failing(context):
    assert context.state.n_failures == 1, context.state


@then("its caller gets the status {status:d} and {n_bytes:d} bytes of the endpoint's")
def check_status_and_body(context, status, n_bytes):
    assert context.answer.status == status, context.answer
    if n_bytes:
        assert context.answer.body == WHOLE_BODY[:n_bytes], context.answer
    else:
        assert b'"outcome": "unknown"' in context.answer.body, context.answer


@then("the caller gets all of the answer")
def check_all(context):
    assert context.answer.status == 200 and context.answer.whole, context.answer
    assert context.answer.body == context.expected, context.answer


@then("one endpoint was asked once, and it counts as good")
def check_one_good(context):
    assert len(context.requests) == 1, context.requests
    assert context.state.n_failures == 0, context.state


@then("the end of the answer is in the log and the counters")
def check_observed(context):
    assert context.counters.unframed_ends == {"complete": 1}, context.counters
    (record,) = context.records
    assert (record.end, record.status) == ("complete", 200), vars(record)


@then("the order is refused as not run")
def check_not_run(context):
    assert context.answer.status == 503, context.answer
    assert context.answer.header("pulley-outcome") == "not-run", context.answer


@then("its caller gets the status 504 before its deadline has long passed")
def check_in_time(context):
    assert context.answer.status == 504, context.answer
    assert context.answer.took_ms < SHORT_TIMEOUT_MS + MAX_LATE_MS, context.answer


@then("the caller gets the answer's status {status:d}")
def check_status(context, status):
    assert context.answer.status == status, context.answer


@then("it is not complete")
def check_incomplete(context):
    assert context.answer.status == 502 or not context.answer.whole, context.answer
