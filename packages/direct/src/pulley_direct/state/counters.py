"""Counters and histograms of the router, and their text for Prometheus."""

import sys
from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

LATENCY_BUCKETS_MS = (10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)

CANCELLED = "cancelled"
UNANSWERED = "unanswered"

COMPLETE = "complete"
RESTARTED = "restarted"

SENT = "sent"
RECEIVED = "received"
DROPPED = "dropped"


@dataclass(slots=True)
class Histogram:
    """Counts by bucket; the last one is for all values above the highest bound."""

    counts: list[int] = field(
        default_factory=lambda: [0] * (len(LATENCY_BUCKETS_MS) + 1)
    )
    total_ms: int = 0


@dataclass(slots=True)
class Counters:
    """Requests by status, failures and refusals by reason, times to the first byte.

    ``unfinished`` counts the requests without a whole answer: ``CANCELLED`` if the
    caller left before one began, ``UNANSWERED`` if the router ended the connection.
    ``unframed_ends`` counts the answers with neither a length nor chunks whose
    connection was closed in order: ``COMPLETE``, or what their endpoint was then,
    ``RESTARTED`` if it may not be the start that answered.
    ``gossip`` counts the datagrams about endpoints' loads: ``SENT`` and ``RECEIVED``
    ones, and those that were ``DROPPED`` because they are not valid. ``yielded`` counts
    the bodies that stalled while others needed their room, ``turned_away`` the
    connections of callers that were closed at once, as there were too many.
    """

    answers: Counter = field(default_factory=Counter)
    refusals: Counter = field(default_factory=Counter)
    retries: Counter = field(default_factory=Counter)
    failures: Counter = field(default_factory=Counter)
    first_byte: Histogram = field(default_factory=Histogram)
    unfinished: Counter = field(default_factory=Counter)
    unframed_ends: Counter = field(default_factory=Counter)
    gossip: Counter = field(default_factory=Counter)
    yielded: int = 0
    turned_away: int = 0


def observe_ms(histogram: Histogram, duration_ms: int) -> None:
    """Count one duration."""
    histogram.counts[bisect_left(LATENCY_BUCKETS_MS, duration_ms)] += 1
    histogram.total_ms += duration_ms


def render_metrics(counters: Counters, gauges: dict[str, float]) -> bytes:
    """Return all counters in Prometheus' text format.

    The library is loaded at the first use, which saves its memory in a router
    that is not scraped. It imports ``ssl``, which the program masks at its start for
    the same reason.
    """
    if sys.modules.get("ssl", sys) is None:
        del sys.modules["ssl"]
    from prometheus_client.core import (
        CollectorRegistry,
        CounterMetricFamily,
        GaugeMetricFamily,
        HistogramMetricFamily,
    )
    from prometheus_client.exposition import generate_latest

    def collect():
        for name, label, counts in (
            ("plantainpulley_direct_answers", "status", counters.answers),
            ("plantainpulley_direct_refusals", "reason", counters.refusals),
            ("plantainpulley_direct_retries", "reason", counters.retries),
            ("plantainpulley_direct_attempt_failures", "reason", counters.failures),
            ("plantainpulley_direct_unfinished", "end", counters.unfinished),
            ("plantainpulley_direct_unframed_ends", "end", counters.unframed_ends),
            ("plantainpulley_direct_gossip", "event", counters.gossip),
        ):
            family = CounterMetricFamily(name, f"{name} by {label}", labels=[label])
            for key, count in counts.items():
                family.add_metric([str(key)], count)
            yield family
        for name, count in (
            ("plantainpulley_direct_yielded_bodies", counters.yielded),
            ("plantainpulley_direct_turned_away", counters.turned_away),
        ):
            yield CounterMetricFamily(name, name, value=count)
        for name, value in gauges.items():
            yield GaugeMetricFamily(name, "the present value", value=value)
        histogram = HistogramMetricFamily(
            "plantainpulley_direct_first_byte_ms",
            "time to the first byte of an answer, in ms",
        )
        histogram.add_metric(
            [], list(bucket_pairs(counters.first_byte)), counters.first_byte.total_ms
        )
        yield histogram

    registry = CollectorRegistry()
    registry.register(_MetricsCollector(collect))
    return generate_latest(registry)


class _MetricsCollector:
    """Adapter with the ``collect`` method that the registry calls."""

    def __init__(self, collect):
        self.collect = collect


def bucket_pairs(histogram: Histogram):
    """Yield each bucket's upper bound with the cumulative count up to it."""
    total = 0
    bounds = [str(bound) for bound in LATENCY_BUCKETS_MS] + ["+Inf"]
    for bound, count in zip(bounds, histogram.counts):
        total += count
        yield bound, total
