"""Steps with servers that send bytes without end."""

import asyncio

from behave import then, when

from pulley_base import PulleyError
from pulley_http import Client, fetch

MEBIBYTE = 1024 * 1024
PIECE_BYTES = 65_536
FETCH_TIMEOUT_MS = 20_000
MAX_FETCH_S = 15
CLOSE_WAIT_S = 0.1
LARGE_BODY_BYTES = 32 * MEBIBYTE
HEAD = b"HTTP/1.1 200 OK\r\n"
INFORMATIONAL = b"HTTP/1.1 103 x\r\nx: y\r\n\r\n"
CHUNK = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"y" * PIECE_BYTES)

# The first bytes of a response, and those that follow them again and again.
ENDLESS = {
    "a body without a length": (HEAD + b"\r\n", b"y" * PIECE_BYTES),
    "chunks": (HEAD + b"transfer-encoding: chunked\r\n\r\n", CHUNK),
    "informational responses": (b"", INFORMATIONAL * 2_000),
    "header lines": (HEAD, b"x: y\r\n" * 10_000),
}


@when("a client fetches a page whose server sends {name} without end")
def fetch_without_end(context, name):
    start, piece = ENDLESS[name]
    context.n_sent_bytes = 0
    context.n_open = 0

    async def serve(reader, writer):
        context.n_open += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while not writer.is_closing():
                writer.write(piece)
                await writer.drain()
                context.n_sent_bytes += len(piece)
                await asyncio.sleep(0)
        except OSError:
            pass
        finally:
            context.n_open -= 1
            writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        started = loop.time()
        context.error = None
        try:
            await fetch_page(server, FETCH_TIMEOUT_MS)
        except PulleyError as error:
            context.error = error
        context.took_s = loop.time() - started
        await asyncio.sleep(CLOSE_WAIT_S)
        server.close()

    asyncio.run(run())


async def fetch_page(server, timeout_ms):
    """Fetch a page from a server on loopback."""
    host, port = server.sockets[0].getsockname()
    return await fetch(Client(), f"{host}:{port}", "GET", "/", timeout_ms=timeout_ms)


@when("a server sends {count:d} informational responses and a body of 32 MiB")
def fetch_large_body(context, count):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(INFORMATIONAL * count)
        writer.write(HEAD + b"content-length: %d\r\n\r\n" % LARGE_BODY_BYTES)
        writer.write(b"y" * LARGE_BODY_BYTES)
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        response = await fetch_page(server, FETCH_TIMEOUT_MS)
        server.close()
        return response

    context.response = asyncio.run(run())


@then('it fails at the step "{step}" before its timeout')
def check_early_failure(context, step):
    assert context.error is not None
    assert context.error.step == step, context.error
    assert context.took_s < MAX_FETCH_S, context.took_s


@then("it took at most {most:d} MiB and closed its connection")
def check_taken_bytes(context, most):
    assert context.n_sent_bytes <= most * MEBIBYTE, context.n_sent_bytes / MEBIBYTE
    assert context.n_open == 0, context.n_open


@then("the client gets the whole body")
def check_large_body(context):
    assert len(context.response.body) == LARGE_BODY_BYTES, len(context.response.body)
