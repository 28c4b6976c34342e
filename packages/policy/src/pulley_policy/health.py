"""Which endpoints serve so badly, against the others, that they get no work.

Outcomes are counted with a half-life. An endpoint that is passed over is tried
again after some seconds; one more bad outcome is then enough to pass it over anew.
"""

from collections.abc import Mapping
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


@dataclass(slots=True)
class Record:
    """An endpoint's good and bad outcomes, as of ``at_ms``."""

    good: float = 0.0
    bad: float = 0.0
    at_ms: int = 0


def note_outcomes(record: Record, good: float, bad: float, now_ms: int) -> None:
    """Add outcomes to a record.

    >>> record = Record()
    >>> note_outcomes(record, 4, 2, 0)
    >>> note_outcomes(record, 0, 1, 8_000)
    >>> record.good, record.bad
    (2.0, 2.0)
    """
    left = fade(record, now_ms)
    record.good = record.good * left + good
    record.bad = min(MOST_BAD, record.bad * left + bad)
    record.at_ms = now_ms


def fade(record: Record, now_ms: int) -> float:
    """Give the part of a record's outcomes that still counts."""
    return 0.5 ** (max(0, now_ms - record.at_ms) / HALF_LIFE_MS)


def is_outlier(name: str, records: Mapping[str, Record], now_ms: int) -> bool:
    """Tell whether an endpoint serves far worse than the others of its service.

    >>> records = {"a": Record(1, 4), "b": Record(9, 0), "c": Record(9, 1)}
    >>> [name for name in records if is_outlier(name, records, 0)]
    ['a']
    """
    present = {other: present_record(records[other], now_ms) for other in records}
    record = present.pop(name)
    if record.bad < FEWEST_BAD or bad_share(record) < BAD_SHARE:
        return False
    others = Record(
        sum(other.good for other in present.values()),
        sum(other.bad for other in present.values()),
    )
    return bad_share(record) >= TIMES_WORSE * bad_share(others)


def may_pass_over(n_passed_over: int, n_endpoints: int) -> bool:
    """Tell whether one more endpoint of a service can be left without work."""
    return n_passed_over + 1 <= n_endpoints * MOST_PASSED_OVER


def present_record(record: Record, now_ms: int) -> Record:
    """Give a record as it counts now."""
    left = fade(record, now_ms)
    return Record(record.good * left, record.bad * left, now_ms)


def bad_share(record: Record) -> float:
    """Give the part of the outcomes that are bad, 0 without any."""
    total = record.good + record.bad
    return record.bad / total if total else 0.0
