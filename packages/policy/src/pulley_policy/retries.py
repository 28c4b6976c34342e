"""Whether a failed attempt may be tried again, and after how long."""

from collections.abc import Callable
from dataclasses import dataclass

BASE_BACKOFF_MS = 20
MAX_BACKOFF_MS = 2_000
MAX_ATTEMPTS = 6
# More doublings than any time here takes to reach its most.
MAX_DOUBLINGS = 16
BUDGET_RATIO = 0.2
BUDGET_MAX = 20.0


@dataclass(slots=True)
class RetryBudget:
    """Retries that a service may still spend.

    Each first attempt earns ``ratio`` of a retry, up to ``maximum``, so that
    in a lasting outage retries add at most ``ratio`` to the load.

    >>> budget = RetryBudget(left=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    ratio: float = BUDGET_RATIO
    maximum: float = BUDGET_MAX
    left: float = BUDGET_MAX

    def earn(self) -> None:
        """Note a first attempt."""
        self.left = min(self.maximum, self.left + self.ratio)

    def spend(self) -> bool:
        """Take one retry out of the budget; False when it is used up."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class Failure:
    """What is known of a failed attempt.

    ``ran`` is False only where the agent refused the attempt, or was never
    reached, so that it cannot have run.
    """

    ran: bool
    idempotent: bool
    n_attempts: int
    left_ms: int


def may_retry(failure: Failure) -> bool:
    """Tell whether another attempt is safe and can still be in time.

    Work that may have run is repeated only when it is idempotent.
    """
    if failure.ran and not failure.idempotent:
        return False
    return failure.n_attempts < MAX_ATTEMPTS and failure.left_ms > 0


def draw_backoff_ms(n_attempts: int, draw: Callable[[], float]) -> int:
    """Give the delay before the next attempt: exponential, full jitter.

    ``n_attempts`` counts the attempts made; ``draw`` gives numbers in
    ``[0, 1)``.
    """
    return int(draw() * double_ms(BASE_BACKOFF_MS, MAX_BACKOFF_MS, n_attempts))


def double_ms(first_ms: int, most_ms: int, n_failures: int) -> int:
    """Give a time that doubles with each failure, up to ``most_ms``.

    >>> [double_ms(50, 500, n) for n in (0, 1, 3, 4, 1_000)]
    [50, 100, 400, 500, 500]
    """
    return min(most_ms, first_ms << min(n_failures, MAX_DOUBLINGS))


def draw_hold_ms(
    first_ms: int, most_ms: int, n_failures: int, draw: Callable[[], float]
) -> float:
    """Give a doubling time, half of it jitter.

    >>> draw_hold_ms(50, 500, 1, lambda: 0.5)
    75.0
    """
    return double_ms(first_ms, most_ms, n_failures) * (0.5 + draw() / 2)
