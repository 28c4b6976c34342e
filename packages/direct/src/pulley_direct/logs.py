"""Log lines on standard output, rate limited and written without blocking."""

import logging
import os
import select
import sys
from dataclasses import dataclass

from pulley_base import Clock, configure_logs

# A pipe that polls as writable takes this many bytes without blocking.
MAX_LINE_BYTES = 4_096
LINES_PER_S = 400
MAX_BURST_LINES = 800
MS_PER_S = 1_000


@dataclass(slots=True)
class LineBudget:
    """Rate limit for log lines.

    ``left`` is the number of lines that may be written now, ``n_dropped`` how
    many were dropped since the last one written.
    """

    clock: Clock
    left: float = MAX_BURST_LINES
    refilled_ms: int = 0
    n_dropped: int = 0


def take_line(budget: LineBudget) -> bool:
    """Take one line from the budget; return False if none is left."""
    now_ms = budget.clock.now_ms()
    n_earned = (now_ms - budget.refilled_ms) * LINES_PER_S / MS_PER_S
    budget.left = min(MAX_BURST_LINES, budget.left + n_earned)
    budget.refilled_ms = now_ms
    if budget.left < 1.0:
        return False
    budget.left -= 1.0
    return True


class BoundedStream:
    """A text stream that drops lines instead of waiting for its reader."""

    def __init__(self, descriptor: int, budget: LineBudget):
        self.descriptor = descriptor
        self.budget = budget
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> int:
        """Write one line, or count it as dropped."""
        if not take_line(self.budget) or not self.is_writable():
            self.budget.n_dropped += 1
            return len(text)
        if self.budget.n_dropped:
            text = f"event=lines_dropped count={self.budget.n_dropped}\n{text}"
            self.budget.n_dropped = 0
        os.write(self.descriptor, text.encode()[:MAX_LINE_BYTES])
        return len(text)

    def is_writable(self) -> bool:
        """Check whether a line can be written without blocking."""
        return any(event & select.POLLOUT for _, event in self.poll.poll(0))

    def flush(self) -> None:
        """Do nothing: each line is written at once."""


def log_to_stdout(clock: Clock | None = None) -> None:
    """Send the process's log lines to standard output, rate limited."""
    budget = LineBudget(clock or Clock())
    budget.refilled_ms = budget.clock.now_ms()
    configure_logs(stream=BoundedStream(sys.stdout.fileno(), budget))
    logging.getLogger("asyncio").setLevel(logging.ERROR)
