"""Assemble answers from frames in order, and keep finished answers within bounds."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum


class FrameFault(StrEnum):
    """Why a piece of an answer is rejected; also the counter's label."""

    LATE = "late"
    REPEATED = "repeated"
    GAP = "gap"


@dataclass(slots=True)
class Assembly:
    """How many bytes of one attempt's answer have arrived, and its length if known."""

    attempt: int
    offset: int = 0
    length: int | None = None
    ended: bool = False


def take_piece(
    assembly: Assembly, attempt: int, offset: int, data: bytes, last: bool
) -> bytes | FrameFault:
    """Return the new bytes of a piece, or why there are none.

    LATE and REPEATED pieces are dropped. A GAP means that bytes are missing: request
    them again from ``assembly.offset``.

    >>> assembly = Assembly(attempt=2)
    >>> take_piece(assembly, 1, 0, b"old", False)
    <FrameFault.LATE: 'late'>
    >>> take_piece(assembly, 2, 0, b"new", True), is_whole(assembly)
    (b'new', True)
    """
    if attempt != assembly.attempt or assembly.ended:
        return FrameFault.LATE
    if offset > assembly.offset:
        return FrameFault.GAP
    n_received = assembly.offset - offset
    if n_received >= len(data) and not (last and n_received == len(data)):
        return FrameFault.REPEATED
    assembly.offset = offset + len(data)
    assembly.ended = last
    return data[n_received:]


def is_whole(assembly: Assembly) -> bool:
    """Check whether the answer has ended with the announced length, if any."""
    if not assembly.ended:
        return False
    return assembly.length is None or assembly.length == assembly.offset


@dataclass(slots=True)
class HeldAnswer:
    """One finished answer that its router has not acknowledged."""

    n_bytes: int
    expires_ms: int


@dataclass(slots=True)
class HeldAnswers:
    """Finished answers by nonce, oldest first, bounded in bytes and time."""

    max_bytes: int
    hold_ms: int
    n_bytes: int = 0
    by_nonce: OrderedDict[bytes, HeldAnswer] = field(default_factory=OrderedDict)


def hold_answer(answers: HeldAnswers, nonce: bytes, n_bytes: int, now_ms: int) -> None:
    """Record a finished answer; ``evict_answers`` then returns those to remove."""
    release_answer(answers, nonce)
    answers.by_nonce[nonce] = HeldAnswer(n_bytes, now_ms + answers.hold_ms)
    answers.n_bytes += n_bytes


def release_answer(answers: HeldAnswers, nonce: bytes) -> None:
    """Remove an answer that was acknowledged or evicted, if it is held."""
    released = answers.by_nonce.pop(nonce, None)
    if released is not None:
        answers.n_bytes -= released.n_bytes


def evict_answers(answers: HeldAnswers, now_ms: int) -> list[bytes]:
    """Remove expired answers, and the oldest ones while over ``max_bytes``.

    Returns their nonces, oldest first.
    """
    evicted = []
    while answers.by_nonce:
        nonce, oldest = next(iter(answers.by_nonce.items()))
        if oldest.expires_ms > now_ms and answers.n_bytes <= answers.max_bytes:
            break
        release_answer(answers, nonce)
        evicted.append(nonce)
    return evicted
