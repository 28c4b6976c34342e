"""The client side of one connection: an asyncio protocol that feeds h11."""

import asyncio
import socket

import h11

from pulley_base import (
    ConnectionLost,
    TimedOut,
    split_address,
    time_limit,
    to_seconds,
)

READ_AHEAD_BYTES = 64 * 1024
CHECKS_PER_STALL_TIMEOUT = 4

# The kernel sets keep-alive times in whole seconds; 1 is the smallest value.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
MAX_LOST_KEEPALIVE_PROBES = 2


class ClientConnection(asyncio.Protocol):
    """One connection to a server.

    Received bytes are passed to h11 at once; reading is paused while more than
    ``READ_AHEAD_BYTES`` of them are unread. ``ended`` is set when no more bytes
    will arrive, ``broken`` when it was not the server that closed the connection in
    order: a response that is delimited by the end of the connection is then
    incomplete. ``error`` is what broke it, None if this side did.
    """

    def __init__(self, peer: str):
        self.peer = peer
        self.h11 = h11.Connection(h11.CLIENT)
        self.transport = None
        self.data_waiter = None
        self.ended = False
        self.broken = False
        self.error = None
        self.reading_paused = False
        self.n_unread_bytes = 0
        self.idle_since_ms = 0
        self.n_reads = 0
        self.n_idle_checks = 0
        self.stalled = False
        self.stall_timer = None
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data: bytes):
        self.h11.receive_data(data)
        self.n_unread_bytes += len(data)
        self.n_reads += 1
        if self.n_unread_bytes > READ_AHEAD_BYTES and not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()
        self.wake_reader()

    def eof_received(self):
        self.mark_ended()
        return False

    def connection_lost(self, exc):
        self.broken = self.broken or not self.ended
        self.error = exc
        self.mark_ended()
        self.writable.set()

    def pause_writing(self):
        self.writable.clear()

    def resume_writing(self):
        self.writable.set()

    def mark_ended(self):
        """Signal the end of the stream to h11, once, and wake the reader.

        h11 is not told if the connection broke, so that its end does not complete a
        response.
        """
        if not self.ended:
            self.ended = True
            if not self.broken:
                self.h11.receive_data(b"")
        self.wake_reader()

    def wake_reader(self):
        """Wake the task that waits for bytes, if there is one."""
        data_waiter, self.data_waiter = self.data_waiter, None
        if data_waiter is not None and not data_waiter.done():
            data_waiter.set_result(None)

    def start_stall_timer(self, stall_timeout_ms: int):
        """Time out a reader that waits ``stall_timeout_ms``, or up to a quarter longer.

        Comparing a read counter a few times per timeout costs far less than a
        timer for each piece.
        """
        delay_s = to_seconds(stall_timeout_ms / CHECKS_PER_STALL_TIMEOUT)
        loop = asyncio.get_running_loop()
        self.stall_timer = loop.call_later(
            delay_s, self.check_for_stall, delay_s, self.n_reads
        )

    def check_for_stall(self, delay_s: float, n_reads: int):
        """Check whether anything was received since the last check."""
        if self.transport.is_closing():
            return
        idle = self.data_waiter is not None and self.n_reads == n_reads
        self.n_idle_checks = self.n_idle_checks + 1 if idle else 0
        if self.n_idle_checks > CHECKS_PER_STALL_TIMEOUT:
            self.stalled = True
            self.wake_reader()
            return
        loop = asyncio.get_running_loop()
        self.stall_timer = loop.call_later(
            delay_s, self.check_for_stall, delay_s, self.n_reads
        )

    def stop_stall_timer(self):
        """Cancel the stall timer, if one is running."""
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        self.n_idle_checks = 0

    def is_reusable(self) -> bool:
        """Check whether an idle connection can carry another request.

        False if it is closed or closing, or if it received bytes that belong to
        no response.
        """
        closing = self.ended or self.transport.is_closing()
        return not closing and not self.h11.trailing_data[0]

    def close(self):
        """Close the connection and cancel its stall timer."""
        self.stop_stall_timer()
        if self.transport is not None:
            self.transport.close()


async def open_connection(
    peer: str, timeout_ms: int, user_timeout_ms: int | None = None
) -> ClientConnection:
    """Open a connection to ``peer``, an IP:port, within ``timeout_ms``.

    With ``user_timeout_ms`` the kernel ends the connection when the peer has not
    acknowledged bytes, or answered keep-alive probes, for about that long.
    Raises ConnectionLost or TimedOut with the step ``connect``.
    """
    host, port = split_address(peer)
    loop = asyncio.get_running_loop()
    try:
        async with time_limit(timeout_ms):
            _transport, connection = await loop.create_connection(
                lambda: ClientConnection(peer), host, port
            )
    except TimeoutError as error:
        raise TimedOut("no connection in time", step="connect", peer=peer) from error
    except OSError as error:
        raise ConnectionLost(str(error), step="connect", peer=peer) from error
    if user_timeout_ms is not None:
        set_user_timeout(connection, user_timeout_ms)
        enable_keep_alive(connection.transport.get_extra_info("socket"))
    return connection


def set_user_timeout(connection: ClientConnection, timeout_ms: int) -> None:
    """Set how long sent bytes may be unacknowledged before the kernel ends it.

    The kernel counts a peer whose receive window is closed like one that is gone.
    """
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def enable_keep_alive(sock: socket.socket) -> None:
    """Make the kernel end an idle connection whose peer no longer responds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_LOST_KEEPALIVE_PROBES)


async def write_bytes(connection: ClientConnection, data: bytes) -> None:
    """Write and wait until the transport's buffer has room again.

    Raises ConnectionLost with the step ``send`` on a closed connection.
    """
    if connection.transport.is_closing():
        raise ConnectionLost("closed", step="send", peer=connection.peer)
    connection.transport.write(data)
    if not connection.writable.is_set():
        await connection.writable.wait()


def parse_event(connection: ClientConnection, step: str):
    """Return h11's next event from the bytes received so far, or NEED_DATA.

    Raises ConnectionLost if the bytes are not valid HTTP.
    """
    try:
        return connection.h11.next_event()
    except h11.RemoteProtocolError as error:
        raise ConnectionLost(str(error), step=step, peer=connection.peer) from error


async def read_more(connection: ClientConnection, step: str) -> None:
    """Wait until more bytes arrive or the stream ends.

    Raises ConnectionLost if it has already ended, and TimedOut if the stall
    timer expires.
    """
    if connection.ended:
        raise ConnectionLost(describe_end(connection), step=step, peer=connection.peer)
    connection.n_unread_bytes = 0
    if connection.reading_paused:
        connection.reading_paused = False
        connection.transport.resume_reading()
    connection.data_waiter = asyncio.get_running_loop().create_future()
    await connection.data_waiter
    if connection.stalled:
        raise TimedOut("the answer stalled", step=step, peer=connection.peer)


def describe_end(connection: ClientConnection) -> str:
    """Return how a connection ended, for errors and logs."""
    if not connection.broken:
        return "closed"
    return "broken" if connection.error is None else f"broken: {connection.error}"


async def next_event(connection: ClientConnection, step: str):
    """Return h11's next event; wait for more bytes as needed."""
    event = parse_event(connection, step)
    while event is h11.NEED_DATA:
        await read_more(connection, step)
        event = parse_event(connection, step)
    return event
