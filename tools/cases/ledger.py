"""Shelf questions with and without ledger reviews as background load.

The quiet trial has only questions; the busy trial has the same questions plus ledger
reviews that bring the engines to 80% of their capacity. Metrics: ``shelf_p95_ratio``,
the 95th percentile of the time to a question's first token with reviews, divided by
that without; ``reviews_done``, the share of the reviews that were answered completely.
"""

import asyncio
from collections.abc import Iterator

from plots import Picture, Series, draw_bars, make_table
from progress import show_progress
from replays import Ended, find_percentile
from results import CaseResult, Target
from stages import Stage
from trials import (
    Trial,
    count_refusals,
    count_unanswered,
    percentile_95_ms,
    run_trial,
)
from workloads import CallFlow, Kind, Turn, call_turns, make_teams, merge_flows

DURATION_MS = 20_000
LONG_DURATION_MS = 120_000
MAX_SHELF_P95_RATIO = 1.25
N_ENGINES = 5
N_SLOTS = 8
DECODE_MS = 20
QUESTION_TOKENS = 120
QUESTION_ANSWER_TOKENS = 16
REVIEW_TOKENS = 3_000
REVIEW_ANSWER_TOKENS = 120
QUESTION_LOAD = 0.4
TOTAL_LOAD = 0.8
COLUMN_HEADINGS = ("trial", "load", "kind", "turns", "p50, ms", "p95, ms", "unanswered")
"""Column headings of the table; the load is a share of the engines' slots."""


async def run(seed: int, long: bool) -> CaseResult:
    """Run the questions alone and, at once on another fleet, with the reviews."""
    duration_ms = LONG_DURATION_MS if long else DURATION_MS
    show_progress("questions alone, and with reviews")
    quiet, busy = await asyncio.gather(
        run_trial(make_stage(), make_questions(seed, duration_ms), seed),
        run_trial(make_stage(), make_questions_and_reviews(seed, duration_ms), seed),
    )
    return report(quiet, busy)


def find_rate_per_s(load: float, n_answer_tokens: int) -> float:
    """Return the calls per second that keep the share ``load`` of all slots busy."""
    slot_time_s = n_answer_tokens * DECODE_MS / 1_000
    return load * N_ENGINES * N_SLOTS / slot_time_s


def make_questions(seed: int, duration_ms: float) -> Iterator[Turn]:
    """Yield shelf questions, each in a separate chat."""
    rate_per_s = find_rate_per_s(QUESTION_LOAD, QUESTION_ANSWER_TOKENS)
    return call_turns(
        CallFlow(
            seed,
            Kind.CHAT,
            rate_per_s,
            duration_ms,
            QUESTION_TOKENS,
            QUESTION_ANSWER_TOKENS,
            make_teams()[:5],
            prefix="shelf",
        )
    )


def make_questions_and_reviews(seed: int, duration_ms: float) -> Iterator[Turn]:
    """Yield the questions and the reviews in the order of their times."""
    rate_per_s = find_rate_per_s(TOTAL_LOAD - QUESTION_LOAD, REVIEW_ANSWER_TOKENS)
    reviews = CallFlow(
        seed,
        Kind.REVIEW,
        rate_per_s,
        duration_ms,
        REVIEW_TOKENS,
        REVIEW_ANSWER_TOKENS,
        make_teams()[5:],
        prefix="ledger",
    )
    return merge_flows(make_questions(seed, duration_ms), call_turns(reviews))


def make_stage() -> Stage:
    """Build the stage: Kigali's present alert engines, in one data centre."""
    return Stage(
        service="glue-model",
        n_engines=N_ENGINES,
        n_routers=2,
        load_multiple=1.25,
        n_slots=N_SLOTS,
        decode_ms=DECODE_MS,
        n_capacity_tokens=12_000,
        batch_share=0.5,
        team_names=tuple(team.name for team in make_teams()),
    )


def is_question(ended: Ended) -> bool:
    """Check whether a turn is a shelf question."""
    return ended.turn.kind is Kind.CHAT


def report(quiet: Trial, busy: Trial) -> CaseResult:
    """Build the result: metrics, a table by trial and kind, and a chart."""
    quiet_p95_ms = percentile_95_ms(quiet, is_question)
    busy_p95_ms = percentile_95_ms(busy, is_question)
    reviews = [ended for ended in busy.ended if not is_question(ended)]
    metrics = {
        "shelf_p95_ratio": busy_p95_ms / max(1.0, quiet_p95_ms),
        "shelf_p95_quiet_ms": quiet_p95_ms,
        "shelf_p95_with_reviews_ms": busy_p95_ms,
        "reviews_done": sum(ended.whole for ended in reviews) / max(1, len(reviews)),
        "refusals": count_refusals(quiet) + count_refusals(busy),
        "unanswered": count_unanswered(quiet) + count_unanswered(busy),
    }
    targets = {"shelf_p95_ratio": Target("<=", MAX_SHELF_P95_RATIO)}
    rows = [
        make_row("questions alone", QUESTION_LOAD, Kind.CHAT, quiet),
        make_row("with reviews", TOTAL_LOAD, Kind.CHAT, busy),
        make_row("with reviews", TOTAL_LOAD, Kind.REVIEW, busy),
    ]
    return CaseResult(
        metrics,
        targets,
        make_table(COLUMN_HEADINGS, rows),
        lambda: draw_picture(quiet, busy),
    )


def make_row(name: str, load: float, kind: Kind, trial: Trial) -> tuple:
    """Return the table row of one kind of turn in one trial."""
    turns = [ended for ended in trial.ended if ended.turn.kind is kind]
    times_ms = [ended.first_token_ms for ended in turns]
    return (
        name,
        load,
        "question" if kind is Kind.CHAT else "review",
        len(turns),
        find_percentile(times_ms, 50),
        find_percentile(times_ms, 95),
        sum(not ended.whole for ended in turns),
    )


PERCENTS = (50, 75, 90, 95, 99)


def draw_picture(quiet: Trial, busy: Trial) -> None:
    """Draw percentiles of the time to a question's first token, in milliseconds."""
    series = []
    for name, trial in (("questions alone", quiet), ("with reviews", busy)):
        times_ms = [ended.first_token_ms for ended in trial.ended if is_question(ended)]
        values_ms = [find_percentile(times_ms, percent) for percent in PERCENTS]
        series.append(Series(name, (), values_ms))
    title = "Shelf questions: time to the first token"
    picture = Picture("ledger", title, "percentile", "milliseconds", series)
    draw_bars(picture, [f"p{percent}" for percent in PERCENTS])
