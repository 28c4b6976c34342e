"""Messages between routers, each one a datagram of fields separated by spaces.

>>> encode_message(LoadMessage("a", 7))
b'load a 7 100'
>>> decode_message(b"limit a 1700000000000 4900")
LimitMessage(endpoint='a', started_ms=1700000000000, rate_per_ks=4900)
"""

from dataclasses import astuple, dataclass, fields

from pulley_base import ProtocolError

from ..state.models import USUAL_PERCENT, CrashReports
from .crash_documents import decode_reports, encode_reports

# Larger datagrams may be split on the way.
MAX_DATAGRAM_BYTES = 1_200
# Far more requests than any endpoint holds.
MAX_LOAD = 1_000_000
# An endpoint a thousand times slower than usual answers nothing in time.
MAX_DURATION_PERCENT = 100_000
# Unix time in ms, some thousand years ahead.
MAX_TIME_MS = 10**14
# More than any endpoint serves.
MAX_RATE_PER_KS = 10**12
# Far more changes than an operator makes.
MAX_VERSION = 10**15


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """An endpoint, the requests that it reported, and how long work takes there.

    The latter is a percentage of the usual.
    """

    endpoint: str
    n_requests: int
    duration_percent: int = USUAL_PERCENT


@dataclass(frozen=True, slots=True)
class LeavingMessage:
    """An endpoint that said that it leaves, and its start as Unix time in ms."""

    endpoint: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class LimitMessage:
    """An endpoint that named a limit, its start, and requests per 1,000 seconds."""

    endpoint: str
    started_ms: int
    rate_per_ks: int


@dataclass(frozen=True, slots=True)
class LimitEndedMessage:
    """An endpoint that names no limit any more, and its start."""

    endpoint: str
    started_ms: int


@dataclass(frozen=True, slots=True)
class VersionMessage:
    """The version of the sender's configuration.

    ``asks`` is 1 if the receiver is to answer with its own, otherwise 0.
    """

    version: int
    asks: int


EndpointMessage = LoadMessage | LeavingMessage | LimitMessage | LimitEndedMessage
Message = EndpointMessage | VersionMessage | CrashReports

TYPES = {
    "load": LoadMessage,
    "leaving": LeavingMessage,
    "limit": LimitMessage,
    "no-limit": LimitEndedMessage,
    "version": VersionMessage,
}
KINDS = {message_type: kind for kind, message_type in TYPES.items()}
CRASHES_KIND = "crashes"
MAX_VALUES = {
    "n_requests": MAX_LOAD,
    "duration_percent": MAX_DURATION_PERCENT,
    "started_ms": MAX_TIME_MS,
    "rate_per_ks": MAX_RATE_PER_KS,
    "version": MAX_VERSION,
    "asks": 1,
}


def encode_message(message: Message) -> bytes:
    """Return a message as one datagram.

    That of crash reports may be longer than a datagram that is decoded; it does not
    tell the reporter, who is known by the address that it comes from.
    """
    if isinstance(message, CrashReports):
        return f"{CRASHES_KIND} ".encode() + encode_reports(message)
    words = (KINDS[type(message)], *astuple(message))
    return " ".join(map(str, words)).encode()


def decode_message(data: bytes, source: str = "") -> Message:
    """Parse a datagram of ``source``; raises ProtocolError with the step ``decode``."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ProtocolError("too long", step="decode")
    first, _, document = data.partition(b" ")
    if first == CRASHES_KIND.encode():
        return decode_reports(source, document)
    kind, *words = data.decode("utf-8", "replace").split(" ")
    if kind not in TYPES:
        raise ProtocolError("unknown kind", step="decode")
    names = [field.name for field in fields(TYPES[kind])]
    if len(words) != len(names):
        raise ProtocolError("wrong number of fields", step="decode")
    return TYPES[kind](*map(decode_value, names, words))


def decode_value(name: str, word: str) -> str | int:
    """Parse the value of a field: a number if the field has a largest one."""
    return decode_number(name, word) if name in MAX_VALUES else word


def decode_number(name: str, text: str) -> int:
    """Parse a number, from 0 to the largest value of its field."""
    if not (text.isascii() and text.isdecimal()) or int(text) > MAX_VALUES[name]:
        raise ProtocolError(f"not a valid {name}", step="decode")
    return int(text)
