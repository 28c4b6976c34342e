"""Each router's part of a retry budget that all routers share, with nobody who counts.

In any window the fleet may make ``ratio`` times its requests plus ``slack`` retries.
Each router keeps to three rules, so that the sum holds whichever routers start or end:

- It begins with nothing, and earns a part of ``ratio`` for each of its requests.
- An equal share of ``slack`` is its own only once it has known the other routers for a
  window. Whatever a process before it has spent of that share lies outside of every
  window then. Most of the share may be saved up, the rest comes with time.
- Beyond its share it saves no more than the other part of ``ratio``, for the requests
  of the last window. Those are counted for the window before the one in which it is
  spent.
"""

from collections.abc import Callable
from dataclasses import dataclass

# The part of a router's share of the slack that it may save up.
SAVED_PART = 0.8
# The part of the ratio that a router earns with each request.
EARNED_PART = 0.75


@dataclass(slots=True)
class SharedRetryBudget:
    """One router's part of a retry budget; times are clock readings in ms.

    ``left`` is the number of retries that it has at ``filled_ms``. ``n_requests`` are
    its requests since ``half_began_ms``, ``n_before`` those of the half window before
    that. ``has_share`` says that its share of the slack has begun.

    >>> budget = SharedRetryBudget(ratio=0.2, window_ms=10_000, filled_ms=0)
    >>> spend_retry(budget, 0.0, 0, lambda: 0.5)
    False
    >>> spend_retry(budget, 5.0, 10_000, lambda: 0.5), budget.left
    (True, 3.0)
    """

    ratio: float
    window_ms: int
    filled_ms: int
    left: float = 0.0
    n_requests: int = 0
    n_before: int = 0
    half_began_ms: int = 0
    has_share: bool = False


def earn_retry(budget: SharedRetryBudget, share: float, now_ms: int) -> None:
    """Credit one request; ``share`` is the router's part of the slack in retries."""
    refresh(budget, share, now_ms)
    budget.n_requests += 1
    budget.left += EARNED_PART * budget.ratio
    budget.left = min(budget.left, capacity(budget, share))


def spend_retry(
    budget: SharedRetryBudget, share: float, now_ms: int, draw: Callable[[], float]
) -> bool:
    """Take one retry; return False if there is none.

    A router that can't save up a whole one puts what it has on a draw: ``draw`` returns
    numbers in ``[0, 1)``.
    """
    refresh(budget, share, now_ms)
    if budget.left >= 1.0:
        budget.left -= 1.0
        return True
    if capacity(budget, share) >= 1.0:
        return False
    stake, budget.left = budget.left, 0.0
    return draw() < stake


def capacity(budget: SharedRetryBudget, share: float) -> float:
    """Return the most retries that a router may save up."""
    n_recent = budget.n_requests + budget.n_before
    return SAVED_PART * share + (1 - EARNED_PART) * budget.ratio * n_recent


def refresh(budget: SharedRetryBudget, share: float, now_ms: int) -> None:
    """Add what has come with time, and drop what may not be saved up."""
    begin_half(budget, now_ms)
    passed = (now_ms - budget.filled_ms) / budget.window_ms
    budget.filled_ms = now_ms
    if budget.has_share:
        budget.left += (1 - SAVED_PART) * share * passed
    elif share > 0:
        budget.has_share = True
        budget.left += SAVED_PART * share
    budget.left = min(budget.left, capacity(budget, share))


def begin_half(budget: SharedRetryBudget, now_ms: int) -> None:
    """Count the requests of another half window if the present one is over."""
    half_ms = max(1, budget.window_ms // 2)
    n_halves = (now_ms - budget.half_began_ms) // half_ms
    if n_halves < 1:
        return
    budget.n_before = budget.n_requests if n_halves == 1 else 0
    budget.n_requests = 0
    budget.half_began_ms += n_halves * half_ms
