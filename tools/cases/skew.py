"""Load of the busiest engine against the mean, with hot chats and one surging team.

Metrics: ``skew_over_bound``, the work of the busiest engine in tokens, divided by the
bound (load multiple times the mean, plus one request), as the worst sample of the run;
``best_baseline_skew``, the same for the best baseline; ``samples_over_bound``, the
share of samples over the bound. The engines' own loads are sampled every 100 ms.
"""

from collections.abc import Iterator

from plots import Picture, Series, draw_lines, make_table
from results import CaseResult, Target
from skews import find_excesses, share_over, worst_excess
from stages import OWN_PLACEMENT, Stage
from trials import (
    BASELINES,
    Trial,
    count_refusals,
    count_unanswered,
    find_reuse,
    percentile_95_ms,
    run_placements,
    run_trial,
)
from workloads import ChatFlow, Turn, chat_turns, make_teams, merge_flows

DURATION_MS = 4_000
LONG_DURATION_MS = 60_000
MAX_SKEW_OVER_BOUND = 1.0
QUIET_RATE_PER_S = 24
SURGE_RATE_PER_S = 40
COLUMN_HEADINGS = (
    "placement",
    "turns",
    "skew over bound",
    "samples over bound",
    "reuse over ceiling",
    "p95 to first token, ms",
    "refusals",
    "unanswered",
)


async def run(seed: int, long: bool) -> CaseResult:
    """Run the same trace on a new fleet for each placement."""
    duration_ms = LONG_DURATION_MS if long else DURATION_MS

    def make_trial(placement: str):
        flow = make_flow(seed, duration_ms)
        return run_trial(make_stage(placement), flow, seed)

    return report(await run_placements(make_trial))


def make_flow(seed: int, duration_ms: float) -> Iterator[Turn]:
    """Yield turns of chats, a few of them hot, and a surge of one team.

    The surge lasts for the middle third of the run.
    """
    teams = make_teams()
    common = ChatFlow(
        seed,
        n_chats=80,
        rate_per_s=QUIET_RATE_PER_S,
        duration_ms=duration_ms,
        zipf_exponent=1.3,
        pause_ms=100,
        teams=teams,
    )
    surge = ChatFlow(
        seed,
        n_chats=40,
        rate_per_s=SURGE_RATE_PER_S,
        duration_ms=duration_ms / 3,
        start_ms=duration_ms / 3,
        teams=teams[-1:],
        prefix="surge",
    )
    return merge_flows(chat_turns(common), chat_turns(surge))


def make_stage(placement: str) -> Stage:
    """Build the stage: consiglio's present fleet, in one data centre."""
    names = tuple(team.name for team in make_teams())
    return Stage(placement=placement, team_names=names)


def report(trials: dict[str, Trial]) -> CaseResult:
    """Build the result: metrics, a table by placement and a chart."""
    worst_excesses = {
        name: worst_excess(trial.samples, trial.stage.load_multiple)
        for name, trial in trials.items()
    }
    own_trial = trials[OWN_PLACEMENT]
    metrics = {
        "skew_over_bound": worst_excesses[OWN_PLACEMENT],
        "best_baseline_skew": min(worst_excesses[name] for name in BASELINES),
        "samples_over_bound": share_over(
            own_trial.samples, own_trial.stage.load_multiple
        ),
    }
    targets = {"skew_over_bound": Target("<=", MAX_SKEW_OVER_BOUND)}
    rows = [make_row(trial) for trial in trials.values()]
    table = make_table(COLUMN_HEADINGS, rows)
    return CaseResult(metrics, targets, table, lambda: draw_picture(trials))


def make_row(trial: Trial) -> tuple:
    """Return the table row of one placement."""
    multiple = trial.stage.load_multiple
    return (
        trial.stage.placement,
        len(trial.ended),
        worst_excess(trial.samples, multiple),
        share_over(trial.samples, multiple),
        find_reuse(trial).over_ceiling,
        percentile_95_ms(trial, lambda each: True),
        count_refusals(trial),
        count_unanswered(trial),
    )


def draw_picture(trials: dict[str, Trial]) -> None:
    """Draw the busiest engine's load over its bound by time, for each placement."""
    series = []
    for name, trial in trials.items():
        excesses = list(find_excesses(trial.samples, trial.stage.load_multiple))
        times_s = [(each.at_ms - trial.start_ms) / 1_000 for each in excesses]
        series.append(Series(name, times_s, [each.over_bound for each in excesses]))
    title = "Busiest engine over its bound"
    draw_lines(Picture("skew", title, "seconds", "load / bound", series, 1.0))
