"""Decide which endpoints get no work because they serve far worse than the others.

Outcomes are counted with a half-life. An endpoint that is ejected is tried again
after ``EJECTION_MS``; one more bad outcome is then enough to eject it again.
"""

from dataclasses import dataclass

HALF_LIFE_MS = 8_000
# Any endpoint can have one bad outcome.
MIN_BAD_OUTCOMES = 2.0
# More are not counted, so that a repaired endpoint is back within a half-life.
MAX_BAD_OUTCOMES = 4.0
# Long compared with a request, but short enough that a repaired endpoint is back soon.
EJECTION_MS = 3_000
# An endpoint is ejected if at least this share of its outcomes is bad ...
MIN_BAD_SHARE = 0.2
# ... and that share is at least this many times the share of the others together.
MIN_BAD_RATIO = 3.0
# The other endpoints must carry the work of those that are ejected.
MAX_EJECTED_SHARE = 0.34
# A smaller service needs every endpoint, even one that fails some requests.
MIN_ENDPOINTS = 8


@dataclass(slots=True)
class Record:
    """Good and bad outcomes of one endpoint or of a service, as of ``at_ms``."""

    good: float = 0.0
    bad: float = 0.0
    at_ms: int = 0


def record_outcomes(
    record: Record, service: Record, good: float, bad: float, now_ms: int
) -> None:
    """Add outcomes to an endpoint's record and to that of its service.

    >>> record, service = Record(), Record()
    >>> record_outcomes(record, service, 4, 2, 0)
    >>> record_outcomes(record, service, 0, 1, 8_000)
    >>> record.good, record.bad, service.bad
    (2.0, 2.0, 2.0)
    """
    decay(record, now_ms)
    decay(service, now_ms)
    bad = min(bad, MAX_BAD_OUTCOMES - record.bad)
    for counted in (record, service):
        counted.good += good
        counted.bad += bad


def decay(record: Record, now_ms: int) -> None:
    """Reduce the counts of a record by the time that has passed since ``at_ms``."""
    decay_factor = 0.5 ** (max(0, now_ms - record.at_ms) / HALF_LIFE_MS)
    record.good *= decay_factor
    record.bad *= decay_factor
    record.at_ms = now_ms


def is_outlier(record: Record, service: Record) -> bool:
    """Check whether an endpoint serves far worse than the others of its service.

    Both records must be as of the same time.

    >>> is_outlier(Record(1, 4), Record(19, 5)), is_outlier(Record(9, 1), Record(19, 5))
    (True, False)
    """
    if record.bad < MIN_BAD_OUTCOMES or bad_share(record) < MIN_BAD_SHARE:
        return False
    others = Record(service.good - record.good, service.bad - record.bad)
    return bad_share(record) >= MIN_BAD_RATIO * bad_share(others)


def may_eject(n_ejected: int, n_endpoints: int) -> bool:
    """Check whether one more endpoint of a service can be ejected."""
    if n_endpoints < MIN_ENDPOINTS:
        return False
    return n_ejected + 1 <= n_endpoints * MAX_EJECTED_SHARE


def bad_share(record: Record) -> float:
    """Return the share of the outcomes that are bad, 0 if there are none."""
    total = record.good + record.bad
    return record.bad / total if total > 0 else 0.0
