"""The engine's load report: metrics in Prometheus text format, with a lag."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Gauge, generate_latest

from pulley_base import Clock, to_seconds

from .batches import Batch

SAMPLES_PER_LAG = 4


@dataclass(frozen=True, slots=True)
class Sample:
    """The engine's metrics at the time ``sampled_ms``."""

    sampled_ms: int
    metrics: dict[str, float]


@dataclass(slots=True)
class Report:
    """Samples of a batch's metrics, each reported only once it is ``lag_ms`` old."""

    batch: Batch
    lag_ms: int
    clock: Clock = field(default_factory=Clock)
    samples: deque[Sample] = field(default_factory=deque)
    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    gauges: dict[str, Gauge] = field(default_factory=dict)


def current_metrics(batch: Batch) -> dict[str, float]:
    """Return a batch's current metrics, named in the style of vLLM."""
    return {
        "vllm:num_requests_running": len(batch.running),
        "vllm:num_requests_waiting": len(batch.waiting),
        "vllm:kv_cache_usage_perc": batch.cache.usage,
        "vllm:prefix_cache_hits_total": batch.cache.n_hit_tokens,
        "vllm:prefix_cache_queries_total": batch.cache.n_queried_tokens,
        "vllm:request_success_total": batch.n_finished,
        "vllm:request_started_total": batch.n_started,
        "vllm:request_cancelled_total": batch.n_cancelled,
    }


async def run_sampler(report: Report):
    """Take ``SAMPLES_PER_LAG`` samples per lag, but at most one every 10 ms.

    Runs until cancelled.
    """
    while True:
        report.samples.append(
            Sample(report.clock.now_ms(), current_metrics(report.batch))
        )
        # Samples are at least 10 ms apart.
        await asyncio.sleep(to_seconds(max(10, report.lag_ms / SAMPLES_PER_LAG)))


def delayed_metrics(report: Report) -> dict[str, float]:
    """Return the newest metrics that are at least ``lag_ms`` old.

    All are 0 while no sample is old enough; without a lag they are current.
    """
    if report.lag_ms <= 0:
        return current_metrics(report.batch)
    max_sampled_ms = report.clock.now_ms() - report.lag_ms
    while len(report.samples) > 1 and report.samples[1].sampled_ms <= max_sampled_ms:
        report.samples.popleft()
    if report.samples and report.samples[0].sampled_ms <= max_sampled_ms:
        return report.samples[0].metrics
    return dict.fromkeys(current_metrics(report.batch), 0.0)


def render_report(report: Report) -> bytes:
    """Return the report in Prometheus text format."""
    for name, value in delayed_metrics(report).items():
        if name not in report.gauges:
            report.gauges[name] = Gauge(name, name, registry=report.registry)
        report.gauges[name].set(value)
    return generate_latest(report.registry)
