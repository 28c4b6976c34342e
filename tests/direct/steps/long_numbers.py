"""Steps with endpoints that send very long numbers."""

import asyncio

from behave import then, when
from raw_endpoints import Script, add_raw_endpoints, encode_framed, encode_head
from scenes import CHAT, call, start_fixture

from pulley_direct.state.loads import get_state

# Time for the first event to be passed on.
PIECE_PAUSE_S = 0.05
HEADERS = {
    "reported load": "instance-load: {number},0,8",
    "idle timeout": "keep-alive: timeout={number}",
}


def encode_answer(request, where: str, number: str) -> bytes:
    """Return an answer that holds the number in one place."""
    body = b"id: 1\ndata: token\n\n"
    line = HEADERS[where].format(number=number)
    return encode_head(request, line, f"content-length: {len(body)}") + body


@when("an endpoint's answer has a number of {n_digits:d} digits as its {where}")
def answer_with_long_number(context, n_digits, where):
    async def answer(request, writer):
        writer.write(encode_answer(request, where, "9" * n_digits))
        await writer.drain()

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            await add_raw_endpoints(fixture, "model", 2, Script([answer]))
            return [await call(fixture, CHAT) for _ in range(2)]

    context.answers = asyncio.run(run())


@then("the caller gets the whole answer")
def check_first_answer(context):
    answer = context.answers[0]
    assert answer.status == 200 and answer.whole, str(answer)[:500]
    assert answer.body.endswith(b"data: token\n\n"), str(answer)[:500]


@then("the next request is answered too")
def check_second_answer(context):
    answer = context.answers[1]
    assert answer.status == 200 and answer.whole, str(answer)[:500]


@when("a stream's second event has an id of {n_digits:d} digits at its first endpoint")
def send_long_event_id(context, n_digits):
    second_id = b"9" * n_digits

    async def answer_first(request, writer):
        events = b"id: 1\ndata: a\n\n"
        writer.write(encode_head(request) + events)
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(b"id: %s\ndata: b\n\n" % second_id)
        await writer.drain()

    async def answer_second(request, writer):
        assert request.headers["last-event-id"] == "1", request.headers
        writer.write(encode_framed(request, "a length", b"id: 2\ndata: b\n\n"))
        await writer.drain()

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            script = Script([answer_first, answer_second])
            await add_raw_endpoints(fixture, "model", 2, script)
            context.answer = await call(fixture, CHAT)
            context.endpoints = [one.endpoint for one in script.requests]
            context.state = get_state(fixture.router.loads, context.endpoints[0])

    asyncio.run(run())


@then("the caller gets every event once from two endpoints")
def check_events_of_two(context):
    expected = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert context.answer.body == expected, str(context.answer)[:500]
    assert context.answer.whole, str(context.answer)[:500]
    assert len(set(context.endpoints)) == 2, context.endpoints


@then("the endpoint whose id was too long counts as failing")
def check_long_id_failing(context):
    assert context.state.n_failures == 1, context.state
