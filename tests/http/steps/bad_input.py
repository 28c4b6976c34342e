"""Steps that send raw bytes to a server, or to a client as a response."""

import asyncio

from behave import then, when

from pulley_base import PulleyError, TimedOut
from pulley_http import (
    Client,
    Limits,
    Response,
    fetch,
    read_all,
    send_request,
    start_server,
)

LIMITS = Limits(
    head_bytes=2_048, body_bytes=1_000, head_timeout_ms=300, body_timeout_ms=300
)
TEST_TIMEOUT_S = 30
STALL_MS = 500
N_SLOW_PIECES = 20
POST_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\n"
CHUNKED_HEAD = POST_HEAD + b"transfer-encoding: chunked\r\n\r\n"

INPUTS_LEFT_OPEN = {
    "an invalid request line": b"hello there, server\r\n\r\n",
    "the start of a TLS handshake": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n",
    "a header line without a colon": POST_HEAD + b"nonsense\r\n\r\n",
    "two different content lengths": POST_HEAD
    + b"content-length: 3\r\ncontent-length: 4\r\n\r\n",
    "a negative content length": POST_HEAD + b"content-length: -1\r\n\r\n",
    "a request without a host header": b"GET / HTTP/1.1\r\n\r\n",
    "a chunk size that is not a number": CHUNKED_HEAD + b"xyz\r\nabc\r\n",
    "a chunk longer than its size": CHUNKED_HEAD + b"3\r\nabcdef\r\n0\r\n\r\n",
    "a head over the limit": POST_HEAD + b"x: " + b"y" * 4_000 + b"\r\n\r\n",
    "an endless head": POST_HEAD + b"".join(b"x%d: y\r\n" % n for n in range(2_000)),
    "a content length over the limit": POST_HEAD + b"content-length: 2000\r\n\r\n",
    "a chunked body over the limit": CHUNKED_HEAD
    + (b"200\r\n" + b"y" * 512 + b"\r\n") * 4,
    "a head that stalls": b"POST / HT",
    "a body that stalls": POST_HEAD + b"content-length: 10\r\n\r\nabc",
}
INPUTS_WITH_EOF = {
    "an empty stream": b"",
    "a truncated head": b"POST / HTTP/1.1\r\nhost",
    "a truncated body": POST_HEAD + b"content-length: 10\r\n\r\nabc",
    "a truncated chunk": CHUNKED_HEAD + b"5\r\nab",
}
OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
RAW_RESPONSES = {
    "an empty response": b"",
    "an invalid status line": b"220 mail ready\r\n\r\n",
    "an endless response head": OK_STATUS_LINE + b"x: y\r\n" * 20_000,
    "a body shorter than its content length": OK_STATUS_LINE
    + b"content-length: 10\r\n\r\nabc",
    "a response without its last chunk": OK_STATUS_LINE
    + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    "an invalid chunk in the response": OK_STATUS_LINE
    + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
}


async def echo(request):
    return Response(200, [], await read_all(request.body))


@when("a server gets {name}")
def send_raw_request(context, name):
    async def run():
        server = await start_server(echo, "127.0.0.1", 0, limits=LIMITS)
        host, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(INPUTS_LEFT_OPEN.get(name, INPUTS_WITH_EOF.get(name)))
        if name in INPUTS_WITH_EOF:
            writer.write_eof()
        context.received = await read_to_end(reader)
        writer.close()
        server.listener.close()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while server.connections or len(asyncio.all_tasks()) > 1:
                await asyncio.sleep(0.01)
        context.remaining = len(server.connections), len(asyncio.all_tasks()) - 1

    asyncio.run(run())


async def read_to_end(reader) -> bytes:
    """Return all bytes up to the end of the connection; a reset counts as one."""
    received = b""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        try:
            while data := await reader.read(65_536):
                received += data
        except ConnectionResetError:
            pass
    return received


@then('it answers {status:d} with the reason "{reason}"')
def check_error_response(context, status, reason):
    head, _, body = context.received.partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    assert lines[0].startswith(b"http/1.1 %d" % status), context.received
    assert b"content-type: application/problem+json" in lines
    assert b"pulley-outcome: not-run" in lines
    assert b"pulley-reason: " + reason.encode() in lines
    assert body.endswith(b"}")


@then("it closes without a complete response")
def check_closed(context):
    assert b" 200 " not in context.received


@then("no connection and no task remains")
def check_nothing_remains(context):
    assert context.remaining == (0, 0), context.remaining


@when("a client receives {name}")
def send_raw_response(context, name):
    async def write_response(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RAW_RESPONSES[name])
        writer.close()

    async def run():
        server = await asyncio.start_server(write_response, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        context.peer = f"{host}:{port}"
        context.error = None
        try:
            await fetch(
                Client(), context.peer, "GET", "/", timeout_ms=TEST_TIMEOUT_S * 1_000
            )
        except PulleyError as error:
            context.error = error
        server.close()

    asyncio.run(run())


@then('it fails at the step "{step}" and names the peer')
def check_client_error(context, step):
    assert context.error is not None, "the client accepted the invalid response"
    assert (context.error.step, context.error.peer) == (step, context.peer)


@when("one response body stalls and another arrives in slow pieces")
def read_stalled_and_slow(context):
    never_set = asyncio.Event()

    async def handle(request):
        return Response(200, [], slow_pieces(request.path == "/stall"))

    async def slow_pieces(stall):
        for _number in range(N_SLOW_PIECES):
            yield b"x"
            await asyncio.sleep(STALL_MS / 10_000)
            if stall:
                await never_set.wait()

    async def run():
        server = await start_server(handle, "127.0.0.1", 0)
        context.results = {}
        for path in ("/stall", "/creep"):
            context.results[path] = await read_with_stall_timeout(server.address, path)
        server.listener.close()

    asyncio.run(run())


async def read_with_stall_timeout(address: str, path: str) -> bytes | PulleyError:
    """Return a response body read with a stall timeout, or the error raised."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        response = await send_request(
            Client(), address, "GET", path, stall_timeout_ms=STALL_MS
        )
        try:
            return await read_all(response.body)
        except PulleyError as error:
            return error


@then('the first read times out at the step "{step}" and the second completes')
def check_timeout_and_body(context, step):
    error = context.results["/stall"]
    assert isinstance(error, TimedOut) and error.step == step, error
    assert context.results["/creep"] == b"x" * N_SLOW_PIECES
