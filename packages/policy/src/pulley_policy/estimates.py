"""Estimates of endpoints' loads from reports of different ages.

A router hears of an endpoint's load from its own answers and from other routers. A
report counts less as it ages. What it no longer tells is taken to be as at the other
endpoints of the service: an endpoint of which nothing is known is not an idle one.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# By then an endpoint has had time to finish most of the requests that it reported.
REPORT_DECAY_MS = 3_000
# How long work takes at an endpoint that shares its machine changes faster than that.
DURATION_DECAY_MS = 500
USUAL_PERCENT = 100
# What the one idle endpoint counts that is assumed beside those that were reported.
IDLE_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class Sighting:
    """What is known of one endpoint's load.

    ``n_requests`` are those that it holds if the report, ``age_ms`` old, still holds;
    ``n_own`` those of this router, which are certain. ``duration_percent`` is how long
    work took there, as a percentage of the usual.
    """

    n_requests: float
    n_own: int
    age_ms: float
    duration_percent: int = USUAL_PERCENT


def report_weight(age_ms: float) -> float:
    """Return how much a report of this age counts, from 1 down to 0.

    >>> [report_weight(age_ms) for age_ms in (0, 1_500, 4_000)]
    [1.0, 0.5, 0.0]
    """
    return max(0.0, 1.0 - age_ms / REPORT_DECAY_MS)


def estimate_mean(sightings: Iterable[Sighting]) -> float:
    """Return the mean load of endpoints whose loads were reported, 0 without reports.

    Few reports say little of the others, and loads over their bounds are told first: so
    one more endpoint counts, which is idle.

    >>> estimate_mean([Sighting(9.0, 0, 0), Sighting(3.0, 0, 1_500)])
    4.2
    """
    total, total_weight = 0.0, IDLE_WEIGHT
    for sighting in sightings:
        weight = report_weight(sighting.age_ms)
        total += weight * sighting.n_requests
        total_weight += weight
    return total / total_weight


def estimate_load(sighting: Sighting, mean: float) -> float:
    """Return the requests that an endpoint is believed to hold now.

    >>> estimate_load(Sighting(9.0, 0, 1_500), mean=3.0)
    6.0
    """
    weight = report_weight(sighting.age_ms)
    assumed = max(float(sighting.n_own), mean)
    return weight * sighting.n_requests + (1.0 - weight) * assumed


def estimate_duration(sighting: Sighting) -> float:
    """Return how long work takes at an endpoint, 1 for as long as usual.

    >>> estimate_duration(Sighting(0.0, 0, 250, 300))
    2.0
    """
    weight = max(0.0, 1.0 - sighting.age_ms / DURATION_DECAY_MS)
    return 1.0 + weight * (sighting.duration_percent / USUAL_PERCENT - 1.0)
