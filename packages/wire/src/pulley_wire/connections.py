"""Peer connections: frames in both directions over one TCP connection."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from pulley_base import (
    Clock,
    ConnectionLost,
    ProtocolError,
    TimedOut,
    log_event,
    split_address,
    time_limit,
    to_seconds,
    warn_event,
)

from .frames import FrameReader, encode_frame
from .gen.wire.ttypes import Frame, Heartbeat

REASON_SILENT = "silent"
HEARTBEAT_IDLE_MS = 1_000
SILENCE_TIMEOUT_MS = 2_500
LIVENESS_CHECK_INTERVAL_MS = 250
CONNECT_TIMEOUT_MS = 1_000
FLUSH_THRESHOLD_BYTES = 64 * 1024

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Traffic:
    """Counters of frames and bytes on the wire.

    The control counters cover all sent frames except those that carry a
    caller's request or its response.
    """

    n_frames_sent: int = 0
    n_bytes_sent: int = 0
    n_bytes_received: int = 0
    n_control_frames_sent: int = 0
    n_control_bytes_sent: int = 0


@dataclass(slots=True)
class FrameStamp:
    """State of this process that every frame carries.

    ``revision`` is that of the rules in force, ``draining`` whether the process
    drains.

    ``fleet`` identifies the fleet. It is sent in each datagram and in the first
    frame on a connection. Frames from another fleet are rejected, because the
    address of one fleet's process may later be reused by another's.

    ``on_newer_revision(peer, revision, reply)`` is called after a frame whose sender
    has rules of a higher revision; ``reply`` sends a frame back the same way.
    """

    revision: int = 0
    draining: bool = False
    fleet: int = 0
    on_newer_revision: Callable[[str, int, Callable[[Frame], bool]], None] = (
        lambda peer, revision, reply: None
    )


def is_payload(frame: Frame) -> bool:
    """Check whether a frame carries part of a caller's request or its response."""
    return bool(frame.data or frame.open or frame.body or frame.head or frame.credit)


class PeerConnection(asyncio.Protocol):
    """One multiplexed connection.

    ``on_frame(connection, frame)`` is called for each frame as it arrives and
    must not block; ``on_closed(connection, reason)`` is called once.
    ``n_in_flight`` is maintained by the owner: heartbeats are sent only while it
    is above zero and nothing has been received for ``HEARTBEAT_IDLE_MS``.
    """

    def __init__(
        self,
        on_frame: Callable[["PeerConnection", Frame], None],
        on_closed: Callable[["PeerConnection", str], None],
        *,
        stamp: FrameStamp,
        clock: Clock,
        traffic: Traffic | None = None,
        peer: str = "",
    ):
        self.on_frame = on_frame
        self.on_closed = on_closed
        self.stamp = stamp
        self.clock = clock
        self.traffic = traffic or Traffic()
        self.peer = peer
        self.hello = None
        self.fleet_sent = False
        self.fleet_checked = False
        self.reader = FrameReader()
        self.transport = None
        self.queued_frames = []
        self.n_queued_bytes = 0
        self.closed_reason = None
        self.n_in_flight = 0
        self.last_received_ms = clock.now_ms()
        self.last_sent_ms = self.last_received_ms
        self.heartbeat_sequence = 0
        self.liveness_timer = None
        self.check_due_ms = 0
        self.writable = asyncio.Event()
        self.writable.set()
        self.hello_received = asyncio.Event()

    def connection_made(self, transport):
        self.transport = transport
        if not self.peer:
            self.peer = "%s:%s" % transport.get_extra_info("peername")[:2]
        self.last_received_ms = self.clock.now_ms()
        self.schedule_liveness_check()

    def data_received(self, data: bytes):
        self.last_received_ms = self.clock.now_ms()
        self.traffic.n_bytes_received += len(data)
        try:
            for frame in self.reader.feed(data):
                self.handle_frame(frame)
        except ProtocolError as error:
            warn_event(logger, "bad_frame", peer=self.peer, error=str(error))
            self.close("bad-frame")

    def handle_frame(self, frame: Frame):
        """Reply to heartbeats and pass the frame to ``on_frame``.

        Closes the connection if its first frame comes from another fleet.
        """
        if not self.fleet_checked and (frame.fleet or 0) != self.stamp.fleet:
            warn_event(logger, "other_fleet", peer=self.peer)
            self.close("other-fleet")
        self.fleet_checked = True
        if self.closed_reason is not None:
            return
        if frame.heartbeat is not None:
            if not frame.heartbeat.reply:
                reply = Heartbeat(sequence=frame.heartbeat.sequence, reply=True)
                self.send(Frame(heartbeat=reply))
        if frame.hello is not None:
            self.hello = frame.hello
            self.hello_received.set()
        if self.closed_reason is None:
            self.on_frame(self, frame)
        if (frame.revision or 0) > self.stamp.revision:
            self.stamp.on_newer_revision(self.peer, frame.revision, self.send)

    def connection_lost(self, exc):
        self.report_closed(self.closed_reason or "connection-lost")

    def pause_writing(self):
        self.writable.clear()

    def resume_writing(self):
        self.writable.set()

    def send(self, frame: Frame) -> bool:
        """Send a frame; return False if the connection is closed or not yet open."""
        if self.closed_reason is not None or self.transport is None:
            return False
        frame.revision = self.stamp.revision
        if self.stamp.draining:
            frame.draining = True
        if not self.fleet_sent:
            self.fleet_sent = True
            frame.fleet = self.stamp.fleet or None
        data = encode_frame(frame)
        self.count_sent(frame, len(data))
        self.last_sent_ms = self.clock.now_ms()
        self.queue_bytes(data)
        return True

    def queue_bytes(self, data: bytes):
        """Queue bytes so that one iteration of the event loop writes them at once.

        Writes early once more than ``FLUSH_THRESHOLD_BYTES`` are queued.
        """
        self.queued_frames.append(data)
        self.n_queued_bytes += len(data)
        if self.n_queued_bytes > FLUSH_THRESHOLD_BYTES:
            self.flush()
        elif len(self.queued_frames) == 1:
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self):
        """Write the queued frames to the transport."""
        if not self.queued_frames or self.closed_reason is not None:
            return
        self.transport.write(b"".join(self.queued_frames))
        self.queued_frames.clear()
        self.n_queued_bytes = 0

    def count_sent(self, frame: Frame, n_bytes: int):
        """Count a sent frame of ``n_bytes`` in the traffic counters."""
        traffic = self.traffic
        traffic.n_frames_sent += 1
        traffic.n_bytes_sent += n_bytes
        if not is_payload(frame):
            traffic.n_control_frames_sent += 1
            traffic.n_control_bytes_sent += n_bytes

    def schedule_liveness_check(self):
        """Schedule the next liveness check."""
        self.check_due_ms = self.clock.deadline_ms(LIVENESS_CHECK_INTERVAL_MS)
        loop = asyncio.get_running_loop()
        self.liveness_timer = loop.call_later(
            to_seconds(LIVENESS_CHECK_INTERVAL_MS), self.check_liveness
        )

    def check_liveness(self):
        """Close the connection if it is silent while work is in flight.

        Before that, send heartbeats to find out whether the peer is alive. Time for
        which this process was late is no silence of the peer.
        """
        now_ms = self.clock.now_ms()
        late_ms = max(0, now_ms - self.check_due_ms)
        self.last_received_ms = min(now_ms, self.last_received_ms + late_ms)
        if self.n_in_flight > 0:
            idle_ms = now_ms - self.last_received_ms
            if idle_ms > SILENCE_TIMEOUT_MS:
                self.close(REASON_SILENT)
                return
            if idle_ms > HEARTBEAT_IDLE_MS:
                if now_ms - self.last_sent_ms > HEARTBEAT_IDLE_MS // 2:
                    self.heartbeat_sequence += 1
                    self.send(
                        Frame(heartbeat=Heartbeat(sequence=self.heartbeat_sequence))
                    )
        else:
            self.last_received_ms = now_ms
        self.schedule_liveness_check()

    def close(self, reason: str):
        """Close at once; bytes that were not yet written are lost."""
        if self.closed_reason is not None:
            return
        self.closed_reason = reason
        if self.transport is not None:
            self.transport.abort()
        self.report_closed(reason)

    def report_closed(self, reason: str):
        """Stop the timer and report to the owner, once, that the connection closed."""
        if self.liveness_timer is not None:
            self.liveness_timer.cancel()
            self.liveness_timer = None
        self.writable.set()
        self.hello_received.set()
        self.closed_reason = reason
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            log_event(logger, "peer_closed", peer=self.peer, reason=reason)
            on_closed(self, reason)


async def connect_peer(
    peer: str, make_connection: Callable[[], PeerConnection]
) -> PeerConnection:
    """Connect to ``peer``, an IP:port, within ``CONNECT_TIMEOUT_MS``.

    Raises ConnectionLost or TimedOut with the step ``connect``.
    """
    host, port = split_address(peer)
    loop = asyncio.get_running_loop()
    try:
        async with time_limit(CONNECT_TIMEOUT_MS):
            _transport, connection = await loop.create_connection(
                make_connection, host, port
            )
    except TimeoutError as error:
        raise TimedOut("no connection in time", step="connect", peer=peer) from error
    except OSError as error:
        raise ConnectionLost(str(error), step="connect", peer=peer) from error
    return connection


async def listen_peers(
    host: str, port: int, make_connection: Callable[[], PeerConnection]
) -> asyncio.Server:
    """Accept peer connections on ``host:port``; port 0 takes any free port."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(make_connection, host, port, backlog=1024)
