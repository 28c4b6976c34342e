"""Steps with a response that breaks off in the middle."""

import asyncio

from behave import then, when

from pulley_base import split_address
from pulley_http import Response, start_server

PAUSE_S = 0.05
LAST_CHUNK = b"0\r\n\r\n"


async def answer_in_part(request):
    return Response(200, [], break_off())


async def break_off():
    yield b"the first part"
    await asyncio.sleep(PAUSE_S)
    raise RuntimeError("broken off")


@when("a response to a caller of HTTP/{version} breaks off")
def read_broken_response(context, version):
    async def run():
        server = await start_server(answer_in_part, "127.0.0.1", 0)
        address = split_address(server.address)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(f"GET / HTTP/{version}\r\nhost: a\r\n\r\n".encode())
        context.was_reset = False
        context.received = b""
        try:
            while data := await reader.read(1_000):
                context.received += data
        except ConnectionResetError:
            context.was_reset = True
        writer.close()
        server.listener.close()

    asyncio.run(run())


@then("the caller can tell that it is incomplete")
def check_incomplete(context):
    assert b"the first part" in context.received, context.received
    is_chunked = b"chunked" in context.received
    ended = context.received.endswith(LAST_CHUNK)
    assert context.was_reset or (is_chunked and not ended), context.received
