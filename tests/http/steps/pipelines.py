"""Steps in which a half head arrives in one piece with the request before it."""

import asyncio

from behave import when
from raw_callers import connect_raw, read_status

from pulley_http import Limits, Response, start_server
from pulley_http.servers import drain_server

DRAIN_TIMEOUT_MS = 2_000
PAUSE_S = 0.05
LIMITS = Limits(head_timeout_ms=300, idle_timeout_ms=3_000, idle_grace_ms=0)
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
HALF = len(REQUEST) // 2


async def answer_empty(request):
    return Response(200)


async def send_half(limits: Limits, *, drains: bool) -> str:
    """Send one and a half requests; return the status of the second answer.

    With ``drains`` a drain begins after the first answer, and the rest is sent then.
    """
    server = await start_server(answer_empty, "127.0.0.1", 0, limits=limits)
    async with connect_raw(server) as caller:
        caller.send(REQUEST + REQUEST[:HALF])
        assert await read_status(caller) == "200"
        if drains:
            drain = asyncio.create_task(drain_server(server, DRAIN_TIMEOUT_MS))
            await asyncio.sleep(PAUSE_S)
            caller.send(REQUEST[HALF:])
        status = await read_status(caller)
    if drains:
        await drain
    server.listener.close()
    return status


@when("a drain begins after a request and half of a head that arrived together")
def drain_after_half(context):
    context.status = asyncio.run(send_half(Limits(), drains=True))


@when("half of a head arrives together with a request and is not completed")
def leave_half(context):
    context.status = asyncio.run(send_half(LIMITS, drains=False))
