"""Decide whether a failed attempt may be retried, and after what delay."""

from collections.abc import Callable
from dataclasses import dataclass

BASE_BACKOFF_MS = 20
MAX_BACKOFF_MS = 2_000
MAX_ATTEMPTS = 6
# More doublings than any delay here needs to reach its maximum.
MAX_DOUBLINGS = 16
BUDGET_RATIO = 0.2
BUDGET_MAX_RETRIES = 20.0


@dataclass(slots=True)
class RetryBudget:
    """The number of retries that a service has left.

    Each first attempt adds ``ratio`` of a retry, up to ``maximum``, so that in a long
    outage retries add at most ``ratio`` to the load.

    >>> budget = RetryBudget(left=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    ratio: float = BUDGET_RATIO
    maximum: float = BUDGET_MAX_RETRIES
    left: float = BUDGET_MAX_RETRIES

    def earn(self) -> None:
        """Add ``ratio`` of a retry for a first attempt."""
        self.left = min(self.maximum, self.left + self.ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if less than one is left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class Failure:
    """What is known about a failed attempt.

    ``may_have_run`` is False only if the agent refused the attempt or was never
    reached, so that it cannot have run. ``n_attempts`` counts the attempts made,
    ``left_ms`` is the time to the deadline.
    """

    may_have_run: bool
    idempotent: bool
    n_attempts: int
    left_ms: int


def may_retry(failure: Failure) -> bool:
    """Check whether another attempt is safe and the deadline has not passed.

    Work that may have run is repeated only if it is idempotent.
    """
    if failure.may_have_run and not failure.idempotent:
        return False
    return failure.n_attempts < MAX_ATTEMPTS and failure.left_ms > 0


def draw_backoff_ms(n_attempts: int, draw: Callable[[], float]) -> int:
    """Return the delay before the next attempt: exponential backoff with full jitter.

    ``n_attempts`` counts the attempts made; ``draw`` returns numbers in ``[0, 1)``.
    """
    return int(draw() * double_ms(BASE_BACKOFF_MS, MAX_BACKOFF_MS, n_attempts))


def double_ms(initial_ms: int, max_ms: int, n_failures: int) -> int:
    """Return ``initial_ms`` doubled for each failure, at most ``max_ms``.

    >>> [double_ms(50, 500, n) for n in (0, 1, 3, 4, 1_000)]
    [50, 100, 400, 500, 500]
    """
    return min(max_ms, initial_ms << min(n_failures, MAX_DOUBLINGS))


def draw_half_jitter_ms(
    initial_ms: int, max_ms: int, n_failures: int, draw: Callable[[], float]
) -> float:
    """Return an exponential backoff time, half of which is jitter.

    >>> draw_half_jitter_ms(50, 500, 1, lambda: 0.5)
    75.0
    """
    return double_ms(initial_ms, max_ms, n_failures) * (0.5 + draw() / 2)
