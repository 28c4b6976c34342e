"""One caller's connection to an HTTP/1.1 server, with its own task."""

import asyncio
from collections.abc import Callable, Coroutine

import h11

from pulley_base import wait_for_event

from .connection_limits import make_room

# Bytes of a connection that are read ahead of its task, and those read in one turn.
READ_AHEAD_BYTES = 32 * 1024
READ_TURN_BYTES = 16 * 1024
# The most bytes that h11 holds of a head, or of a chunk's head. The limit on heads is
# enforced on reading, as it may change while a connection is open.
MAX_EVENT_BYTES = 1024 * 1024


class HttpConnection(asyncio.BufferedProtocol):
    """One caller's connection; ``serve`` answers its requests.

    All connections of a server read into one buffer, so that many callers who send at
    the same moment take no more memory than ``READ_AHEAD_BYTES`` each.

    ``handling`` is true while a handler runs or its response is being sent,
    ``n_requests`` counts the requests whose head was read, and ``announced_idle_ms``
    is the idle timeout that the last answer announced. ``waits_since_ms`` is the clock
    reading since which it waits for a request, None while it has one. What arrives is
    dropped once ``is_discarding`` is set. ``closed`` is done when the connection has
    ended and all that was written to it has been sent.
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
        self.waits_since_ms = None
        self.is_discarding = False
        self.closed = asyncio.get_running_loop().create_future()
        self.data_arrived = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport):
        self.transport = transport
        self.peer = "%s:%s" % transport.get_extra_info("peername")[:2]
        if not make_room(self.server):
            self.server.on_turned_away()
            self.closed.set_result(None)
            transport.abort()
            return
        self.server.connections.add(self)
        self.waits_since_ms = self.server.clock.now_ms()
        self.task = asyncio.get_running_loop().create_task(self.serve(self))

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int):
        if self.is_discarding:
            return
        self.n_unread_bytes += nbytes
        try:
            self.h11.receive_data(self.server.read_buffer[:nbytes])
        except h11.RemoteProtocolError:
            self.transport.close()
        if self.n_unread_bytes > READ_AHEAD_BYTES and not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()
        self.data_arrived.set()

    def eof_received(self):
        if self.task is None:
            return False
        self.peer_closed = True
        self.data_arrived.set()
        if self.handling:
            self.task.cancel()
            return False
        self.h11.receive_data(b"")
        return True

    def connection_lost(self, exc):
        self.peer_closed = True
        if self.task is None:
            return
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
        """Return h11's next event; resume reading once it has taken what was read."""
        self.data_arrived.clear()
        event = self.h11.next_event()
        if event is h11.NEED_DATA:
            self.n_unread_bytes = 0
            self.resume_reading()
        elif isinstance(event, h11.EndOfMessage):
            self.n_unread_bytes = len(self.h11.trailing_data[0])
            if self.n_unread_bytes <= READ_AHEAD_BYTES:
                self.resume_reading()
        return event

    def is_waiting(self) -> bool:
        """Check whether the connection waits for a request of which nothing is here."""
        return self.waits_since_ms is not None and not self.n_unread_bytes

    def discard(self):
        """Drop what arrives from now on."""
        self.is_discarding = True
        self.resume_reading()

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
