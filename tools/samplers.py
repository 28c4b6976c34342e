"""Sample every engine's load over time, to compute the skew."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from fleets import Fleet, read_metrics

from pulley_base import PulleyError

SAMPLE_INTERVAL_S = 0.25
LOAD_METRICS = (
    "vllm:num_requests_running",
    "vllm:num_requests_waiting",
    "http_requests_running",
)


@dataclass(slots=True)
class LoadSamples:
    """Engine address to its load, in requests, at each sample."""

    loads: dict[str, list[float]] = field(default_factory=dict)


def compute_skew(samples: LoadSamples, addresses: list[str]) -> float:
    """Return the highest mean load of an engine over the mean of all; 0 when idle."""
    means = [
        sum(values) / len(values)
        for address in addresses
        if (values := samples.loads.get(address))
    ]
    total = sum(means)
    return max(means) * len(means) / total if total else 0.0


@asynccontextmanager
async def sample_loads(fleet: Fleet):
    """Sample every engine's load while the body runs; yields the LoadSamples."""
    samples = LoadSamples()
    task = asyncio.create_task(run_sampling(fleet, samples))
    try:
        yield samples
    finally:
        task.cancel()


async def run_sampling(fleet: Fleet, samples: LoadSamples) -> None:
    """Read all engines' metrics every ``SAMPLE_INTERVAL_S`` until cancelled."""
    while True:
        addresses = [endpoint.engine.address for endpoint in fleet.endpoints]
        await asyncio.gather(
            *(sample_engine(fleet, samples, address) for address in addresses)
        )
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def sample_engine(fleet: Fleet, samples: LoadSamples, address: str) -> None:
    """Record one engine's current load; skip it when the engine does not answer."""
    try:
        metrics = await read_metrics(fleet, address)
    except PulleyError:
        return
    load = sum(metrics.get(name, 0.0) for name in LOAD_METRICS)
    samples.loads.setdefault(address, []).append(load)
