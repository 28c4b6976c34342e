"""Encode and decode frames: a 4-byte length and thrift's compact protocol.

The thrift library's C accelerator encodes and decodes.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from io import BytesIO

from thrift.protocol import fastbinary
from thrift.Thrift import TException

from pulley_base import ProtocolError

from .gen.wire.ttypes import Frame

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 4 * 1024 * 1024
FRAME_TYPE = [Frame, Frame.thrift_spec]


def encode_message(frame: Frame) -> bytes:
    """Encode a frame without a length prefix, as datagrams carry it."""
    return fastbinary.encode_compact(frame, FRAME_TYPE)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame with its length prefix, as connections carry it.

    Raises ProtocolError if it is longer than ``MAX_FRAME_BYTES``.
    """
    message = encode_message(frame)
    if len(message) > MAX_FRAME_BYTES:
        raise ProtocolError(f"a frame of {len(message)} bytes", step="encode")
    return LENGTH_PREFIX.pack(len(message)) + message


@dataclass(slots=True)
class Source:
    """Bytes to decode, as an object with the attributes that the accelerator reads."""

    cstringio_buf: BytesIO

    @property
    def trans(self) -> "Source":
        """The transport, which is this object itself."""
        return self

    def cstringio_refill(self, partial: bytes, n_expected_bytes: int):
        """Raise EOFError, since a message that needs more bytes is truncated."""
        raise EOFError("the message is truncated")


def decode_message(message: bytes) -> Frame:
    """Decode one frame; raises ProtocolError if the bytes are not a valid frame."""
    frame = Frame()
    try:
        fastbinary.decode_compact(frame, Source(BytesIO(message)), FRAME_TYPE)
    except (TException, EOFError, ValueError, TypeError, OverflowError) as error:
        raise ProtocolError(f"not a frame: {error!r}", step="decode") from error
    return frame


class FrameReader:
    """Splits the byte stream of one connection into frames.

    ``feed`` accepts bytes as they arrive and yields each frame that is complete.
    It raises ProtocolError on a length over ``max_frame_bytes`` and on bytes that
    are not a frame; the connection must then be closed.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES):
        self.buffer = bytearray()
        self.n_expected_bytes = 0
        self.max_frame_bytes = max_frame_bytes

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that these bytes complete; buffer the rest."""
        if self.buffer:
            self.buffer += data
            if len(self.buffer) < self.n_expected_bytes:
                return
            data = bytes(self.buffer)
            self.buffer.clear()
        position = 0
        try:
            while (end := self.find_frame_end(data, position)) <= len(data):
                start, position = position + LENGTH_PREFIX.size, end
                yield decode_message(data[start:end])
            self.n_expected_bytes = end - position
        finally:
            self.buffer += data[position:]

    def find_frame_end(self, data: bytes, position: int) -> int:
        """Return where the frame at ``position`` ends.

        If its length has not arrived in full, return where the length ends.
        """
        start = position + LENGTH_PREFIX.size
        if len(data) < start:
            return start
        (length,) = LENGTH_PREFIX.unpack_from(data, position)
        if length > self.max_frame_bytes:
            raise ProtocolError(f"a frame of {length} bytes", step="decode")
        return start + length
