"""Endpoints that answer with raw bytes, one scripted answer for each request."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from types import SimpleNamespace

from pulley_platform_standins.endpoints import list_endpoint
from scenes import Answer, RouterFixture, call, start_fixture, wait_until_synced

READ_BYTES = 65_536
RESET_LINGER = struct.pack("ii", 1, 0)
# Time for the bytes before a reset to be read.
RESET_DELAY_S = 0.05


@dataclass(slots=True)
class RawRequest:
    """A request that an endpoint got, and the endpoint's name."""

    endpoint: str
    headers: dict[str, str]

    @property
    def request_id(self) -> str:
        """The id that the answer has to repeat."""
        return self.headers["attempt-id"]


RawAnswer = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class Script:
    """Answers in the order in which requests arrive; the last one is repeated.

    ``n_open`` counts the connections that the router keeps open, ``n_sent_bytes``
    what it took of answers without end.
    """

    answers: list[RawAnswer]
    requests: list[RawRequest] = field(default_factory=list)
    n_open: int = 0
    n_sent_bytes: int = 0


@dataclass(slots=True)
class RawEndpoint:
    """One endpoint, with the fields that its entry in the store needs."""

    name: str
    service: str
    address: str
    server: SimpleNamespace
    data_centre: str = "here"
    slots: int = 8
    started_ms: int = 1


async def add_raw_endpoints(
    fixture: RouterFixture, service: str, n_endpoints: int, script: Script
) -> None:
    """Start endpoints that answer by one script, and list them in the store."""
    for number in range(n_endpoints):
        endpoint = await start_raw_endpoint(f"raw-{number}", service, script)
        fixture.endpoints.append(endpoint)
        list_endpoint(fixture.store, endpoint)
    await wait_until_synced(fixture)


async def call_raw_endpoint(
    path: str, service: str, answer: RawAnswer, timeout_ms: int = 1_000
) -> Answer:
    """Call a route whose only endpoint answers with ``answer``."""
    async with start_fixture(n_endpoints=0) as fixture:
        await add_raw_endpoints(fixture, service, 1, Script([answer]))
        return await call(fixture, path, timeout_ms=timeout_ms)


async def start_raw_endpoint(name: str, service: str, script: Script) -> RawEndpoint:
    """Start one endpoint on a free port."""

    async def handle_connection(reader, writer):
        if server.is_dying:
            writer.close()
            return
        script.n_open += 1
        try:
            while not writer.is_closing():
                headers = await read_request(reader)
                request = RawRequest(name, headers)
                script.requests.append(request)
                number = min(len(script.requests), len(script.answers)) - 1
                await script.answers[number](request, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            script.n_open -= 1
            writer.close()

    listener = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server = SimpleNamespace(listener=listener, connections=(), is_dying=False)
    return RawEndpoint(name, service, f"{host}:{port}", server)


async def read_request(reader: asyncio.StreamReader) -> dict[str, str]:
    """Read one request and return its headers, their names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[1:-2]
    headers = {}
    for line in lines:
        key, _, value = line.partition(":")
        headers[key.strip().lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", 0)))
    return headers


def encode_head(
    request: RawRequest, *lines: str, status: int = 200, signed: bool = True
) -> bytes:
    """Return an answer's head with the request's id and these header lines."""
    rows = [f"HTTP/1.1 {status} x", f"attempt-id: {request.request_id}", *lines]
    if signed:
        rows.append("server-stamp: s")
    return "\r\n".join([*rows, "", ""]).encode()


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def encode_framed(request: RawRequest, framing: str, body: bytes) -> bytes:
    """Return a whole answer whose body is framed by a length, chunks or nothing."""
    if framing == "a length":
        return encode_head(request, f"content-length: {len(body)}") + body
    if framing == "chunks":
        chunks = encode_chunk(body) if body else b""
        head = encode_head(request, "transfer-encoding: chunked")
        return head + chunks + b"0\r\n\r\n"
    return encode_head(request) + body


async def end_connection(
    writer: asyncio.StreamWriter, end: str, delay_s: float = RESET_DELAY_S
) -> None:
    """End a connection with a ``close`` or a ``reset``, or keep it open.

    A reset comes ``delay_s`` after the bytes before it.
    """
    await writer.drain()
    if end == "close":
        writer.close()
    elif end == "reset":
        await asyncio.sleep(delay_s)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        writer.transport.abort()
