"""Steps with callers who send too much around the chunks of a body."""

import asyncio

from behave import when
from raw_callers import connect_raw, read_status

from pulley_http import Limits, Response, read_all, start_server

LIMITS = Limits(head_bytes=32_000, body_timeout_ms=1_000)
PIECE = b"x" * 1_000
N_PIECES = 200
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
STARTS = {"trailer": b"1\r\na\r\n0\r\nlong: ", "chunk size": b"1;long="}


async def answer_after_body(request):
    return Response(200, [], await read_all(request.body))


@when("a caller sends a {part} of 200 KB without an end")
def send_part(context, part):
    async def run():
        server = await start_server(answer_after_body, "127.0.0.1", 0, limits=LIMITS)
        async with connect_raw(server) as caller:
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, HEAD + STARTS[part])
            for _ in range(N_PIECES):
                await loop.sock_sendall(caller, PIECE)
            context.status = await read_status(caller)
        server.listener.close()

    asyncio.run(run())
