"""Endpoints that send raw bytes at a stated time."""

import asyncio
from collections.abc import Awaitable, Callable

from pulley_platform_standins.endpoints import make_entry
from pulley_platform_standins.stores import put_document

Answer = Callable[[asyncio.StreamWriter], Awaitable[None]]


async def start_raw_endpoint(answer: Answer) -> asyncio.Server:
    """Start a server that calls ``answer`` after each whole request.

    The connection stays open afterwards, until the router closes it or the loop ends.
    """

    async def serve(reader, writer):
        try:
            while True:
                await read_request(reader)
                await answer(writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


async def read_request(reader: asyncio.StreamReader) -> None:
    """Read one request with a content length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    await reader.readexactly(length)


def list_raw_endpoint(store, server: asyncio.Server, service: str) -> None:
    """List a raw endpoint in the store, under the name ``raw``."""
    port = server.sockets[0].getsockname()[1]
    put_document(store, "servers/raw", make_entry(service, f"127.0.0.1:{port}"))


def answer_head(framing: str, request_id: str = "request-1") -> bytes:
    """Return the head of a successful answer."""
    identity = f"attempt-id: {request_id}\r\nserver-stamp: s"
    return f"HTTP/1.1 200 OK\r\n{identity}\r\n{framing}\r\n".encode()
