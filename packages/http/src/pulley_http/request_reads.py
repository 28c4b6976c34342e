"""Reading of requests from a caller's connection."""

import asyncio
import re
from collections.abc import AsyncIterator

import h11

from pulley_base import Reason

from .checks import check_framing, head_size_bytes, head_too_large
from .models import Request, find_header
from .problems import RequestRefused
from .server_connections import HttpConnection

# Pieces of a body that are parsed before other connections get a turn: little work
# even if a caller sends very small chunks.
PIECES_PER_TURN = 32

FOLDED_LINE = re.compile(rb"\n[ \t]")


async def read_head(connection: HttpConnection) -> h11.Request | None:
    """Return the next request's head, or None at the end of the connection.

    None also if no head has begun within the idle timeout and its grace time.
    Raises RequestRefused if one has begun but is not complete within the head
    timeout, or is too large.
    """
    server = connection.server
    event = next_head_event(connection)
    if event is h11.NEED_DATA and not connection.h11.trailing_data[0]:
        if not await wait_for_request(connection):
            return None
        event = next_head_event(connection)
    started_ms = server.clock.now_ms()
    ended = False
    while event is h11.NEED_DATA:
        end_ms = started_ms + server.limits.head_timeout_ms
        remaining_ms = end_ms - server.clock.now_ms()
        if ended or not await connection.wait_for_data(remaining_ms):
            raise RequestRefused(
                408, Reason.HEAD_TOO_SLOW, "the head took too long", step="head"
            )
        # What has arrived by then counts, once.
        ended = remaining_ms <= 0
        event = next_head_event(connection)
    return event if isinstance(event, h11.Request) else None


async def wait_for_request(connection: HttpConnection) -> bool:
    """Wait for a request's first bytes or the end of the connection.

    Returns False when the server drains, and on a timeout: the one announced to
    the caller, or that in force at the end of the wait if it is longer.
    """
    server = connection.server
    idle_since_ms = server.clock.now_ms()
    while True:
        limits = server.limits
        idle_ms = max(limits.idle_timeout_ms, connection.announced_idle_ms)
        end_ms = idle_since_ms + idle_ms + limits.idle_grace_ms
        remaining_ms = end_ms - server.clock.now_ms()
        arrived = await connection.wait_for_data(remaining_ms)
        if arrived and await has_unread(connection):
            return True
        if remaining_ms <= 0 or server.draining:
            return False
        connection.data_arrived.clear()


async def has_unread(connection: HttpConnection) -> bool:
    """Check, after one more look at the socket, for bytes or the peer's close."""
    if not connection.n_unread_bytes and not connection.peer_closed:
        await asyncio.sleep(0)
    return bool(connection.n_unread_bytes or connection.peer_closed)


def next_head_event(connection: HttpConnection):
    """Return h11's next event while a head is expected.

    Raises RequestRefused on folded header lines, which HTTP/1.1 deprecates, and on a
    head that has no end yet and is over the limit.
    """
    head, end, _ = connection.h11.trailing_data[0].partition(b"\r\n\r\n")
    if not end and len(head) > connection.server.limits.head_bytes:
        raise head_too_large()
    if FOLDED_LINE.search(head):
        raise RequestRefused(
            400, Reason.BAD_REQUEST, "a header line is folded", step="head"
        )
    return connection.next_event()


def build_request(connection: HttpConnection, head: h11.Request) -> Request:
    """Build the request for the handler, with its body unread.

    Raises RequestRefused if its framing is invalid or it exceeds a limit.
    """
    check_framing(head)
    if head_size_bytes(head) > connection.server.limits.head_bytes:
        raise head_too_large()
    length = find_header(head.headers, b"content-length")
    if length is not None and int(length) > connection.server.limits.body_bytes:
        raise body_too_large(connection)
    return Request(
        method=head.method.decode("ascii"),
        target=head.target.decode("ascii"),
        headers=[(bytes(key), bytes(value)) for key, value in head.headers],
        body=read_body(connection),
        peer=connection.peer,
    )


def body_too_large(connection: HttpConnection) -> RequestRefused:
    """Return the refusal of a body that is over the limit."""
    limit = connection.server.limits.body_bytes
    return RequestRefused(
        413, Reason.BODY_TOO_LARGE, f"the body is over {limit} bytes", step="body"
    )


async def read_body(connection: HttpConnection) -> AsyncIterator[bytes]:
    """Yield the body's bytes as they arrive.

    Raises RequestRefused if the body stalls or exceeds the limit, or if what
    frames its chunks exceeds the limit on heads.
    """
    server = connection.server
    n_bytes = n_pieces = 0
    if connection.h11.they_are_waiting_for_100_continue:
        connection.write(
            connection.h11.send(h11.InformationalResponse(status_code=100, headers=[]))
        )
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            if len(connection.h11.trailing_data[0]) > server.limits.head_bytes:
                raise head_too_large()
            if not await connection.wait_for_data(server.limits.body_timeout_ms):
                raise RequestRefused(
                    408, Reason.BODY_TOO_SLOW, "the body stalled", step="body"
                )
        elif isinstance(event, h11.Data):
            n_bytes += len(event.data)
            n_pieces += 1
            if n_pieces % PIECES_PER_TURN == 0:
                await asyncio.sleep(0)
            if n_bytes > server.limits.body_bytes:
                raise body_too_large(connection)
            yield bytes(event.data)
        else:
            return


def discard_unread_body(connection: HttpConnection) -> None:
    """Discard received bytes of a request body that the handler did not read."""
    if connection.h11.their_state is not h11.SEND_BODY:
        return
    try:
        while isinstance(connection.next_event(), h11.Data):
            pass
    except h11.RemoteProtocolError:
        pass
