"""One caller's connection to an HTTP/1.1 server, with its own task."""

import asyncio
import logging
import re
import socket
import struct
from collections.abc import AsyncIterator

import h11

from pulley_base import Reason, log_event, wait_for_event, warn_event

from .checks import (
    CHUNKED_HTTP_VERSION,
    check_content_length,
    check_framing,
    head_size_bytes,
    head_too_large,
    internal_error,
    parse_error_refusal,
)
from .models import Headers, Request, Response, find_header
from .problems import RequestRefused, problem_response

READ_AHEAD_BYTES = 256 * 1024
LINGER_MS = 1_000
# The most bytes that h11 holds of a head, or of a chunk's head. The limit on heads is
# enforced here, as it may change while a connection is open.
MAX_EVENT_BYTES = 1024 * 1024
MS_PER_S = 1_000
# A linger time of zero.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# States of h11 once a request, or its answer, is complete.
COMPLETE_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
FOLDED_LINE = re.compile(rb"\n[ \t]")

logger = logging.getLogger(__name__)


class HttpConnection(asyncio.Protocol):
    """One caller's connection.

    ``handling`` is true while a handler runs or its response is being sent,
    ``n_requests`` counts the requests whose head was read, and ``announced_idle_ms``
    is the idle timeout that the last answer announced. ``closed`` is done when
    the connection has ended and all that was written to it has been sent.
    """

    def __init__(self, server):
        self.server = server
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_EVENT_BYTES)
        self.transport = None
        self.task = None
        self.peer = ""
        self.handling = False
        self.method = ""
        self.n_requests = 0
        self.announced_idle_ms = 0
        self.peer_closed = False
        self.reading_paused = False
        self.n_unread_bytes = 0
        self.closed = asyncio.get_running_loop().create_future()
        self.data_arrived = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport):
        self.transport = transport
        self.peer = "%s:%s" % transport.get_extra_info("peername")[:2]
        self.server.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self.run())

    def data_received(self, data: bytes):
        self.n_unread_bytes += len(data)
        try:
            self.h11.receive_data(data)
        except h11.RemoteProtocolError:
            self.transport.close()
        if self.n_unread_bytes > READ_AHEAD_BYTES and not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()
        self.data_arrived.set()

    def eof_received(self):
        self.peer_closed = True
        self.data_arrived.set()
        if self.handling:
            self.task.cancel()
            return False
        self.h11.receive_data(b"")
        return True

    def connection_lost(self, exc):
        self.peer_closed = True
        self.closed.set_result(None)
        self.server.connections.discard(self)
        self.writable.set()
        self.data_arrived.set()
        if self.handling:
            self.task.cancel()

    def pause_writing(self):
        self.writable.clear()

    def resume_writing(self):
        self.writable.set()

    def close_if_idle(self):
        """Make the connection's task close it, unless a request has begun to arrive."""
        if not self.handling:
            self.data_arrived.set()

    def abort(self):
        """Close at once and cancel the request in flight, if any."""
        self.task.cancel()
        self.transport.abort()

    async def run(self):
        """Serve requests until the connection ends."""
        try:
            while await self.serve_request():
                self.h11.start_next_cycle()
        except (asyncio.CancelledError, ConnectionError):
            pass
        finally:
            if self.is_unanswered():
                self.record_unanswered()
            self.transport.close()

    def is_unanswered(self) -> bool:
        """Check whether this side ends the connection in the middle of a request."""
        if self.peer_closed:
            return False
        unread = bool(self.h11.trailing_data[0])
        if self.h11.our_state in COMPLETE_STATES:
            # What follows a request that was refused unread belongs to that one.
            return unread and self.h11.their_state in COMPLETE_STATES
        return unread or self.h11.their_state is not h11.IDLE

    def record_unanswered(self):
        """Count and log that a request gets no whole answer, and how far it came."""
        self.server.on_unanswered()
        log_event(
            logger,
            "request_unanswered",
            peer=self.peer,
            handling=self.handling,
            draining=self.server.draining,
            n_requests=self.n_requests,
            n_unread_bytes=len(self.h11.trailing_data[0]),
            request_state=self.h11.their_state,
            answer_state=self.h11.our_state,
        )

    async def serve_request(self) -> bool:
        """Read and answer one request; return whether another may follow."""
        try:
            head = await self.read_head()
            if head is None:
                return False
            self.n_requests += 1
            request = self.build_request(head)
            self.method = request.method
            self.handling = True
            response = await self.server.handler(request)
        except RequestRefused as refusal:
            self.server.on_refused(refusal)
            response = self.refusal_response(refusal)
        except h11.RemoteProtocolError as error:
            refusal = parse_error_refusal(error)
            self.server.on_refused(refusal)
            response = self.refusal_response(refusal)
        except Exception as error:
            warn_event(logger, "handler_failed", peer=self.peer, error=repr(error))
            logger.debug("handler_failed", exc_info=error)
            response = internal_error()
        await self.send_response(response)
        self.handling = False
        return self.is_reusable()

    def refusal_response(self, refusal: RequestRefused) -> Response:
        """Return the response for a refusal."""
        return problem_response(refusal, self.server.format_retry_after)

    def is_reusable(self) -> bool:
        """Check whether the connection can carry another request."""
        if self.server.draining or self.peer_closed:
            return False
        return self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE

    async def read_head(self) -> h11.Request | None:
        """Return the next request's head, or None at the end of the connection.

        None also if no head has begun within the idle timeout and its grace time.
        Raises RequestRefused if one has begun but is not complete within the head
        timeout, or is too large.
        """
        event = self.next_head_event()
        if event is h11.NEED_DATA and not self.h11.trailing_data[0]:
            if not await self.wait_for_request():
                return None
            event = self.next_head_event()
        started_ms = self.server.clock.now_ms()
        while event is h11.NEED_DATA:
            if len(self.h11.trailing_data[0]) > self.server.limits.head_bytes:
                raise head_too_large()
            end_ms = started_ms + self.server.limits.head_timeout_ms
            if not await self.wait_for_data(end_ms - self.server.clock.now_ms()):
                raise RequestRefused(
                    408, Reason.HEAD_TOO_SLOW, "the head took too long", step="head"
                )
            event = self.next_head_event()
        return event if isinstance(event, h11.Request) else None

    async def wait_for_request(self) -> bool:
        """Wait for a request's first bytes or the end of the connection.

        Returns False when the server drains, and on a timeout: the one announced to
        the caller, or that in force at the end of the wait if it is longer.
        """
        idle_since_ms = self.server.clock.now_ms()
        while True:
            limits = self.server.limits
            idle_ms = max(limits.idle_timeout_ms, self.announced_idle_ms)
            end_ms = idle_since_ms + idle_ms + limits.idle_grace_ms
            remaining_ms = end_ms - self.server.clock.now_ms()
            if await self.wait_for_data(remaining_ms) and await self.has_unread():
                return True
            if remaining_ms <= 0 or self.server.draining:
                return False
            self.data_arrived.clear()

    async def has_unread(self) -> bool:
        """Check, after one more look at the socket, for bytes or the peer's close."""
        if not self.n_unread_bytes and not self.peer_closed:
            await asyncio.sleep(0)
        return bool(self.n_unread_bytes or self.peer_closed)

    def next_head_event(self):
        """Return h11's next event while a head is expected.

        Raises RequestRefused on folded header lines, which HTTP/1.1 deprecates.
        """
        head, _, _ = self.h11.trailing_data[0].partition(b"\r\n\r\n")
        if FOLDED_LINE.search(head):
            raise RequestRefused(
                400, Reason.BAD_REQUEST, "a header line is folded", step="head"
            )
        return self.next_event()

    def next_event(self):
        """Return h11's next event; resume reading once the buffer is empty."""
        self.data_arrived.clear()
        event = self.h11.next_event()
        if event is h11.NEED_DATA:
            self.n_unread_bytes = 0
            if self.reading_paused:
                self.reading_paused = False
                self.transport.resume_reading()
        return event

    async def wait_for_data(self, timeout_ms: int) -> bool:
        """Wait for bytes or the end of the stream; return False on a timeout."""
        return await wait_for_event(self.data_arrived, timeout_ms)

    def build_request(self, head: h11.Request) -> Request:
        """Build the request for the handler, with its body unread.

        Raises RequestRefused if its framing is invalid or it exceeds a limit.
        """
        check_framing(head)
        if head_size_bytes(head) > self.server.limits.head_bytes:
            raise head_too_large()
        length = find_header(head.headers, b"content-length")
        if length is not None and int(length) > self.server.limits.body_bytes:
            raise self.body_too_large()
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=[(bytes(key), bytes(value)) for key, value in head.headers],
            body=self.read_body(),
            peer=self.peer,
        )

    def body_too_large(self) -> RequestRefused:
        limit = self.server.limits.body_bytes
        return RequestRefused(
            413, Reason.BODY_TOO_LARGE, f"the body is over {limit} bytes", step="body"
        )

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the body's bytes as they arrive.

        Raises RequestRefused if the body stalls or exceeds the limit, or if what
        frames its chunks exceeds the limit on heads.
        """
        n_bytes = 0
        if self.h11.they_are_waiting_for_100_continue:
            self.write(
                self.h11.send(h11.InformationalResponse(status_code=100, headers=[]))
            )
        while True:
            event = self.next_event()
            if event is h11.NEED_DATA:
                if len(self.h11.trailing_data[0]) > self.server.limits.head_bytes:
                    raise head_too_large()
                if not await self.wait_for_data(self.server.limits.body_timeout_ms):
                    raise RequestRefused(
                        408, Reason.BODY_TOO_SLOW, "the body stalled", step="body"
                    )
            elif isinstance(event, h11.Data):
                n_bytes += len(event.data)
                if n_bytes > self.server.limits.body_bytes:
                    raise self.body_too_large()
                yield bytes(event.data)
            else:
                return

    async def send_response(self, response: Response):
        """Send the response; close the connection early if its body fails."""
        self.discard_unread_body()
        if self.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        try:
            head = self.build_response_head(response)
        except h11.LocalProtocolError as error:
            warn_event(logger, "response_invalid", peer=self.peer, error=str(error))
            if not isinstance(response.body, bytes):
                await response.body.aclose()
            response = internal_error()
            head = self.build_response_head(response)
        self.write(self.h11.send(head))
        if isinstance(response.body, bytes):
            if response.body:
                self.write(self.h11.send(h11.Data(data=response.body)))
        else:
            await self.stream_body(response.body)
        self.write(self.h11.send(h11.EndOfMessage()))
        await self.writable.wait()
        if self.h11.our_state is h11.MUST_CLOSE:
            await self.linger()

    def discard_unread_body(self):
        """Discard received bytes of a request body that the handler did not read."""
        if self.h11.their_state is not h11.SEND_BODY:
            return
        try:
            while isinstance(self.next_event(), h11.Data):
                pass
        except h11.RemoteProtocolError:
            pass

    async def stream_body(self, body: AsyncIterator[bytes]):
        """Send the body's pieces as they are produced, with backpressure."""
        try:
            async for piece in body:
                if piece:
                    self.write(self.h11.send(h11.Data(data=piece)))
                if not self.writable.is_set():
                    await self.writable.wait()
        except Exception as error:
            log_event(logger, "answer_cut", peer=self.peer, error=repr(error))
            self.end_incomplete()
            raise ConnectionError("the response body was interrupted") from error
        finally:
            await body.aclose()

    def end_incomplete(self):
        """End the connection so that its response can't look complete.

        A response without chunks ends with its connection, unless that is reset.
        """
        if self.h11.their_http_version == CHUNKED_HTTP_VERSION:
            self.transport.close()
        else:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    async def linger(self):
        """Discard what the caller still sends, for up to ``LINGER_MS``.

        Closing with unread bytes would reset the connection, and the caller
        might not get to read the response.
        """
        self.transport.write_eof()
        deadline_ms = self.server.clock.deadline_ms(LINGER_MS)
        while not self.peer_closed and self.server.clock.now_ms() < deadline_ms:
            self.data_arrived.clear()
            if self.reading_paused:
                self.reading_paused = False
                self.transport.resume_reading()
            await self.wait_for_data(deadline_ms - self.server.clock.now_ms())

    def build_response_head(self, response: Response) -> h11.Response:
        """Return the response head, with a content-length if the body is bytes.

        Raises LocalProtocolError for a response that can't be sent.
        """
        headers = list(response.headers)
        if isinstance(response.body, bytes):
            length = find_header(headers, b"content-length")
            if length is None:
                headers.append((b"content-length", b"%d" % len(response.body)))
            elif self.method != "HEAD":
                check_content_length(length, response)
        request_unread = not self.handling or self.h11.their_state is not h11.DONE
        if self.server.draining or request_unread:
            headers.append((b"connection", b"close"))
        else:
            headers.extend(self.announce_idle_timeout())
        return h11.Response(status_code=response.status, headers=headers)

    def announce_idle_timeout(self) -> Headers:
        """Return the header that says how long the connection may stay idle.

        It holds whole seconds; a shorter timeout is not announced.
        """
        timeout_s = self.server.limits.idle_timeout_ms // MS_PER_S
        if not timeout_s:
            return []
        self.announced_idle_ms = timeout_s * MS_PER_S
        return [(b"keep-alive", b"timeout=%d" % timeout_s)]

    def write(self, data: bytes | None):
        if data and not self.transport.is_closing():
            self.transport.write(data)
