"""Run trials: a new fleet, a flow of turns, and a script that acts on the fleet."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from ceilings import EngineChange, Event, Reuse, measure_reuse
from fleets import Fleet
from progress import show_progress
from replays import Ended, Replay, find_percentile, iter_served_turns, play
from skews import Sample, Sampler, run_sampler
from stages import OWN_PLACEMENT, Stage, engine_addresses, run_stage
from workloads import Turn

from pulley_base import Clock, to_seconds

BASELINES = ("random", "two-choices", "rendezvous", "bounded")
PLACEMENTS = (OWN_PLACEMENT, *BASELINES)
N_TRIALS_AT_ONCE = 2


@dataclass(slots=True)
class Trial:
    """The results of one trial; all times are readings of one clock."""

    stage: Stage
    clock: Clock = field(default_factory=Clock)
    start_ms: float = 0.0
    ended: list[Ended] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    changes: list[EngineChange] = field(default_factory=list)


Script = Callable[[Fleet, Trial], Awaitable[None]]


async def run_trial(
    stage: Stage, flow: Iterable[Turn], seed: int, script: Script | None = None
) -> Trial:
    """Run a flow on a new fleet while ``script`` acts on the fleet."""
    async with run_stage(stage) as fleet:
        return await run_on_fleet(fleet, stage, flow, seed, script)


async def run_placements(
    make_trial: Callable[[str], Awaitable[Trial]],
) -> dict[str, Trial]:
    """Run one trial per placement and return them by placement name.

    At most ``N_TRIALS_AT_ONCE`` run concurrently.
    """
    semaphore = asyncio.Semaphore(N_TRIALS_AT_ONCE)

    async def run_limited(placement: str) -> Trial:
        async with semaphore:
            show_progress(f"placement {placement}")
            return await make_trial(placement)

    trials = await asyncio.gather(*map(run_limited, PLACEMENTS))
    return dict(zip(PLACEMENTS, trials, strict=True))


async def run_on_fleet(
    fleet: Fleet,
    stage: Stage,
    flow: Iterable[Turn],
    seed: int,
    script: Script | None = None,
) -> Trial:
    """Run a flow on a running fleet while sampling the engines' loads."""
    trial = Trial(stage)
    trial.start_ms = trial.clock.now_ms()
    sampler = Sampler(lambda: engine_addresses(fleet))
    sampler_task = asyncio.create_task(run_sampler(sampler))
    script_task = asyncio.create_task(script(fleet, trial)) if script else None
    replay = Replay(
        stage.service,
        lambda: [router.address for router in fleet.routers],
        Random(seed),
    )
    try:
        trial.ended = await play(replay, flow)
        if script_task is not None:
            await script_task
    finally:
        sampler_task.cancel()
        with suppress(asyncio.CancelledError):
            await sampler_task
    trial.samples = sampler.samples
    return trial


async def wait_until(trial: Trial, offset_ms: float) -> None:
    """Sleep until ``offset_ms`` after the trial's start."""
    await asyncio.sleep(to_seconds(trial.start_ms + offset_ms - trial.clock.now_ms()))


def note_change(trial: Trial, engine: str, event: Event) -> None:
    """Record a change of an engine's availability, for the reuse ceiling."""
    trial.changes.append(EngineChange(trial.clock.now_ms(), engine, event))


def find_reuse(trial: Trial) -> Reuse:
    """Return a trial's reuse and its ceiling."""
    served = list(iter_served_turns(trial.ended))
    return measure_reuse(served, trial.changes, trial.stage.n_cache_tokens)


def percentile_95_ms(trial: Trial, is_selected: Callable[[Ended], bool]) -> float:
    """Return the 95th percentile of the time to first token of the selected turns."""
    times = [result.first_token_ms for result in trial.ended if is_selected(result)]
    return find_percentile(times, 95)


def count_unanswered(trial: Trial) -> int:
    """Return the number of turns without a complete answer."""
    return sum(not result.whole for result in trial.ended)


def count_cut(trial: Trial) -> int:
    """Return the number of turns interrupted or possibly run without an answer."""
    return sum(result.cut for result in trial.ended)


def count_refusals(trial: Trial) -> int:
    """Return the number of refusals that callers received."""
    return sum(result.n_refusals for result in trial.ended)
