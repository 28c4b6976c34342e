"""Steps with a caller that reads its response late, while the server is drained."""

import asyncio
import socket
import threading
import time

from behave import then, when

from pulley_base import split_address
from pulley_http import Response, start_server
from pulley_http.servers import drain_server

DRAIN_TIMEOUT_MS = 10_000
# Longer than a server waits for the end of a connection that it closes.
CALLER_PAUSE_S = 2
DRAIN_DELAY_S = 0.1
READ_LIMIT_S = 5
PIECE = b"x" * 16_384
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


async def serve_and_drain(
    addresses: list, ready: threading.Event, *, drains_first: bool
) -> None:
    """Serve one response that fills the kernel's buffers, and drain the server.

    With ``drains_first`` the response begins after the drain, otherwise the drain
    begins after the response has been handed to the transport.
    """
    drain_due = asyncio.Event()

    async def answer(request):
        while drains_first and not server.draining:
            drain_due.set()
            await asyncio.sleep(0)
        return Response(200, [], fill_buffers())

    async def fill_buffers():
        (connection,) = server.connections
        while not connection.transport.get_write_buffer_size():
            yield PIECE
        asyncio.get_running_loop().call_later(DRAIN_DELAY_S, drain_due.set)

    server = await start_server(answer, "127.0.0.1", 0)
    addresses.append(server.address)
    ready.set()
    await drain_due.wait()
    await drain_server(server, DRAIN_TIMEOUT_MS)


def read_late(address: str) -> bytes:
    """Send a request, pause, and read until the end or for ``READ_LIMIT_S``."""
    peer = split_address(address)
    with socket.create_connection(peer, timeout=READ_LIMIT_S) as caller:
        caller.sendall(REQUEST)
        time.sleep(CALLER_PAUSE_S)
        received = b""
        try:
            while data := caller.recv(1 << 20):
                received += data
        except (ConnectionError, TimeoutError):
            pass
        return received


def drain_with_slow_caller(context, *, drains_first: bool) -> None:
    """Drain a server whose only caller reads its response late."""
    addresses, ready = [], threading.Event()
    serving = threading.Thread(
        target=lambda: asyncio.run(
            serve_and_drain(addresses, ready, drains_first=drains_first)
        )
    )
    serving.start()
    assert ready.wait(READ_LIMIT_S)
    context.received = read_late(addresses[0])
    serving.join()


@when("a drain begins after a response that its caller has not read yet")
def drain_after_response(context):
    drain_with_slow_caller(context, drains_first=False)


@when("a drain begins before a response that its caller reads late")
def drain_before_response(context):
    drain_with_slow_caller(context, drains_first=True)


@then("the caller gets the whole response")
def check_whole_response(context):
    assert context.received.endswith(LAST_CHUNK), len(context.received)
