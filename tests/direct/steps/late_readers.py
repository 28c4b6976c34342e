"""Endpoints whose connections buffer little, and that read a long body late."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

BODY_BYTES = 6 * 1024 * 1024
RECEIVE_BUFFER_BYTES = 4_096
# Longer than the time after which unacknowledged bytes end a connection.
LATE_S = 1.2

LateAnswer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def start_late_reader(
    answer: LateAnswer,
    on_connected: Callable[[asyncio.StreamWriter], None] = lambda writer: None,
) -> asyncio.Server:
    """Start a server that calls ``answer`` after a head, with reading paused.

    ``on_connected`` is called for each connection.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(("127.0.0.1", 0))

    async def serve(reader, writer):
        on_connected(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            await answer(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, sock=listener)
