"""Reuse of cached contexts while engines join, leave, restart and crash.

Metrics: ``reuse_over_ceiling``, prompt tokens reused, divided by those that a
placement with complete knowledge reuses in the same run;
``best_baseline_over_ceiling``, the same ratio of the best baseline, each with the
ceiling of its own run; ``skew_over_bound``, the load of the busiest engine, divided by
the bound (load multiple times the mean, plus one request), as the worst sample of the
run.
"""

import asyncio
from collections.abc import Iterator
from random import Random

from ceilings import Event
from fleets import Fleet
from plots import Picture, Series, draw_bars, make_table
from results import CaseResult, Target
from skews import share_over, worst_excess
from stages import (
    OWN_PLACEMENT,
    Stage,
    crash,
    join,
    leave,
    live_endpoints,
    restart_agent,
)
from trials import (
    BASELINES,
    Script,
    Trial,
    count_cut,
    count_refusals,
    count_unanswered,
    find_reuse,
    note_change,
    run_placements,
    run_trial,
    wait_until,
)
from workloads import ChatFlow, Turn, chat_turns, make_teams

DURATION_MS = 6_000
LONG_DURATION_MS = 60_000
CHANGE_INTERVAL_MS = 1_000
MIN_REUSE_OVER_CEILING = 0.95
MAX_SKEW_OVER_BOUND = 1.0
LIST_LAG_MS = 1_000
COLUMN_HEADINGS = (
    "placement",
    "turns",
    "reuse",
    "reuse over ceiling",
    "skew over bound",
    "samples over bound",
    "refusals",
    "unanswered",
    "cut",
)


async def run(seed: int, long: bool) -> CaseResult:
    """Run the same trace and script on a new fleet for each placement."""
    duration_ms = LONG_DURATION_MS if long else DURATION_MS

    def make_trial(placement: str):
        return run_trial(
            make_stage(placement),
            make_flow(seed, duration_ms),
            seed,
            make_script(seed, duration_ms),
        )

    return report(await run_placements(make_trial))


def make_flow(seed: int, duration_ms: float) -> Iterator[Turn]:
    """Yield turns of chats with Zipf popularity that return within the run."""
    return chat_turns(
        ChatFlow(
            seed,
            n_chats=200,
            rate_per_s=48,
            duration_ms=duration_ms,
            zipf_exponent=0.7,
            pause_ms=600,
            teams=make_teams(),
        )
    )


def make_stage(placement: str) -> Stage:
    """Build the stage: consiglio's present fleet, in one data centre."""
    return Stage(
        placement=placement,
        team_names=tuple(team.name for team in make_teams()),
        list_lag_ms=LIST_LAG_MS,
    )


def make_script(seed: int, duration_ms: float) -> Script:
    """Build the script of joins, leaves, restarts and crashes at fixed times."""

    async def run_script(fleet: Fleet, trial: Trial) -> None:
        random = Random(f"{seed} churn")
        actions = [add_engine, remove_endpoint, flap_agent, crash_endpoint]
        tasks = []
        for index in range(int(duration_ms / CHANGE_INTERVAL_MS) - 1):
            await wait_until(trial, (index + 1) * CHANGE_INTERVAL_MS)
            action = actions[index % len(actions)]
            tasks.append(asyncio.create_task(action(fleet, trial, random)))
        await asyncio.gather(*tasks)

    return run_script


async def add_engine(fleet: Fleet, trial: Trial, random: Random) -> None:
    """Start one more engine with its agent."""
    await join(fleet)


async def remove_endpoint(fleet: Fleet, trial: Trial, random: Random) -> None:
    """Remove an endpoint gracefully; its contexts count as lost at once."""
    endpoint = random.choice(live_endpoints(fleet))
    note_change(trial, endpoint.engine.address, Event.LOST)
    await leave(fleet, endpoint)


async def flap_agent(fleet: Fleet, trial: Trial, random: Random) -> None:
    """Restart an agent; its engine is unreachable meanwhile but keeps its contexts."""
    endpoint = random.choice(live_endpoints(fleet))
    note_change(trial, endpoint.engine.address, Event.AWAY)
    endpoint.state = "leaving"
    await restart_agent(fleet, endpoint)
    endpoint.state = "live"
    note_change(trial, endpoint.engine.address, Event.BACK)


async def crash_endpoint(fleet: Fleet, trial: Trial, random: Random) -> None:
    """Kill an engine and its agent."""
    endpoint = random.choice(live_endpoints(fleet))
    note_change(trial, endpoint.engine.address, Event.LOST)
    await crash(fleet, endpoint)


def report(trials: dict[str, Trial]) -> CaseResult:
    """Build the result: metrics, a table by placement and a chart."""
    rows = [make_row(trials[placement]) for placement in trials]
    ratios = {name: find_reuse(trial).over_ceiling for name, trial in trials.items()}
    best_baseline_ratio = max(ratios[name] for name in BASELINES)
    own_trial = trials[OWN_PLACEMENT]
    metrics = {
        "reuse_over_ceiling": ratios[OWN_PLACEMENT],
        "best_baseline_over_ceiling": best_baseline_ratio,
        "reuse_over_best_baseline": ratios[OWN_PLACEMENT]
        / max(best_baseline_ratio, 1e-9),
        "skew_over_bound": worst_excess(
            own_trial.samples, own_trial.stage.load_multiple
        ),
        "cut_requests": count_cut(own_trial),
    }
    targets = {
        "reuse_over_ceiling": Target(">=", MIN_REUSE_OVER_CEILING),
        "reuse_over_best_baseline": Target(">", 1.0),
        "skew_over_bound": Target("<=", MAX_SKEW_OVER_BOUND),
    }
    result = CaseResult(metrics, targets)
    result.table = make_table(COLUMN_HEADINGS, rows)
    result.draw = lambda: draw_picture(rows)
    return result


def make_row(trial: Trial) -> tuple:
    """Return the table row of one placement."""
    reuse = find_reuse(trial)
    multiple = trial.stage.load_multiple
    return (
        trial.stage.placement,
        len(trial.ended),
        reuse.share,
        reuse.over_ceiling,
        worst_excess(trial.samples, multiple),
        share_over(trial.samples, multiple),
        count_refusals(trial),
        count_unanswered(trial),
        count_cut(trial),
    )


def draw_picture(rows) -> None:
    """Draw reuse over ceiling and skew over bound, by placement."""
    names = [row[0] for row in rows]
    columns = ((COLUMN_HEADINGS[3], 3), (COLUMN_HEADINGS[4], 4))
    series = [
        Series(label, (), [row[column] for row in rows]) for label, column in columns
    ]
    picture = Picture("churn", "Churn", "placement", "ratio", series, 1.0)
    draw_bars(picture, names)
