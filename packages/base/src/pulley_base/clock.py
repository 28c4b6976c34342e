"""The one clock type, in whole milliseconds."""

import time
from collections.abc import Callable


class Clock:
    """A monotonic clock that reads in milliseconds.

    The reading comes from a plain function, so that a test hands in its own.
    Readings of two clocks must never be compared, least of all those of two
    processes.

    >>> reading = [5]
    >>> Clock(lambda: reading[0]).now_ms()
    5
    """

    def __init__(self, read_ms: Callable[[], int] | None = None):
        self.read_ms = read_ms or monotonic_ms

    def now_ms(self) -> int:
        """Give the present reading in milliseconds."""
        return self.read_ms()

    def deadline_ms(self, timeout_ms: int) -> int:
        """Give the reading at which ``timeout_ms`` will have passed."""
        return self.read_ms() + timeout_ms


def monotonic_ms() -> int:
    """Read the machine's monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def boot_time_ms() -> int:
    """Read the time since the machine's start, suspension included, in ms."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_time_ms() -> int:
    """Read the time of day in Unix milliseconds; it may jump either way."""
    return time.time_ns() // 1_000_000


def to_seconds(duration_ms: int | float) -> float:
    """Convert milliseconds to the seconds that asyncio takes; never negative."""
    return max(0.0, duration_ms / 1000.0)
