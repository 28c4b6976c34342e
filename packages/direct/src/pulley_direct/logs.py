"""Log lines on standard output that never block and are bounded in number."""

import logging
import os
import select
import sys
from dataclasses import dataclass

from pulley_base import Clock, configure_logs

# A pipe that polls as writable takes this many bytes without blocking.
LINE_BYTES = 4_096
LINES_PER_S = 400
BURST_LINES = 800
MS_PER_S = 1_000


@dataclass(slots=True)
class LineBudget:
    """Lines that may be written now, and what was left out since the last one."""

    clock: Clock
    left: float = BURST_LINES
    filled_ms: int = 0
    n_dropped: int = 0


def take_line(budget: LineBudget) -> bool:
    """Take one line out of the budget; False where none is left."""
    now_ms = budget.clock.now_ms()
    earned = (now_ms - budget.filled_ms) * LINES_PER_S / MS_PER_S
    budget.left = min(BURST_LINES, budget.left + earned)
    budget.filled_ms = now_ms
    if budget.left < 1.0:
        return False
    budget.left -= 1.0
    return True


class BoundedStream:
    """A text stream that drops lines rather than wait for its reader."""

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
        os.write(self.descriptor, text.encode()[:LINE_BYTES])
        return len(text)

    def is_writable(self) -> bool:
        """Tell whether a line can be written without waiting."""
        return any(event & select.POLLOUT for _, event in self.poll.poll(0))

    def flush(self) -> None:
        """Do nothing: each line is written at once."""


def log_to_stdout(clock: Clock | None = None) -> None:
    """Send the process's log lines to standard output, bounded."""
    budget = LineBudget(clock or Clock())
    budget.filled_ms = budget.clock.now_ms()
    configure_logs(stream=BoundedStream(sys.stdout.fileno(), budget))
    logging.getLogger("asyncio").setLevel(logging.ERROR)
