"""A caller that sends raw bytes, also while the event loop is blocked."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from pulley_base import split_address
from pulley_http import Server

READ_LIMIT_S = 5


@asynccontextmanager
async def connect_raw(server: Server) -> AsyncIterator[socket.socket]:
    """Connect to a server and wait until it has accepted the connection."""
    with socket.socket() as caller:
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, split_address(server.address))
        while not server.connections:
            await asyncio.sleep(0)
        yield caller


async def read_status(caller: socket.socket) -> str:
    """Return the status of the next answer, or ``none`` if there is no answer."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(READ_LIMIT_S):
            data = await loop.sock_recv(caller, 65_536)
    except (ConnectionError, TimeoutError):
        return "none"
    return data.split(b" ")[1].decode() if data else "none"


def block_loop(duration_ms: int, caller: socket.socket, data: bytes) -> None:
    """Send bytes for a caller and block the event loop for ``duration_ms``."""
    caller.send(data)
    time.sleep(duration_ms / 1_000)
