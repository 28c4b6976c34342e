"""One team at ten times its share, and the effect on the other teams.

In the quiet trial every team sends its share; the surge trial has the same turns plus a
surge of one team. Metrics: ``others_p95_ratio``, the 95th percentile of the other
teams' time to the first token in the surge trial, divided by that in the quiet trial;
``surging_p95_ratio``, the same for the surging team.
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
from workloads import ChatFlow, Team, Turn, chat_turns, make_teams, merge_flows

DURATION_MS = 18_000
LONG_DURATION_MS = 120_000
MAX_OTHERS_P95_RATIO = 1.25
SURGE_FACTOR = 10
SURGING_TEAM_INDEX = 2
N_ENGINES = 10
N_SLOTS = 4
DECODE_MS = 20
ANSWER_TOKENS = 24
QUIET_LOAD = 0.4
COLUMN_HEADINGS = (
    "trial",
    "teams",
    "turns",
    "p50, ms",
    "p95, ms",
    "refusals",
    "unanswered",
)


async def run(seed: int, long: bool) -> CaseResult:
    """Run the quiet trace and, at once on another fleet, the same with the surge."""
    duration_ms = LONG_DURATION_MS if long else DURATION_MS
    show_progress("quiet, and with one team surging")
    quiet, surge = await asyncio.gather(
        run_trial(make_stage(), make_quiet(seed, duration_ms), seed),
        run_trial(make_stage(), make_surge(seed, duration_ms), seed),
    )
    return report(quiet, surge)


def find_surging_team() -> Team:
    """Return the team that surges, the third largest."""
    return make_teams()[SURGING_TEAM_INDEX]


def find_quiet_rate_per_s() -> float:
    """Return the turns per second that keep 40% of all slots busy."""
    slot_time_s = ANSWER_TOKENS * DECODE_MS / 1_000
    return QUIET_LOAD * N_ENGINES * N_SLOTS / slot_time_s


def make_quiet(seed: int, duration_ms: float) -> Iterator[Turn]:
    """Yield turns of all teams, each at its share."""
    return chat_turns(
        ChatFlow(
            seed,
            n_chats=600,
            rate_per_s=find_quiet_rate_per_s(),
            duration_ms=duration_ms,
            zipf_exponent=0.5,
            n_opening_tokens=200,
            n_answer_tokens=ANSWER_TOKENS,
            teams=make_teams(),
        )
    )


def make_surge(seed: int, duration_ms: float) -> Iterator[Turn]:
    """Yield the quiet turns and nine more shares of the surging team."""
    team = find_surging_team()
    surge = ChatFlow(
        seed,
        n_chats=600,
        rate_per_s=find_quiet_rate_per_s() * team.share * (SURGE_FACTOR - 1),
        duration_ms=duration_ms,
        zipf_exponent=0.5,
        n_opening_tokens=200,
        n_answer_tokens=ANSWER_TOKENS,
        teams=(team,),
        prefix="surge",
    )
    return merge_flows(make_quiet(seed, duration_ms), chat_turns(surge))


def make_stage() -> Stage:
    """Build the stage: consiglio's present fleet, in one data centre."""
    return Stage(
        n_engines=N_ENGINES,
        n_slots=N_SLOTS,
        decode_ms=DECODE_MS,
        team_names=tuple(team.name for team in make_teams()),
    )


def is_other(ended: Ended) -> bool:
    """Check whether a turn is of another team than the surging one."""
    return ended.turn.team != find_surging_team().name


def is_surging(ended: Ended) -> bool:
    """Check whether a turn is of the surging team."""
    return not is_other(ended)


def report(quiet: Trial, surge: Trial) -> CaseResult:
    """Build the result: metrics, a table by trial and teams, and a chart."""
    ratios = [
        percentile_95_ms(surge, is_included)
        / max(1.0, percentile_95_ms(quiet, is_included))
        for is_included in (is_other, is_surging)
    ]
    metrics = {
        "others_p95_ratio": ratios[0],
        "surging_p95_ratio": ratios[1],
        "others_p95_quiet_ms": percentile_95_ms(quiet, is_other),
        "others_p95_surge_ms": percentile_95_ms(surge, is_other),
        "unanswered": count_unanswered(quiet) + count_unanswered(surge),
        "refusals": count_refusals(quiet) + count_refusals(surge),
    }
    targets = {"others_p95_ratio": Target("<=", MAX_OTHERS_P95_RATIO)}
    rows = [
        make_row(name, teams, trial, is_included)
        for name, trial in (("quiet", quiet), ("surge", surge))
        for teams, is_included in (("others", is_other), ("surging", is_surging))
    ]
    return CaseResult(
        metrics, targets, make_table(COLUMN_HEADINGS, rows), lambda: draw_picture(rows)
    )


def make_row(name: str, teams: str, trial: Trial, is_included) -> tuple:
    """Return the table row of one group of teams in one trial."""
    turns = [ended for ended in trial.ended if is_included(ended)]
    times_ms = [ended.first_token_ms for ended in turns]
    return (
        name,
        teams,
        len(turns),
        find_percentile(times_ms, 50),
        find_percentile(times_ms, 95),
        sum(ended.n_refusals for ended in turns),
        sum(not ended.whole for ended in turns),
    )


def draw_picture(rows: list[tuple]) -> None:
    """Draw medians and 95th percentiles, in milliseconds, by trial and teams."""
    groups = [f"{row[0]}: {row[1]}" for row in rows]
    columns = (("p50", 3), ("p95", 4))
    series = [
        Series(label, (), [row[column] for row in rows]) for label, column in columns
    ]
    title = "Time to the first token while one team surges"
    draw_bars(Picture("surge", title, "trial", "milliseconds", series), groups)
