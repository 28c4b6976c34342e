"""Steps with a response that breaks off in the middle."""

import asyncio

from behave import then, when

from pulley_base import split_address
from pulley_http import Response, drain_server, start_server

PAUSE_S = 0.05
LONG_PAUSE_S = 5
DRAIN_MS = 50
LAST_CHUNK = b"0\r\n\r\n"


async def answer_in_part(request):
    return Response(200, [], break_off())


async def break_off():
    yield b"the first part"
    await asyncio.sleep(PAUSE_S)
    raise RuntimeError("broken off")


async def answer_slowly(request):
    return Response(200, [], send_part_and_wait())


async def send_part_and_wait():
    yield b"the first part"
    await asyncio.sleep(LONG_PAUSE_S)


async def answer_whole(request):
    return Response(200, [], send_whole())


async def send_whole():
    yield b"the first part"
    await asyncio.sleep(PAUSE_S)
    yield b", the last part"


def read_response(context, version, handler, drain_ms=None):
    """Read what a caller gets until its connection ends, and how that ends.

    With ``drain_ms`` the server is drained for that long once the answer has begun.
    """

    async def run():
        server = await start_server(handler, "127.0.0.1", 0)
        address = split_address(server.address)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"GET / HTTP/{version}\r\nhost: a\r\n\r\n".encode())
        context.was_reset = False
        context.received = b""
        draining = None
        try:
            while data := await reader.read(1_000):
                context.received += data
                if draining is None and drain_ms is not None:
                    draining = asyncio.create_task(drain_server(server, drain_ms))
        except ConnectionResetError:
            context.was_reset = True
        writer.close()
        server.listener.close()

    asyncio.run(run())


@when("a response to a caller of HTTP/{version} breaks off")
def read_broken_response(context, version):
    read_response(context, version, answer_in_part)


@when("a drain ends while a response to a caller of HTTP/{version} goes on")
def read_drained_response(context, version):
    read_response(context, version, answer_slowly, drain_ms=DRAIN_MS)


@when("a response to a caller of HTTP/{version} is complete")
def read_whole_response(context, version):
    read_response(context, version, answer_whole)


@then("the caller gets all of it, and the connection is closed in order")
def check_whole(context):
    assert context.received.endswith(b"the first part, the last part"), context.received
    assert not context.was_reset


@then("the caller can tell that it is incomplete")
def check_incomplete(context):
    assert b"the first part" in context.received, context.received
    is_chunked = b"chunked" in context.received
    ended = context.received.endswith(LAST_CHUNK)
    assert context.was_reset or (is_chunked and not ended), context.received
