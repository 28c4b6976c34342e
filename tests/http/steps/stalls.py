"""Steps that block the event loop until a timeout has expired."""

import asyncio
import socket
import time
from functools import partial

from behave import then, when
from raw_callers import block_loop, connect_raw, read_status

from pulley_base import PulleyError
from pulley_http import Limits, Response, read_all, start_server
from pulley_http.connections import open_connection

TIMEOUT_MS = 300
LIMITS = Limits(
    head_timeout_ms=TIMEOUT_MS,
    body_timeout_ms=TIMEOUT_MS,
    idle_timeout_ms=TIMEOUT_MS,
    idle_grace_ms=0,
)
# The block begins well before the timeout and ends well after it.
BLOCK_START_MS = 200
BLOCK_MS = 300
# A second block that is due while the first lasts, after the timeout.
SECOND_BLOCK_START_MS = 400
SECOND_BLOCK_MS = 50
# A block that uses up the time that may be granted again, so that the timeout expires
# at 1,000 ms; one in which it expires; and bytes that arrive before its task resumes.
LONG_BLOCK_MS = 500
LAST_BLOCK_START_MS = 900
LAST_BLOCK_MS = 200
LAST_BYTES_MS = 1_050
CONNECT_TIMEOUT_MS = 100
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
BODY = b"data"
PARTS = {"head": (HEAD[:10], HEAD[10:] + BODY), "body": (HEAD + BODY[:1], BODY[1:])}


async def echo(request):
    return Response(200, [], await read_all(request.body))


async def send_in_block(first: bytes, rest: bytes) -> str:
    """Send ``first``, then ``rest`` while the loop is blocked; return the status."""
    server = await start_server(echo, "127.0.0.1", 0, limits=LIMITS)
    loop = asyncio.get_running_loop()
    async with connect_raw(server) as caller:
        caller.send(first)
        loop.call_later(BLOCK_START_MS / 1_000, block_loop, BLOCK_MS, caller, rest)
        status = await read_status(caller)
    server.listener.close()
    return status


@when("a request arrives while the loop is busy past the idle timeout")
def send_request_past_idle_timeout(context):
    context.status = asyncio.run(send_in_block(b"", HEAD + BODY))


@when("the rest of a head arrives while the loop is busy past the head timeout")
def send_head_past_head_timeout(context):
    context.status = asyncio.run(send_in_block(HEAD[:10], HEAD[10:] + BODY))


@when("the rest of a body arrives while the loop is busy past the body timeout")
def send_body_past_body_timeout(context):
    context.status = asyncio.run(send_in_block(HEAD + BODY[:1], BODY[1:]))


@when("the rest of a {part} arrives after its last timeout, while the loop is busy")
def send_rest_after_last_timeout(context, part):
    first, rest = PARTS[part]

    async def run():
        server = await start_server(echo, "127.0.0.1", 0, limits=LIMITS)
        loop = asyncio.get_running_loop()
        async with connect_raw(server) as caller:
            caller.send(first)
            blocks = {BLOCK_START_MS: LONG_BLOCK_MS, LAST_BLOCK_START_MS: LAST_BLOCK_MS}
            for start_ms, block_ms in blocks.items():
                loop.call_later(start_ms / 1_000, block_loop, block_ms, caller, b"")
            # In the turn after the one in which the timeout expires.
            send = partial(block_loop, SECOND_BLOCK_MS, caller, rest)
            loop.call_later(LAST_BYTES_MS / 1_000, loop.call_soon, send)
            status = await read_status(caller)
        server.listener.close()
        return status

    context.status = asyncio.run(run())


@when("a request arrives while the loop is busy after the idle timeout")
def send_request_after_idle_timeout(context):
    async def run():
        server = await start_server(echo, "127.0.0.1", 0, limits=LIMITS)
        loop = asyncio.get_running_loop()
        async with connect_raw(server) as caller:
            loop.call_later(BLOCK_START_MS / 1_000, block_loop, BLOCK_MS, caller, b"")
            loop.call_later(
                SECOND_BLOCK_START_MS / 1_000,
                block_loop,
                SECOND_BLOCK_MS,
                caller,
                HEAD + BODY,
            )
            status = await read_status(caller)
        server.listener.close()
        return status

    context.status = asyncio.run(run())


@when("a caller sends a byte of a head in each turn of the loop")
def send_head_bytewise(context):
    async def send_bytes(caller):
        caller.send(HEAD[:10])
        try:
            while True:
                caller.send(b"x")
                await asyncio.sleep(0)
        except OSError:
            pass

    async def run():
        server = await start_server(echo, "127.0.0.1", 0, limits=LIMITS)
        async with connect_raw(server) as caller:
            sending = asyncio.create_task(send_bytes(caller))
            status = await read_status(caller)
            sending.cancel()
        server.listener.close()
        return status

    context.status = asyncio.run(run())


@then('its answer has the status "{status}"')
def check_status(context, status):
    assert context.status == status, context.status


@when("a connection is made while the loop is busy past the connect timeout")
def connect_past_timeout(context):
    async def run():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "%s:%s" % listener.getsockname()[:2]
            asyncio.get_running_loop().call_soon(time.sleep, BLOCK_MS / 1_000)
            connection = await open_connection(address, CONNECT_TIMEOUT_MS)
            connection.close()

    context.error = None
    try:
        asyncio.run(run())
    except PulleyError as error:
        context.error = error


@then("the connection is open")
def check_connection(context):
    assert context.error is None, repr(context.error)
