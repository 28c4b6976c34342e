"""Log lines on standard output, rate limited and written without blocking."""

import logging
import os
import select
import sys
from dataclasses import dataclass

from pulley_base import Clock, configure_logs
from pulley_policy.buckets import TokenBucket, take

# A pipe that polls as writable takes this many bytes without blocking.
MAX_LINE_BYTES = 4_096
LINES_PER_S = 400
MAX_BURST_LINES = 800


@dataclass(slots=True)
class LineBudget:
    """Rate limit for log lines.

    ``bucket`` holds a token for each line that may be written now, ``n_dropped`` is
    how many were dropped since the last one written.
    """

    clock: Clock
    bucket: TokenBucket
    n_dropped: int = 0


def make_line_budget(clock: Clock) -> LineBudget:
    """Return a budget that allows a full burst."""
    now_ms = clock.now_ms()
    bucket = TokenBucket(LINES_PER_S, MAX_BURST_LINES, MAX_BURST_LINES, now_ms)
    return LineBudget(clock, bucket)


class BoundedStream:
    """A text stream that drops lines instead of waiting for its reader."""

    def __init__(self, descriptor: int, budget: LineBudget):
        self.descriptor = descriptor
        self.budget = budget
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> int:
        """Write one line, or count it as dropped."""
        now_ms = self.budget.clock.now_ms()
        if not take(self.budget.bucket, now_ms) or not self.is_writable():
            self.budget.n_dropped += 1
            return len(text)
        if self.budget.n_dropped:
            text = f"event=lines_dropped count={self.budget.n_dropped}\n{text}"
            self.budget.n_dropped = 0
        data = text.encode(errors="backslashreplace")
        os.write(self.descriptor, data[:MAX_LINE_BYTES])
        return len(text)

    def is_writable(self) -> bool:
        """Check whether a line can be written without blocking."""
        return any(event & select.POLLOUT for _, event in self.poll.poll(0))

    def flush(self) -> None:
        """Do nothing: each line is written at once."""


def log_to_stdout(clock: Clock | None = None) -> None:
    """Send the process's log lines to standard output, rate limited."""
    budget = make_line_budget(clock or Clock())
    configure_logs(stream=BoundedStream(sys.stdout.fileno(), budget))
    logging.getLogger("asyncio").setLevel(logging.ERROR)
