"""An HTTP/1.1 client over h11 and asyncio, with a pool of idle connections."""

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from dataclasses import dataclass, field

import h11

from pulley_base import Clock, ConnectionLost, ProtocolError, TimedOut, time_limit

from .connections import (
    ClientConnection,
    next_event,
    open_connection,
    parse_event,
    read_more,
    write_bytes,
)
from .models import Headers, Response, find_header

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
# Far more than a sound server sends before a response.
MAX_INFORMATIONAL_RESPONSES = 16
# Many pages of a store, and a small part of a process's memory.
MAX_FETCHED_BYTES = 64 * 1024 * 1024
# Several megabytes over a link of a few Mbit/s.
MAX_SLOW_BODY_MS = 10_000


@dataclass(slots=True)
class Client:
    """A client and its pool of idle connections, ``idle``, by server address.

    A pooled connection is reused until it has been idle for ``idle_limit_ms``;
    ``max_idle`` bounds the pool of each server.
    """

    connect_timeout_ms: int = 1_000
    idle_limit_ms: int = 15_000
    max_idle: int = 64
    clock: Clock = field(default_factory=Clock)
    idle: dict[str, list[ClientConnection]] = field(default_factory=dict)


async def send_request(
    client: Client,
    peer: str,
    method: str,
    target: str,
    *,
    headers: Headers = (),
    body: bytes | AsyncIterator[bytes] = b"",
    timeout_ms: int | None = None,
    stall_timeout_ms: int | None = None,
) -> Response:
    """Send a request to ``peer`` and return its response with the body unread.

    ``timeout_ms`` limits the time until the response's head has arrived;
    ``stall_timeout_ms`` limits how long a reader waits for the next bytes of the body.
    Raises ConnectionLost, TimedOut or ProtocolError, each with the step
    ``connect``, ``send``, ``head`` or ``body``; at the step ``connect`` nothing
    was sent. If a pooled connection turns out to be closed, the request is
    retried once on a new connection, for idempotent methods only.
    """
    try:
        async with time_limit(timeout_ms):
            response, connection = await attempt_request(
                client, peer, method, target, headers, body
            )
    except TimeoutError as error:
        close_idle(client, peer)
        raise TimedOut("no answer in time", step="head", peer=peer) from error
    if stall_timeout_ms is not None:
        connection.start_stall_timer(stall_timeout_ms)
    return response


async def attempt_request(
    client, peer, method, target, headers, body
) -> tuple[Response, ClientConnection]:
    """Send on a pooled connection if a retry would be safe, else on a new one."""
    reusable = method in IDEMPOTENT_METHODS and isinstance(body, bytes)
    connection = take_idle_connection(client, peer) if reusable else None
    if connection is not None:
        try:
            response = await exchange(client, connection, method, target, headers, body)
            return response, connection
        except ConnectionLost:
            pass
    connection = await open_connection(peer, client.connect_timeout_ms)
    response = await exchange(client, connection, method, target, headers, body)
    return response, connection


def take_idle_connection(client: Client, peer: str) -> ClientConnection | None:
    """Return a pooled connection that still looks open, or None."""
    idle_connections = client.idle.get(peer, [])
    min_idle_since_ms = client.clock.now_ms() - client.idle_limit_ms
    while idle_connections:
        connection = idle_connections.pop()
        if connection.idle_since_ms >= min_idle_since_ms and connection.is_reusable():
            return connection
        connection.close()
    return None


async def exchange(client, connection, method, target, headers, body) -> Response:
    """Send one request on a connection and read the response's head."""
    step = "send"
    try:
        encoded_head = encode_head(connection, method, target, headers, body)
        await send_message(connection, encoded_head, body)
        step = "head"
        head = await read_final_head(connection, step)
    except h11.LocalProtocolError as error:
        connection.close()
        raise ProtocolError(str(error), step=step, peer=connection.peer) from error
    except OSError as error:
        connection.close()
        raise ConnectionLost(str(error), step=step, peer=connection.peer) from error
    except BaseException:
        connection.close()
        raise
    response_headers = [(bytes(key), bytes(value)) for key, value in head.headers]
    return Response(head.status_code, response_headers, read_body(client, connection))


async def read_final_head(connection: ClientConnection, step: str) -> h11.Response:
    """Read a response's head, and skip the informational ones before it.

    Raises ConnectionLost after ``MAX_INFORMATIONAL_RESPONSES`` of them.
    """
    for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
        head = await next_event(connection, step)
        if isinstance(head, h11.Response):
            return head
        if not isinstance(head, h11.InformationalResponse):
            raise ConnectionLost("closed early", step=step, peer=connection.peer)
    raise ConnectionLost(
        "too many informational responses", step=step, peer=connection.peer
    )


def encode_head(connection, method, target, headers, body) -> bytes:
    """Return the request line and headers as bytes.

    Adds ``host`` and the header that frames the body if they are absent.
    """
    headers = list(headers)
    if find_header(headers, b"host") is None:
        headers.insert(0, (b"host", connection.peer.encode()))
    if find_header(headers, b"content-length") is None:
        if not isinstance(body, bytes):
            headers.append((b"transfer-encoding", b"chunked"))
        elif body or method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", b"%d" % len(body)))
    head = h11.Request(method=method, target=target, headers=headers)
    return connection.h11.send(head)


async def send_message(connection, head: bytes, body) -> None:
    """Send a head, its body and the end of the message."""
    if isinstance(body, bytes):
        data = connection.h11.send(h11.Data(data=body)) if body else b""
        end = connection.h11.send(h11.EndOfMessage())
        await write_bytes(connection, head + data + end)
        return
    await write_bytes(connection, head)
    async for piece in body:
        await write_bytes(connection, connection.h11.send(h11.Data(data=piece)))
    end = connection.h11.send(h11.EndOfMessage())
    if end:
        await write_bytes(connection, end)


async def read_body(client: Client, connection: ClientConnection):
    """Yield the response's body; bytes that arrived together form one piece.

    Raises ConnectionLost if the connection ends before the response does.
    """
    finished = False
    pieces = []
    try:
        while not finished:
            event = parse_event(connection, "body")
            if isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                continue
            if pieces:
                yield pieces[0] if len(pieces) == 1 else b"".join(pieces)
                pieces.clear()
                if event is h11.NEED_DATA:
                    continue
            if event is h11.NEED_DATA:
                await read_more(connection, "body")
            elif isinstance(event, h11.EndOfMessage):
                finished = True
            else:
                raise ConnectionLost(
                    "closed in mid-answer", step="body", peer=connection.peer
                )
    finally:
        if finished:
            release_connection(client, connection)
        else:
            connection.close()


def release_connection(client: Client, connection: ClientConnection):
    """Return a connection to the pool, or close it if it cannot be reused."""
    connection.stop_stall_timer()
    try:
        connection.h11.start_next_cycle()
    except h11.LocalProtocolError:
        connection.close()
        return
    idle_connections = client.idle.setdefault(connection.peer, [])
    connection.idle_since_ms = client.clock.now_ms()
    idle_connections.append(connection)
    if len(idle_connections) > client.max_idle:
        idle_connections.pop(0).close()


async def fetch(
    client: Client,
    peer: str,
    method: str,
    target: str,
    *,
    headers: Headers = (),
    body: bytes = b"",
    timeout_ms: int = 5_000,
    stall_timeout_ms: int | None = None,
    on_head: Callable[[], None] | None = None,
) -> Response:
    """Send a request and return its response with the whole body as bytes.

    Without ``stall_timeout_ms`` the whole response must arrive within ``timeout_ms``.
    With it, its head must; the body may take ``MAX_SLOW_BODY_MS`` longer, as long as
    no wait for its next bytes exceeds ``stall_timeout_ms``. ``on_head`` is called when
    the head has arrived.

    Raises the errors of ``send_request``, TimedOut with the step ``fetch`` if the
    response has not arrived in full in time, and ConnectionLost if its body is larger
    than ``MAX_FETCHED_BYTES``.
    """
    is_slow = stall_timeout_ms is not None
    try:
        async with time_limit(timeout_ms + (MAX_SLOW_BODY_MS if is_slow else 0)):
            response = await send_request(
                client,
                peer,
                method,
                target,
                headers=headers,
                body=body,
                timeout_ms=timeout_ms if is_slow else None,
                stall_timeout_ms=stall_timeout_ms,
            )
            if on_head is not None:
                on_head()
            async with aclosing(response.body) as pieces:
                response.body = await read_limited(pieces, peer)
    except TimedOut:
        close_idle(client, peer)
        raise
    except TimeoutError as error:
        close_idle(client, peer)
        raise TimedOut("no answer in time", step="fetch", peer=peer) from error
    return response


async def read_limited(pieces: AsyncIterator[bytes], peer: str) -> bytes:
    """Return the whole body; raise ConnectionLost above ``MAX_FETCHED_BYTES``."""
    body = bytearray()
    async for piece in pieces:
        body += piece
        if len(body) > MAX_FETCHED_BYTES:
            raise ConnectionLost("the body is too large", step="body", peer=peer)
    return bytes(body)


def close_idle(client: Client, peer: str) -> None:
    """Close the idle connections to one server.

    If one connection to it is silent, others may be too, and each would cost a call the
    time until that is noticed.
    """
    for connection in client.idle.pop(peer, ()):
        connection.close()


def close_client(client: Client):
    """Close every pooled connection."""
    for idle_connections in client.idle.values():
        for connection in idle_connections:
            connection.close()
    client.idle.clear()
