"""Repeats that reach endpoints, held against what the deployment allows."""

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field

from pulley_direct.state.models import Bounds

# Those of routers whose settings name none.
RETRY_RATIO = Bounds().retry_ratio
RETRY_SLACK = Bounds().retry_slack
WINDOW_MS = Bounds().retry_window_ms


@dataclass(slots=True)
class Traffic:
    """When callers sent requests, and when repeats of these were sent on, in ms.

    Both are in ascending order.
    """

    sent_ms: list[int] = field(default_factory=list)
    repeats_ms: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Window:
    """The repeats within one window that ends at ``end_ms``, and how many it allows."""

    end_ms: int
    n_repeats: int
    n_allowed: float

    @property
    def excess(self) -> float:
        """Return how many repeats there are beyond those allowed."""
        return self.n_repeats - self.n_allowed


def find_worst_window(traffic: Traffic) -> Window:
    """Return the window with the most repeats beyond those allowed."""
    ends_ms = [*traffic.repeats_ms, WINDOW_MS]
    windows = (measure_window(traffic, end_ms) for end_ms in ends_ms)
    return max(windows, key=lambda window: window.excess)


def measure_window(traffic: Traffic, end_ms: int) -> Window:
    """Count the repeats of one window, and what its requests allow.

    The requests are those of the window, of the one before it or of the one half a
    window before it, whichever has most.
    """
    n_requests = max(
        count_within(traffic.sent_ms, end_ms - before_ms)
        for before_ms in (0, WINDOW_MS // 2, WINDOW_MS)
    )
    return Window(
        end_ms,
        count_within(traffic.repeats_ms, end_ms),
        RETRY_RATIO * n_requests + RETRY_SLACK,
    )


def count_within(times_ms: Sequence[int], end_ms: int) -> int:
    """Count the times within the window that ends at ``end_ms``.

    >>> count_within([0, 5, 10_000, 10_001], 10_000)
    2
    """
    before = bisect_right(times_ms, end_ms - WINDOW_MS)
    return bisect_right(times_ms, end_ms) - before
