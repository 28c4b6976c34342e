"""Steps that count the requests that a server leaves without a whole answer."""

import asyncio

from behave import then, when
from raw_callers import connect_raw, read_status

from pulley_http import Limits, Response, start_server

LIMITS = Limits(head_bytes=100, body_bytes=10)
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
LONG_BODY = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 90\r\n\r\n" + b"x" * 50
LONG_HEAD = b"GET / HTTP/1.1\r\nhost: a\r\nlong: " + b"x" * 200
RESTS = {"an unread body": LONG_BODY, "a head without end": LONG_HEAD}


async def answer_empty(request):
    return Response(200)


async def count_unanswered(context, data: bytes, *, draining: bool) -> None:
    """Send bytes, read one status, and wait until the server has closed."""
    context.n_unanswered = 0

    def count():
        context.n_unanswered += 1

    server = await start_server(
        answer_empty, "127.0.0.1", 0, limits=LIMITS, on_unanswered=count
    )
    async with connect_raw(server) as caller:
        server.draining = draining
        caller.send(data)
        context.status = await read_status(caller)
        while server.connections:
            await asyncio.sleep(0.01)
    server.listener.close()


@when("a server refuses a request with {rest} behind it")
def refuse(context, rest):
    asyncio.run(count_unanswered(context, RESTS[rest], draining=False))


@when("a draining server answers the first of two requests")
def answer_first(context):
    asyncio.run(count_unanswered(context, REQUEST * 2, draining=True))


@then("no request counts as unanswered")
def check_none(context):
    assert context.n_unanswered == 0, context.n_unanswered


@then("{n:d} request counts as unanswered")
def check_count(context, n):
    assert context.n_unanswered == n, context.n_unanswered
