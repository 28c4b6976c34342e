"""Compare the load of the busiest engine with its bound, from samples of true load.

An engine's bound at a sample is the load multiple times the mean load of the engines
in that sample, plus the largest single request on that engine at the time.
"""

import asyncio
import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from pulley_base import Clock, PulleyError, to_seconds
from pulley_http import Client, fetch

SAMPLE_INTERVAL_MS = 100
SAMPLE_TIMEOUT_MS = 500
STATE_PATH = "/standin/state"


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """The load of one engine and the size of its largest request, in tokens."""

    n_tokens: float
    n_largest_request_tokens: float


@dataclass(frozen=True, slots=True)
class Sample:
    """The load of every engine that answered, at one point in time."""

    at_ms: float
    loads: dict[str, EngineLoad]


@dataclass(frozen=True, slots=True)
class BoundExcess:
    """One engine's load at a sample, with the mean and the engine's bound."""

    at_ms: float
    engine: str
    n_engine_tokens: float
    n_mean_tokens: float
    n_bound_tokens: float

    @property
    def over_bound(self) -> float:
        """The engine's load divided by its bound."""
        return self.n_engine_tokens / max(1.0, self.n_bound_tokens)


@dataclass(slots=True)
class Sampler:
    """Reads the true load of the engines whose addresses ``engines()`` returns."""

    engines: Callable[[], Iterable[str]]
    clock: Clock = field(default_factory=Clock)
    client: Client = field(default_factory=Client)
    samples: list[Sample] = field(default_factory=list)


async def run_sampler(sampler: Sampler) -> None:
    """Take a sample every ``SAMPLE_INTERVAL_MS`` until cancelled."""
    next_ms = sampler.clock.now_ms()
    while True:
        await take_sample(sampler)
        next_ms = max(next_ms + SAMPLE_INTERVAL_MS, sampler.clock.now_ms())
        await asyncio.sleep(to_seconds(next_ms - sampler.clock.now_ms()))


async def take_sample(sampler: Sampler) -> None:
    """Read all engines concurrently; omit those that do not answer."""
    engines = list(sampler.engines())
    at_ms = sampler.clock.now_ms()
    reads = [read_load(sampler.client, engine) for engine in engines]
    results = await asyncio.gather(*reads)
    loads = {
        engine: load
        for engine, load in zip(engines, results, strict=True)
        if load is not None
    }
    if loads:
        sampler.samples.append(Sample(at_ms, loads))


async def read_load(client: Client, engine: str) -> EngineLoad | None:
    """Read one engine's load; None when it is unreachable or its answer is invalid."""
    try:
        response = await fetch(
            client, engine, "GET", STATE_PATH, timeout_ms=SAMPLE_TIMEOUT_MS
        )
        state = json.loads(response.body)
        return EngineLoad(state["n_tokens"], state["n_largest"])
    except (PulleyError, ValueError, KeyError):
        return None


def find_excesses(samples: Iterable[Sample], multiple: float) -> Iterator[BoundExcess]:
    """Yield, for each sample, the engine with the highest load over its bound."""
    for sample in samples:
        yield find_excess(sample, multiple)


def find_excess(sample: Sample, multiple: float) -> BoundExcess:
    """Return the engine with the highest load over its bound in a sample."""
    loads = sample.loads
    mean = sum(load.n_tokens for load in loads.values()) / len(loads)
    excesses = [
        BoundExcess(
            sample.at_ms,
            engine,
            load.n_tokens,
            mean,
            multiple * mean + load.n_largest_request_tokens,
        )
        for engine, load in loads.items()
    ]
    return max(excesses, key=lambda excess: excess.over_bound)


def worst_excess(samples: Iterable[Sample], multiple: float) -> float:
    """Return the highest load over bound of a run; the bound holds up to 1."""
    return max(
        (excess.over_bound for excess in find_excesses(samples, multiple)),
        default=0.0,
    )


def share_over(samples: Iterable[Sample], multiple: float) -> float:
    """Return the share of samples in which at least one engine exceeds its bound."""
    results = [excess.over_bound > 1 for excess in find_excesses(samples, multiple)]
    return sum(results) / max(1, len(results))
