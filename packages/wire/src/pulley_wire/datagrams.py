"""Control messages that may be lost: one frame per UDP datagram."""

import asyncio
import logging
from collections.abc import Callable

from pulley_base import ProtocolError, split_address, warn_event

from .connections import FrameStamp, Traffic
from .frames import decode_message, encode_message
from .gen.wire.ttypes import Frame

MAX_DATAGRAM_BYTES = 1_400

logger = logging.getLogger(__name__)


class DatagramPort(asyncio.DatagramProtocol):
    """A UDP port; ``on_frame(peer, frame)`` is called for each control frame."""

    def __init__(
        self,
        on_frame: Callable[[str, Frame], None],
        *,
        stamp: FrameStamp,
        sender: str,
        traffic: Traffic | None = None,
    ):
        self.on_frame = on_frame
        self.stamp = stamp
        self.sender = sender
        self.traffic = traffic or Traffic()
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data: bytes, address):
        self.traffic.n_bytes_received += len(data)
        peer = f"{address[0]}:{address[1]}"
        try:
            frame = decode_message(data)
        except ProtocolError as error:
            warn_event(logger, "bad_datagram", peer=peer, error=str(error))
            return
        peer = frame.sender or peer
        if (frame.fleet or 0) != self.stamp.fleet:
            warn_event(logger, "other_fleet", peer=peer)
            return
        self.on_frame(peer, frame)
        if (frame.revision or 0) > self.stamp.revision:
            self.stamp.on_newer_revision(
                peer, frame.revision, lambda answer: self.send(peer, answer)
            )

    def error_received(self, exc):
        """Ignore a peer that does not listen: the missing answer shows it as well."""

    def send(self, peer: str, frame: Frame) -> bool:
        """Send a frame to ``peer``, an IP:port.

        Return False if it is longer than ``MAX_DATAGRAM_BYTES`` or the port is
        not open.
        """
        frame.revision = self.stamp.revision
        frame.fleet = self.stamp.fleet or None
        frame.sender = self.sender
        if self.stamp.draining:
            frame.draining = True
        data = encode_message(frame)
        if len(data) > MAX_DATAGRAM_BYTES or self.transport is None:
            return False
        self.transport.sendto(data, split_address(peer))
        self.traffic.n_control_frames_sent += 1
        self.traffic.n_control_bytes_sent += len(data)
        return True


async def open_datagrams(
    host: str, port: int, make_port: Callable[[], DatagramPort]
) -> DatagramPort:
    """Open a UDP port on ``host:port``; port 0 takes any free port."""
    loop = asyncio.get_running_loop()
    _transport, protocol = await loop.create_datagram_endpoint(
        make_port, local_addr=(host, port)
    )
    return protocol
