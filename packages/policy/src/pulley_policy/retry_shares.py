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
from dataclasses import dataclass, field

# The part of a router's share of the slack that it may save up.
SAVED_PART = 0.8
# The part of the ratio that a router earns with each request.
EARNED_PART = 0.75
# The requests of the last window are counted in so many slices of it.
N_SLICES = 10


@dataclass(slots=True)
class SharedRetryBudget:
    """One router's part of a retry budget; times are clock readings in ms.

    ``left`` is the number of retries that it has at ``filled_ms``. ``n_requests``
    counts its requests in each of the window's last slices, as a ring in which
    ``slice_number`` stands for the present one. ``has_share`` says that its share of
    the slack has begun.

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
    n_requests: list[int] = field(default_factory=lambda: [0] * N_SLICES)
    slice_number: int = 0
    has_share: bool = False


def earn_retry(budget: SharedRetryBudget, share: float, now_ms: int) -> None:
    """Credit one request; ``share`` is the router's part of the slack in retries."""
    refresh(budget, share, now_ms)
    budget.n_requests[budget.slice_number % N_SLICES] += 1
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
    n_recent = sum(budget.n_requests)
    return SAVED_PART * share + (1 - EARNED_PART) * budget.ratio * n_recent


def refresh(budget: SharedRetryBudget, share: float, now_ms: int) -> None:
    """Add what has come with time, and drop what may not be saved up."""
    begin_slice(budget, now_ms)
    passed = (now_ms - budget.filled_ms) / budget.window_ms
    budget.filled_ms = now_ms
    if budget.has_share:
        budget.left += (1 - SAVED_PART) * share * passed
    elif share > 0:
        budget.has_share = True
        budget.left += SAVED_PART * share
    budget.left = min(budget.left, capacity(budget, share))


def begin_slice(budget: SharedRetryBudget, now_ms: int) -> None:
    """Count on in the slice of ``now_ms``, and forget those a window ago."""
    number = now_ms * N_SLICES // budget.window_ms
    n_passed = number - budget.slice_number
    for index in range(min(n_passed, N_SLICES)):
        budget.n_requests[(number - index) % N_SLICES] = 0
    budget.slice_number = number
