"""Clocks that read in whole milliseconds."""

import time
from collections.abc import Callable


class Clock:
    """A clock that reads in milliseconds, by default the machine's monotonic clock.

    ``read_ms`` replaces it, for example by the boot time, by the wall time or in tests.
    Readings of two clocks must never be compared, in particular those of two
    processes.

    >>> reading = [5]
    >>> Clock(lambda: reading[0]).now_ms()
    5
    """

    def __init__(self, read_ms: Callable[[], int] | None = None):
        self.read_ms = read_ms or monotonic_ms

    def now_ms(self) -> int:
        """Return the current reading in milliseconds."""
        return self.read_ms()

    def deadline_ms(self, timeout_ms: int) -> int:
        """Return the reading ``timeout_ms`` from now."""
        return self.read_ms() + timeout_ms


def monotonic_ms() -> int:
    """Return the reading of the machine's monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def boot_time_ms() -> int:
    """Return the time since the machine's boot in ms, including suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_time_ms() -> int:
    """Return the Unix time in milliseconds; it may jump forwards or backwards."""
    return time.time_ns() // 1_000_000


def to_seconds(duration_ms: int | float) -> float:
    """Convert milliseconds to seconds, as asyncio takes them.

    A negative duration becomes 0.
    """
    return max(0.0, duration_ms / 1000.0)
