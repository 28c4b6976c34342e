"""Three endpoints and a router leave under load.

One agent gets SIGTERM, a second endpoint is listed as leaving, a third is drained by a
rule, and a router gets SIGTERM; the instance list that the others read is delayed by
1 s. Metrics: ``late_new_work``, requests that a leaving engine started more than 3 s
after it began to leave; ``cut_requests``, answers that were cut off or whose request
may have run without the caller knowing, plus requests in flight when a process stopped;
``unanswered``, turns that never got a complete answer.
"""

import asyncio
import json
import re
import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from fleets import Endpoint, Fleet, publish_list, set_rules
from plots import Picture, Series, draw_lines, make_table
from progress import show_progress
from results import CaseResult, Target
from skews import STATE_PATH
from stages import Stage, run_stage
from trials import (
    Trial,
    count_cut,
    count_refusals,
    count_unanswered,
    run_on_fleet,
    wait_until,
)
from workloads import (
    CallFlow,
    ChatFlow,
    Kind,
    Turn,
    call_turns,
    chat_turns,
    make_teams,
    merge_flows,
)

from pulley_base import PulleyError, to_seconds
from pulley_http import Client, fetch

DURATION_MS = 14_000
LONG_DURATION_MS = 60_000
LEAVE_AT_MS = 2_000
MAX_START_DELAY_MS = 3_000
POLL_INTERVAL_MS = 100
N_ENGINES = 8
LIST_LAG_MS = 1_000
REVIEW_ANSWER_TOKENS = 250
COLUMN_HEADINGS = (
    "leaves by",
    "started before",
    "within 3 s",
    "later",
    "last start, ms",
)


@dataclass(frozen=True, slots=True)
class StartCount:
    """How many requests an engine had started, at a time after it began to leave."""

    elapsed_ms: float
    n_started: int


@dataclass(slots=True)
class LeavingEndpoint:
    """One leaving endpoint, how it leaves, and its engine's start counts over time."""

    method: str
    endpoint: Endpoint
    counts: list[StartCount] = field(default_factory=list)

    @property
    def n_late_starts(self) -> int:
        """Requests started more than 3 s after the endpoint began to leave."""
        late = [
            each.n_started
            for each in self.counts
            if each.elapsed_ms >= MAX_START_DELAY_MS
        ]
        return late[-1] - late[0] if late else 0

    @property
    def n_early_starts(self) -> int:
        """Requests started within 3 s after the endpoint began to leave."""
        early = [
            each.n_started
            for each in self.counts
            if each.elapsed_ms <= MAX_START_DELAY_MS
        ]
        return early[-1] - early[0] if early else 0

    @property
    def last_start_ms(self) -> float:
        """Time from the start of the leave to the last request started, 0 if none."""
        starts_ms = [
            after.elapsed_ms
            for before, after in zip(self.counts, self.counts[1:], strict=False)
            if after.n_started > before.n_started
        ]
        return max(starts_ms, default=0.0)


async def run(seed: int, long: bool) -> CaseResult:
    """Make three endpoints, each by another method, and a router leave under load."""
    duration_ms = LONG_DURATION_MS if long else DURATION_MS
    show_progress("endpoints and a router leave under load")
    leaving_endpoints: list[LeavingEndpoint] = []
    exit_codes: list[int] = []

    async def run_script(fleet: Fleet, trial: Trial) -> None:
        await wait_until(trial, LEAVE_AT_MS)
        leaving_endpoints.extend(
            LeavingEndpoint(method, endpoint)
            for method, endpoint in zip(LEAVE_METHODS, fleet.endpoints, strict=False)
        )
        tasks = [
            record_starts(trial, leaving, duration_ms) for leaving in leaving_endpoints
        ]
        tasks += [
            LEAVE_METHODS[leaving.method](fleet, leaving.endpoint)
            for leaving in leaving_endpoints
        ]
        tasks.append(stop_router(fleet))
        results = await asyncio.gather(*tasks)
        exit_codes.extend(code for code in results if code is not None)

    stage = make_stage()
    async with run_stage(stage) as fleet:
        stopped = fleet.routers[-1]
        trial = await run_on_fleet(
            fleet, stage, make_flow(seed, duration_ms), seed, run_script
        )
        logs = [
            stopped.log,
            *(leaving.endpoint.agent.log for leaving in leaving_endpoints),
        ]
        n_cut = sum(map(read_n_cut, logs))
    return report(trial, leaving_endpoints, exit_codes, n_cut)


def make_flow(seed: int, duration_ms: float) -> Iterator[Turn]:
    """Yield chats, and long reviews that are in flight when endpoints leave."""
    teams = make_teams()
    chats = ChatFlow(
        seed, n_chats=60, rate_per_s=25, duration_ms=duration_ms, teams=teams
    )
    reviews = CallFlow(
        seed, Kind.REVIEW, 1.5, duration_ms, 300, REVIEW_ANSWER_TOKENS, teams
    )
    return merge_flows(chat_turns(chats), call_turns(reviews))


def make_stage() -> Stage:
    """Build the stage: a fleet whose instance list shows changes with a delay."""
    return Stage(
        n_engines=N_ENGINES,
        n_slots=6,
        team_names=tuple(team.name for team in make_teams()),
        list_lag_ms=LIST_LAG_MS,
    )


async def record_starts(
    trial: Trial, leaving: LeavingEndpoint, duration_ms: float
) -> None:
    """Poll the engine's start count from now to the end of the flow."""
    leave_start_ms = trial.clock.now_ms() + METHOD_DELAY_MS[leaving.method]
    while trial.clock.now_ms() < trial.start_ms + duration_ms:
        with suppress(PulleyError, ValueError):
            await record_start_count(leaving, trial, leave_start_ms)
        await asyncio.sleep(to_seconds(POLL_INTERVAL_MS))


async def record_start_count(
    leaving: LeavingEndpoint, trial: Trial, leave_start_ms: float
) -> None:
    """Read once how many requests the engine has started, and record it."""
    state = await read_state(leaving.endpoint.engine.address)
    elapsed_ms = trial.clock.now_ms() - leave_start_ms
    leaving.counts.append(StartCount(elapsed_ms, state["n_started"]))


async def read_state(engine: str) -> dict:
    """Read a stand-in engine's actual state, without the delay of its reports."""
    response = await fetch(Client(), engine, "GET", STATE_PATH)
    return json.loads(response.body)


async def stop_agent(fleet: Fleet, endpoint: Endpoint) -> int:
    """Stop an agent by SIGTERM, unannounced in the list, and return its exit code."""
    endpoint.agent.handle.send_signal(signal.SIGTERM)
    return await endpoint.agent.handle.wait()


async def list_leaving(fleet: Fleet, endpoint: Endpoint) -> None:
    """Mark an endpoint as leaving in the instance list."""
    endpoint.state = "leaving"
    publish_list(fleet)


async def drain_by_rule(fleet: Fleet, endpoint: Endpoint) -> None:
    """Drain an endpoint by adding a line to the rules."""
    line = f"drain endpoint {endpoint.agent.address}  # bench: measured\n"
    set_rules(fleet, fleet.plan.rules + line)


LEAVE_METHODS: dict[str, Callable[[Fleet, Endpoint], Awaitable[int | None]]] = {
    "a stop signal": stop_agent,
    "the instance list": list_leaving,
    "a drain rule": drain_by_rule,
}
METHOD_DELAY_MS = {
    "a stop signal": 0,
    "the instance list": LIST_LAG_MS,
    "a drain rule": 0,
}


async def stop_router(fleet: Fleet) -> int:
    """Remove a router from the balancer, stop it by SIGTERM, return its exit code."""
    router = fleet.routers.pop()
    fleet.extras.append(router)
    router.handle.send_signal(signal.SIGTERM)
    return await router.handle.wait()


def read_n_cut(log: Path) -> int:
    """Return the requests that a process cut when it stopped, by its log; 0 if none."""
    match = re.search(r"event=stopped .*n_cut=(\d+)", log.read_text())
    return int(match[1]) if match else 0


def report(
    trial: Trial,
    leaving_endpoints: list[LeavingEndpoint],
    exit_codes: list[int],
    n_cut: int,
) -> CaseResult:
    """Build the result: metrics, a table by method and a chart."""
    metrics = {
        "late_new_work": sum(leaving.n_late_starts for leaving in leaving_endpoints),
        "cut_requests": count_cut(trial) + n_cut,
        "unanswered": count_unanswered(trial),
        "bad_exits": sum(code != 0 for code in exit_codes),
        "processes_stopped": len(exit_codes),
        "refusals": count_refusals(trial),
        "turns": len(trial.ended),
    }
    targets = {
        "late_new_work": Target("==", 0),
        "cut_requests": Target("==", 0),
        "unanswered": Target("==", 0),
        "processes_stopped": Target("==", 2),
    }
    rows = [
        (
            leaving.method,
            leaving.counts[0].n_started,
            leaving.n_early_starts,
            leaving.n_late_starts,
            leaving.last_start_ms,
        )
        for leaving in leaving_endpoints
    ]
    table = make_table(COLUMN_HEADINGS, rows)
    return CaseResult(metrics, targets, table, lambda: draw_picture(leaving_endpoints))


def draw_picture(leaving_endpoints: list[LeavingEndpoint]) -> None:
    """Draw the requests that each engine started since its endpoint began to leave."""
    series = [
        Series(
            leaving.method,
            [each.elapsed_ms / 1_000 for each in leaving.counts],
            [each.n_started - leaving.counts[0].n_started for each in leaving.counts],
        )
        for leaving in leaving_endpoints
    ]
    title = "New work at leaving engines"
    draw_lines(Picture("drain", title, "seconds since", "requests started", series))
