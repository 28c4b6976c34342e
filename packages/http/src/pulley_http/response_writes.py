"""Writing of responses to a caller's connection."""

import logging
import socket
import struct
from collections.abc import AsyncIterator

import h11

from pulley_base import log_event, warn_event

from .checks import CHUNKED_HTTP_VERSION, check_content_length, internal_error
from .models import Headers, Response, find_header
from .request_reads import discard_unread_body
from .server_connections import HttpConnection

LINGER_MS = 1_000
MS_PER_S = 1_000
# Values of the socket option: whether to linger on closing, and for how many seconds.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)

logger = logging.getLogger(__name__)


async def send_response(connection: HttpConnection, response: Response) -> None:
    """Send the response; close the connection early if its body fails."""
    discard_unread_body(connection)
    if connection.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        await close_body(response)
        return
    try:
        head = build_response_head(connection, response)
    except h11.LocalProtocolError as error:
        warn_event(logger, "response_invalid", peer=connection.peer, error=str(error))
        await close_body(response)
        response = internal_error()
        head = build_response_head(connection, response)
    connection.write(connection.h11.send(head))
    if isinstance(response.body, bytes):
        if response.body:
            connection.write(connection.h11.send(h11.Data(data=response.body)))
    else:
        await stream_body(connection, response.body)
    connection.write(connection.h11.send(h11.EndOfMessage()))
    await connection.writable.wait()
    if connection.h11.our_state is h11.MUST_CLOSE:
        await linger(connection)


async def close_body(response: Response) -> None:
    """Close the body of a response that is not sent."""
    if not isinstance(response.body, bytes):
        await response.body.aclose()


async def stream_body(connection: HttpConnection, body: AsyncIterator[bytes]) -> None:
    """Send the body's pieces as they are produced, with backpressure.

    A body without chunks ends with its connection. Until it is complete that would be
    reset, however it ends, so that a part of the body can't look whole.
    """
    is_chunked = connection.h11.their_http_version == CHUNKED_HTTP_VERSION
    if not is_chunked:
        set_linger(connection, RESET_ON_CLOSE)
    try:
        async for piece in body:
            if piece:
                connection.write(connection.h11.send(h11.Data(data=piece)))
            if not connection.writable.is_set():
                await connection.writable.wait()
    except Exception as error:
        log_event(logger, "answer_cut", peer=connection.peer, error=repr(error))
        connection.transport.close()
        raise ConnectionError("the response body was interrupted") from error
    finally:
        await body.aclose()
    if not is_chunked:
        set_linger(connection, CLOSE_IN_ORDER)


def set_linger(connection: HttpConnection, linger_option: bytes) -> None:
    """Set how the kernel ends a connection, unless it has ended already."""
    if not connection.transport.is_closing():
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_option)


async def linger(connection: HttpConnection) -> None:
    """Discard what the caller still sends, for up to ``LINGER_MS``.

    Closing with unread bytes would reset the connection, and the caller
    might not get to read the response.
    """
    connection.transport.write_eof()
    connection.discard()
    clock = connection.server.clock
    deadline_ms = clock.deadline_ms(LINGER_MS)
    while not connection.peer_closed and clock.now_ms() < deadline_ms:
        connection.data_arrived.clear()
        await connection.wait_for_data(deadline_ms - clock.now_ms())


def build_response_head(connection: HttpConnection, response: Response) -> h11.Response:
    """Return the response head, with a content-length if the body is bytes.

    Raises LocalProtocolError for a response that can't be sent.
    """
    headers = list(response.headers)
    if isinstance(response.body, bytes):
        length = find_header(headers, b"content-length")
        if length is None:
            headers.append((b"content-length", b"%d" % len(response.body)))
        elif connection.method != "HEAD":
            check_content_length(length, response)
    request_read = connection.handling and connection.h11.their_state is h11.DONE
    if connection.server.draining or not request_read:
        headers.append((b"connection", b"close"))
    else:
        headers.extend(announce_idle_timeout(connection))
    return h11.Response(status_code=response.status, headers=headers)


def announce_idle_timeout(connection: HttpConnection) -> Headers:
    """Return the header that says how long the connection may stay idle.

    It holds whole seconds; a shorter timeout is not announced.
    """
    timeout_s = connection.server.limits.idle_timeout_ms // MS_PER_S
    if not timeout_s:
        return []
    connection.announced_idle_ms = timeout_s * MS_PER_S
    return [(b"keep-alive", b"timeout=%d" % timeout_s)]
