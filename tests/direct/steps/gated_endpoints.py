"""Endpoints that send each part of their answer when a test lets them."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace

from pulley_platform_standins.endpoints import list_endpoint
from scenes import RouterFixture
from timed_endpoints import answer_head, read_request

READ_BYTES = 65_536


@dataclass(slots=True)
class GatedEndpoint:
    """An endpoint that sends ``opening`` at once, and ``rest`` once it is released.

    With ``closes`` it closes the connection afterwards. ``asked`` is set when a request
    has arrived, ``left`` when the router has closed the request's connection.
    """

    name: str
    service: str
    address: str = ""
    opening: bytes = b""
    rest: bytes = b""
    closes: bool = False
    asked: asyncio.Event = field(default_factory=asyncio.Event)
    released: asyncio.Event = field(default_factory=asyncio.Event)
    left: asyncio.Event = field(default_factory=asyncio.Event)
    server: SimpleNamespace | None = None
    data_centre: str = "here"
    slots: int = 8
    started_ms: int = 1


async def add_gated(
    fixture: RouterFixture, name: str, service: str, opening: bytes = b""
) -> GatedEndpoint:
    """Start a gated endpoint and list it in the store."""
    endpoint = GatedEndpoint(name, service, opening=opening)

    async def handle_connection(reader, writer):
        try:
            while True:
                await read_request(reader)
                await answer(endpoint, reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    listener = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    endpoint.address = f"{host}:{port}"
    endpoint.server = SimpleNamespace(listener=listener, connections=())
    fixture.endpoints.append(endpoint)
    list_endpoint(fixture.store, endpoint)
    return endpoint


async def answer(
    endpoint: GatedEndpoint, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send the parts of one answer; raise IncompleteReadError if the router leaves."""
    writer.write(endpoint.opening)
    endpoint.asked.set()
    watching = asyncio.create_task(watch_for_end(endpoint, reader))
    releasing = asyncio.create_task(endpoint.released.wait())
    await asyncio.wait({watching, releasing}, return_when=asyncio.FIRST_COMPLETED)
    watching.cancel()
    releasing.cancel()
    await asyncio.wait({watching, releasing})
    if endpoint.left.is_set():
        raise asyncio.IncompleteReadError(b"", None)
    writer.write(endpoint.rest)
    await writer.drain()
    if endpoint.closes:
        raise asyncio.IncompleteReadError(b"", None)


async def watch_for_end(endpoint: GatedEndpoint, reader: asyncio.StreamReader) -> None:
    """Wait until the router closes the connection."""
    try:
        await reader.read(READ_BYTES)
    except ConnectionError:
        pass
    endpoint.left.set()


def release(endpoint: GatedEndpoint, rest: bytes, *, closes: bool = False) -> None:
    """Let an endpoint send the rest of its answer."""
    endpoint.rest = rest
    endpoint.closes = closes
    endpoint.released.set()


def whole_answer(body: bytes) -> bytes:
    """Return a successful answer with this body."""
    return answer_head(f"content-length: {len(body)}\r\n") + body
