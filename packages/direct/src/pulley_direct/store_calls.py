"""What the router asks of the platform's store, whatever protocol it speaks."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pulley_base import PulleyError, Sentinel

from .models import Fact

HISTORY_LOST = Sentinel("history_lost", "the store no longer has these changes")


class StoreRefused(PulleyError):
    """The store answered that it did not carry out a call.

    ``status`` is its HTTP status.
    """

    def __init__(self, status: int, step: str, peer: str):
        super().__init__(f"refused with {status}", step=step, peer=peer)
        self.status = status


@dataclass(frozen=True, slots=True)
class Changes:
    """What was read, in order, and the revision to go on from."""

    facts: tuple[Fact, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease and the time that it lasts without a renewal."""

    lease: int
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class StoreCalls:
    """The store's calls, each with a timeout of its own.

    All raise StoreRefused where the store did nothing, ConnectionLost or TimedOut
    where no answer came. ``watch`` takes a revision and the time to wait in ms.
    """

    read_all: Callable[[], Awaitable[Changes]]
    watch: Callable[[int, int], Awaitable[Changes | Sentinel]]
    grant_lease: Callable[[int], Awaitable[LeaseGranted]]
    renew_lease: Callable[[int], Awaitable[bool]]
    announce: Callable[[str, str, int], Awaitable[None]]
