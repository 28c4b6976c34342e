"""Frames between fake routers and agents, and the connections that carry them."""

from dataclasses import dataclass, field

from pulley_policy.claims import Ruling, Subject

PIECE_BYTES = 3


@dataclass(eq=False)
class Connection:
    """Frames in flight in both directions; a silent connection delivers none."""

    router: object
    agent: object
    to_agent: list = field(default_factory=list)
    to_router: list = field(default_factory=list)
    silent: bool = False


@dataclass(frozen=True)
class Open:
    """Frame that opens one attempt of one request."""

    request: int
    attempt: int
    subject: Subject
    idempotent: bool


@dataclass(frozen=True)
class Resume:
    """Frame that asks for an attempt's answer from an offset on."""

    request: int
    attempt: int
    nonce: bytes
    offset: int


@dataclass(frozen=True)
class Refused:
    """Frame that reports that an attempt has not run and never will."""

    request: int
    attempt: int
    ruling: Ruling | None


@dataclass(frozen=True)
class Failed:
    """Frame that reports that an attempt ran or may have run."""

    request: int
    attempt: int


@dataclass(frozen=True)
class Data:
    """Frame with a piece of an answer."""

    request: int
    attempt: int
    offset: int
    data: bytes
    last: bool


def make_answer(nonce: bytes) -> bytes:
    """Return the answer of one execution, which is unique to its nonce."""
    return b"<" + nonce + b"|" + nonce[::-1] + b">"
