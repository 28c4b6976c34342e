"""The answer of the engine to one attempt, buffered for the routers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from pulley_wire.messages import Failed, Head


@dataclass(slots=True, eq=False)
class Answer:
    """What the engine has answered so far to one attempt.

    ``held`` contains the bytes from offset ``base`` on. The engine is read only while
    fewer than ``limit_bytes`` are held. ``watchers`` are called at each change and
    must not block.
    """

    limit_bytes: int
    head: Head | None = None
    base: int = 0
    held: bytearray = field(default_factory=bytearray)
    complete: bool = False
    failure: Failed | None = None
    watchers: set[Callable[[], None]] = field(default_factory=set)
    has_room: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """The offset after the last byte held."""
        return self.base + len(self.held)


def notify_watchers(answer: Answer) -> None:
    """Call the watchers, which send the answer to routers."""
    for watcher in tuple(answer.watchers):
        watcher()


def start_answer(answer: Answer, head: Head) -> None:
    """Set the answer's head."""
    answer.head = head
    notify_watchers(answer)


async def append_bytes(answer: Answer, piece: bytes) -> None:
    """Append a piece; wait while ``limit_bytes`` or more are held."""
    while len(answer.held) >= answer.limit_bytes:
        answer.has_room.clear()
        await answer.has_room.wait()
    answer.held += piece
    notify_watchers(answer)


def finish_answer(answer: Answer, failure: Failed | None = None) -> None:
    """Mark the answer as complete, or as cut short by ``failure``."""
    answer.failure = failure
    answer.complete = failure is None
    notify_watchers(answer)


def discard_before(answer: Answer, offset: int) -> None:
    """Discard the bytes before ``offset``."""
    n_bytes = min(offset, answer.end) - answer.base
    if n_bytes > 0:
        del answer.held[:n_bytes]
        answer.base += n_bytes
        answer.has_room.set()


def read_at(answer: Answer, offset: int, n_bytes: int) -> bytes:
    """Return up to ``n_bytes`` held bytes from ``offset`` on."""
    start = offset - answer.base
    return bytes(answer.held[start : start + n_bytes])


def is_finished(answer: Answer) -> bool:
    """Check whether the answer is complete or failed."""
    return answer.complete or answer.failure is not None
