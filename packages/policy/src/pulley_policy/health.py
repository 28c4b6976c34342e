"""Which endpoints serve so badly, against the others, that they get no work.

Outcomes are counted with a half-life. An endpoint that is passed over is tried
again after some seconds; one more bad outcome is then enough to pass it over anew.
"""

from dataclasses import dataclass

HALF_LIFE_MS = 8_000
# One bad outcome happens to any endpoint.
FEWEST_BAD = 2.0
# More are not counted, so that a mended endpoint is back within a half-life.
MOST_BAD = 4.0
# Long against a request, and short enough that a mended endpoint is soon back.
PASS_OVER_MS = 3_000
# An endpoint is passed over when this part of its outcomes is bad ...
BAD_SHARE = 0.2
# ... and it is this many times as bad as the others together.
TIMES_WORSE = 3.0
# The others have to carry the work of those that are passed over.
MOST_PASSED_OVER = 0.34
# In a smaller service each endpoint is needed, also one that fails a part.
FEWEST_ENDPOINTS = 8


@dataclass(slots=True)
class Record:
    """Good and bad outcomes of one endpoint or of a service, as of ``at_ms``."""

    good: float = 0.0
    bad: float = 0.0
    at_ms: int = 0


def note_outcomes(
    record: Record, service: Record, good: float, bad: float, now_ms: int
) -> None:
    """Add outcomes to an endpoint's record and to that of its service.

    >>> record, service = Record(), Record()
    >>> note_outcomes(record, service, 4, 2, 0)
    >>> note_outcomes(record, service, 0, 1, 8_000)
    >>> record.good, record.bad, service.bad
    (2.0, 2.0, 2.0)
    """
    fade(record, now_ms)
    fade(service, now_ms)
    bad = min(bad, MOST_BAD - record.bad)
    for each in (record, service):
        each.good += good
        each.bad += bad


def fade(record: Record, now_ms: int) -> None:
    """Let a record's outcomes count less by the time that has passed."""
    left = 0.5 ** (max(0, now_ms - record.at_ms) / HALF_LIFE_MS)
    record.good *= left
    record.bad *= left
    record.at_ms = now_ms


def is_outlier(record: Record, service: Record) -> bool:
    """Tell whether an endpoint serves far worse than the others of its service.

    Both records are as of the same time.

    >>> is_outlier(Record(1, 4), Record(19, 5)), is_outlier(Record(9, 1), Record(19, 5))
    (True, False)
    """
    if record.bad < FEWEST_BAD or bad_share(record) < BAD_SHARE:
        return False
    others = Record(service.good - record.good, service.bad - record.bad)
    return bad_share(record) >= TIMES_WORSE * bad_share(others)


def may_pass_over(n_passed_over: int, n_endpoints: int) -> bool:
    """Tell whether one more endpoint of a service can be left without work."""
    if n_endpoints < FEWEST_ENDPOINTS:
        return False
    return n_passed_over + 1 <= n_endpoints * MOST_PASSED_OVER


def bad_share(record: Record) -> float:
    """Give the part of the outcomes that are bad, 0 without any."""
    total = record.good + record.bad
    return record.bad / total if total > 0 else 0.0
