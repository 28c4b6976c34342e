"""The client's side of one connection: bytes from the loop straight into h11."""

import asyncio
import socket

import h11

from pulley_base import ConnectionLost, TimedOut, to_seconds

READ_AHEAD_BYTES = 256 * 1024
LOOKS_PER_STALL = 4

# Whole seconds are the kernel's smallest steps for keep-alive probes.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES_LOST = 2


class ClientConnection(asyncio.Protocol):
    """One connection to a server.

    What arrives goes to h11 at once; reading pauses while more than
    ``READ_AHEAD_BYTES`` wait there. ``ended`` says that nothing more will come,
    ``broken`` that the connection did not end in good order: an answer that
    lasts until the connection ends is then not whole.
    """

    def __init__(self, peer: str):
        self.peer = peer
        self.h11 = h11.Connection(h11.CLIENT)
        self.transport = None
        self.arrived = None
        self.ended = False
        self.broken = False
        self.paused = False
        self.n_unread = 0
        self.idle_since_ms = 0
        self.n_reads = 0
        self.n_quiet_looks = 0
        self.stalled = False
        self.watcher = None
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data: bytes):
        self.h11.receive_data(data)
        self.n_unread += len(data)
        self.n_reads += 1
        if self.n_unread > READ_AHEAD_BYTES and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        self.wake()

    def eof_received(self):
        self.end()
        return False

    def connection_lost(self, exc):
        self.broken = self.broken or (exc is not None and not self.ended)
        self.end()
        self.writable.set()

    def pause_writing(self):
        self.writable.clear()

    def resume_writing(self):
        self.writable.set()

    def end(self):
        """Tell h11, once, that nothing more will come."""
        if not self.ended:
            self.ended = True
            if not self.broken:
                self.h11.receive_data(b"")
        self.wake()

    def wake(self):
        """Wake the reader, if there is one."""
        arrived, self.arrived = self.arrived, None
        if arrived is not None and not arrived.done():
            arrived.set_result(None)

    def watch_stalls(self, stall_ms: int):
        """Wake a reader that waits for ``stall_ms``, or up to a quarter more.

        Looking a few times at a count costs far less than a timer for each
        piece.
        """
        delay_s = to_seconds(stall_ms / LOOKS_PER_STALL)
        loop = asyncio.get_running_loop()
        self.watcher = loop.call_later(delay_s, self.look, delay_s, self.n_reads)

    def look(self, delay_s: float, n_reads: int):
        """See whether anything was read since the last look."""
        if self.transport.is_closing():
            return
        quiet = self.arrived is not None and self.n_reads == n_reads
        self.n_quiet_looks = self.n_quiet_looks + 1 if quiet else 0
        if self.n_quiet_looks > LOOKS_PER_STALL:
            self.stalled = True
            self.wake()
            return
        loop = asyncio.get_running_loop()
        self.watcher = loop.call_later(delay_s, self.look, delay_s, self.n_reads)

    def end_watch(self):
        """Stop looking for stalls."""
        if self.watcher is not None:
            self.watcher.cancel()
            self.watcher = None
        self.n_quiet_looks = 0

    def is_fresh(self) -> bool:
        """Tell whether an idle connection can carry another request."""
        closing = self.ended or self.transport.is_closing()
        return not closing and not self.h11.trailing_data[0]

    def close(self):
        """Close the connection."""
        self.end_watch()
        if self.transport is not None:
            self.transport.close()


async def open_connection(
    peer: str, timeout_ms: int, silence_ms: int | None = None
) -> ClientConnection:
    """Open a connection to IP:port.

    With ``silence_ms`` the connection breaks when its other end has not
    acknowledged bytes, or answered keep-alive probes, for about that long.
    Raises ConnectionLost or TimedOut with the step ``connect``.
    """
    host, _, port = peer.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(to_seconds(timeout_ms)):
            _transport, connection = await loop.create_connection(
                lambda: ClientConnection(peer), host, int(port)
            )
    except TimeoutError as error:
        raise TimedOut("no connection in time", step="connect", peer=peer) from error
    except OSError as error:
        raise ConnectionLost(str(error), step="connect", peer=peer) from error
    if silence_ms is not None:
        detect_silence(connection.transport.get_extra_info("socket"), silence_ms)
    return connection


def detect_silence(sock: socket.socket, silence_ms: int) -> None:
    """Have the kernel end a connection whose other end is gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_LOST)


async def write_bytes(connection: ClientConnection, data: bytes) -> None:
    """Write and wait while the server takes nothing more.

    Raises ConnectionLost with the step ``send`` on a closed connection.
    """
    if connection.transport.is_closing():
        raise ConnectionLost("closed", step="send", peer=connection.peer)
    connection.transport.write(data)
    if not connection.writable.is_set():
        await connection.writable.wait()


def parse_event(connection: ClientConnection, step: str):
    """Give h11's next event from the bytes at hand, or NEED_DATA."""
    try:
        return connection.h11.next_event()
    except h11.RemoteProtocolError as error:
        raise ConnectionLost(str(error), step=step, peer=connection.peer) from error


async def read_more(connection: ClientConnection, step: str) -> None:
    """Wait until more bytes or the end have arrived.

    Raises TimedOut when stalls are watched for and this is one.
    """
    if connection.ended:
        raise ConnectionLost("closed", step=step, peer=connection.peer)
    connection.n_unread = 0
    if connection.paused:
        connection.paused = False
        connection.transport.resume_reading()
    connection.arrived = asyncio.get_running_loop().create_future()
    await connection.arrived
    if connection.stalled:
        raise TimedOut("the answer stalled", step=step, peer=connection.peer)


async def next_event(connection: ClientConnection, step: str):
    """Give h11's next event, reading as needed."""
    event = parse_event(connection, step)
    while event is h11.NEED_DATA:
        await read_more(connection, step)
        event = parse_event(connection, step)
    return event
