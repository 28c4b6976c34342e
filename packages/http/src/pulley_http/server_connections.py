"""One caller's connection to an HTTP/1.1 server, with its own task."""

import asyncio
from collections.abc import Callable, Coroutine

import h11

from pulley_base import wait_for_event

READ_AHEAD_BYTES = 256 * 1024
# The most bytes that h11 holds of a head, or of a chunk's head. The limit on heads is
# enforced on reading, as it may change while a connection is open.
MAX_EVENT_BYTES = 1024 * 1024


class HttpConnection(asyncio.Protocol):
    """One caller's connection; ``serve`` answers its requests.

    ``handling`` is true while a handler runs or its response is being sent,
    ``n_requests`` counts the requests whose head was read, and ``announced_idle_ms``
    is the idle timeout that the last answer announced. ``closed`` is done when
    the connection has ended and all that was written to it has been sent.
    """

    def __init__(self, server, serve: Callable[["HttpConnection"], Coroutine]):
        self.server = server
        self.serve = serve
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
        self.task = asyncio.get_running_loop().create_task(self.serve(self))

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

    def next_event(self):
        """Return h11's next event; resume reading once the buffer is empty."""
        self.data_arrived.clear()
        event = self.h11.next_event()
        if event is h11.NEED_DATA:
            self.n_unread_bytes = 0
            self.resume_reading()
        return event

    def resume_reading(self):
        """Read from the socket again if that was paused."""
        if self.reading_paused:
            self.reading_paused = False
            self.transport.resume_reading()

    async def wait_for_data(self, timeout_ms: int) -> bool:
        """Wait for bytes or the end of the stream; return False on a timeout."""
        return await wait_for_event(self.data_arrived, timeout_ms)

    def write(self, data: bytes | None):
        if data and not self.transport.is_closing():
            self.transport.write(data)
