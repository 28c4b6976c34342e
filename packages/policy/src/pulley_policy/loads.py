"""Track an engine's load in units of work.

For a model engine the unit is a token: the uncached prompt plus the expected
output. For a plain service it is a request. The agent's own count comes first,
because all work passes through the agent. The engine's report lags behind, so it
corrects the count only slowly.
"""

from dataclasses import dataclass, field

REPORT_WEIGHT = 0.2
MAX_CORRECTION_SHARE = 0.5
DEFAULT_OUTPUT_TOKENS = 128
BYTES_PER_TOKEN = 4


@dataclass(slots=True)
class RunningRequest:
    """The work of one running request and the part of it that remains."""

    team: str
    priority: int
    work: float
    remaining: float


@dataclass(slots=True)
class LoadCount:
    """The work sent to one engine that has not finished, in units of work.

    ``counted_work`` is the remaining work of the requests in ``running``.
    ``correction`` is the smoothed part of the engine's reported load that the agent's
    own count does not explain, at most ``MAX_CORRECTION_SHARE`` of ``capacity``.
    """

    capacity: float
    running: dict[object, RunningRequest] = field(default_factory=dict)
    correction: float = 0.0
    counted_work: float = 0.0

    def add(self, key: object, work: float, team: str, priority: int) -> None:
        """Count a request that is sent to the engine."""
        self.running[key] = RunningRequest(team, priority, work, work)
        self.counted_work += work

    def progress(self, key: object, work: float) -> None:
        """Subtract completed work; a running request counts at least one unit.

        An unknown key is ignored.
        """
        request = self.running.get(key)
        if request is None:
            return
        done = min(work, max(0.0, request.remaining - 1))
        request.remaining -= done
        self.counted_work -= done

    def remove(self, key: object) -> None:
        """Remove a request that has finished or has been cancelled."""
        request = self.running.pop(key, None)
        if request is not None:
            self.counted_work -= request.remaining
        if not self.running:
            self.counted_work = 0.0

    def correct(self, reported: float, counted_at_report: float) -> None:
        """Update the correction from a load that the engine reported.

        ``counted_at_report`` is the agent's own count at the time of the report.
        """
        max_correction = MAX_CORRECTION_SHARE * self.capacity
        difference = max(
            -max_correction, min(max_correction, reported - counted_at_report)
        )
        self.correction += REPORT_WEIGHT * (difference - self.correction)

    def load(self) -> float:
        """Return the corrected load in units of work, at least 0."""
        return max(0.0, self.counted_work + max(0.0, self.correction))

    def count_team(self, team: str) -> int:
        """Return the number of running requests of a team."""
        return sum(request.team == team for request in self.running.values())

    def largest(self) -> float:
        """Return the remaining work of the largest running request, or 0."""
        return max(
            (request.remaining for request in self.running.values()), default=0.0
        )

    def count_priority(self, priority: int) -> int:
        """Return the number of running requests of one priority class."""
        return sum(request.priority == priority for request in self.running.values())

    def sum_priority(self, priority: int) -> float:
        """Return the remaining work of one priority class."""
        return sum(
            request.remaining
            for request in self.running.values()
            if request.priority == priority
        )


def estimate_work(n_prompt_bytes: int, n_output_tokens: int = 0) -> int:
    """Estimate the work of a completion in tokens, from the size of its prompt.

    Without ``n_output_tokens``, the output counts ``DEFAULT_OUTPUT_TOKENS``.

    >>> estimate_work(4_000, 100)
    1100
    """
    n_output = n_output_tokens or DEFAULT_OUTPUT_TOKENS
    return max(1, n_prompt_bytes // BYTES_PER_TOKEN + n_output)
