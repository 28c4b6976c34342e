"""Messages between routers, each one a datagram of fields separated by spaces.

>>> encode_message(LoadMessage("a", 7))
b'load a 7'
>>> decode_message(b"leaving a 1700000000000")
LeavingMessage(endpoint='a', started_ms=1700000000000)
"""

from dataclasses import astuple, dataclass

from pulley_base import ProtocolError

MAX_DATAGRAM_BYTES = 512
# Far more requests than any endpoint holds.
MAX_LOAD = 1_000_000
# Unix time in ms, some thousand years ahead.
MAX_TIME_MS = 10**14


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """An endpoint and the requests that it reported."""

    endpoint: str
    n_requests: int


@dataclass(frozen=True, slots=True)
class LeavingMessage:
    """An endpoint that said that it leaves, and its start as Unix time in ms."""

    endpoint: str
    started_ms: int


Message = LoadMessage | LeavingMessage

KINDS = {LoadMessage: "load", LeavingMessage: "leaving"}
MAX_VALUES = {"load": MAX_LOAD, "leaving": MAX_TIME_MS}
TYPES = {kind: message_type for message_type, kind in KINDS.items()}


def encode_message(message: Message) -> bytes:
    """Return a message as one datagram."""
    fields = (KINDS[type(message)], *astuple(message))
    return " ".join(map(str, fields)).encode()


def decode_message(data: bytes) -> Message:
    """Parse a datagram; raises ProtocolError with the step ``decode``."""
    fields = data[: MAX_DATAGRAM_BYTES + 1].split(b" ")
    if len(data) > MAX_DATAGRAM_BYTES or len(fields) != 3:
        raise ProtocolError("wrong size or number of fields", step="decode")
    kind, name, number = (field.decode("utf-8", "replace") for field in fields)
    if kind not in TYPES or not (number.isascii() and number.isdecimal()):
        raise ProtocolError("wrong kind or number", step="decode")
    if int(number) > MAX_VALUES[kind]:
        raise ProtocolError("too large a number", step="decode")
    return TYPES[kind](name, int(number))
