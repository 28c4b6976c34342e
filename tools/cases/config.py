"""Propagation of rule edits by three operators, also with store faults and restarts.

One fleet grows to 5, 20 and 60 processes in one data centre. At each size the calls to
the store are counted while nobody edits, from 12 s after the last start. At 20
processes, operators then make 1.27 changes a second: first without faults, then with
lost replies, outages that begin when a change is accepted, and the replacement of an
agent and a router.

- ``in_force_*_s``: time from the write in the store to the install at the last process,
  according to the log lines of the processes; for a process that started up to 4 s
  after the write, the time counts from its start. All use the clock of the machine.
- ``accepted_lost``: accepted lines that some process lacks at the end, counted for each
  process.
- ``reversions``: installs of a revision that is not higher than the one before it at
  the same process.
- ``store_calls_per_s_N``: all calls that reach the store, not only those for rules. The
  bound is the same at each size: the configured rate of the shared reads of rules and
  of claim windows (two calls each), plus 25% for random variation.
- ``bytes_per_change``: bytes that an average process additionally sends and receives
  for each change, with TCP, UDP and IP headers; includes the operators' own requests.
- ``parse_3000_teams_ms``: processor time to parse a file of 3,000 teams from scratch;
  ``parse_changed_ms``: the same, with one line changed since the last revision;
  ``rules_3000_teams_mb``: memory that Python's allocator holds for it.
"""

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import replace
from random import Random

from fleets import Fleet, publish_list, start_routers
from footprints import measure_idle
from growth import ROLES, find_processes, grow
from operators import TimedHistory, Trial, count_lost_lines, run_operators
from processes import end_process
from progress import show_progress
from results import CaseResult, Target
from rules_files import measure_parser
from stages import DATA_CENTRE, Stage, run_stage
from target_fleet import IN_FORCE_S_BUDGET
from timelines import count_reversions, find_delays, read_timelines

from pulley_fleet.rules_reads import STORE_READS_PER_S
from pulley_fleet.windows import READS_PER_S as WINDOW_READS_PER_S
from pulley_standins.stores import set_faults

LIMIT_S = 240
SIZES = ((4, 1), (16, 4), (50, 10))
N_PROCESSES_FOR_EDITS = 20
COUNT_DURATION_S = 12.0
SETTLE_S = 12.0
EDIT_DURATION_S = 8.0
FAULT_DURATION_S = 14.0
OUTAGE_DURATION_S = 3.0
LONG_FACTOR = 6
MAX_STORE_CALLS_PER_S = 1.25 * (STORE_READS_PER_S + 2 * WINDOW_READS_PER_S)


async def run(seed: int, long: bool) -> CaseResult:
    """Measure store calls at each size, then the edits and the parser."""
    factor = LONG_FACTOR if long else 1
    metrics: dict[str, float] = {}
    async with AsyncExitStack() as stack:
        stage = Stage(n_engines=0, n_routers=0)
        fleet = await stack.enter_async_context(run_stage(stage))
        history = fleet.store.state.history = TimedHistory(fleet.store.state.history)
        trial = Trial(fleet, Random(seed), history)
        for n_engines, n_routers in SIZES:
            n = n_engines + n_routers
            show_progress(f"{n} processes")
            await grow(fleet, n_engines, n_routers)
            await asyncio.sleep(SETTLE_S)
            metrics[f"store_calls_per_s_{n}"] = await measure_call_rate(fleet, factor)
            if n == N_PROCESSES_FOR_EDITS:
                metrics |= await measure_edits(trial, factor)
    metrics |= measure_parser()
    return CaseResult(metrics, make_targets())


def make_targets() -> dict[str, Target]:
    """Return the targets by metric."""
    call_rate_target = Target("<=", MAX_STORE_CALLS_PER_S)
    return {
        "in_force_max_s": Target("<", IN_FORCE_S_BUDGET),
        "accepted_lost": Target("==", 0),
        "reversions": Target("==", 0),
        "n_accepted": Target(">", 0),
        **{f"store_calls_per_s_{sum(size)}": call_rate_target for size in SIZES},
    }


async def measure_call_rate(fleet: Fleet, factor: int) -> float:
    """Return the calls to the store per second, over 12 s times ``factor``."""
    before, start_s = sum(fleet.store.calls.values()), time.monotonic()
    await asyncio.sleep(COUNT_DURATION_S * factor)
    elapsed_s = time.monotonic() - start_s
    return (sum(fleet.store.calls.values()) - before) / elapsed_s


async def measure_edits(trial: Trial, factor: int) -> dict[str, float]:
    """Run the operators without and with faults, and return the edits' metrics."""
    record_logs(trial)
    show_progress("edits")
    idle_bytes_per_s = find_mean_bytes_per_s(
        await measure_idle(trial.fleet, EDIT_DURATION_S * factor)
    )
    edit_task = asyncio.create_task(run_operators(trial, EDIT_DURATION_S * factor))
    edited_bytes_per_s = find_mean_bytes_per_s(
        await measure_idle(trial.fleet, EDIT_DURATION_S * factor)
    )
    await edit_task
    n_changes = trial.n_accepted
    show_progress("edits with faults")
    edit_task = asyncio.create_task(run_operators(trial, FAULT_DURATION_S * factor))
    for _ in range(factor):
        await inject_faults(trial)
    await edit_task
    await asyncio.sleep(IN_FORCE_S_BUDGET)
    timelines = list(read_timelines(trial.logs))
    delays = sorted(find_delays(timelines, trial.history.written_s))
    return {
        "n_accepted": trial.n_accepted,
        "n_refused": trial.n_refused,
        "in_force_p50_s": delays[len(delays) // 2],
        "in_force_p99_s": delays[min(len(delays) - 1, len(delays) * 99 // 100)],
        "in_force_max_s": delays[-1],
        "accepted_lost": await count_lost_lines(trial),
        "reversions": sum(map(count_reversions, read_timelines(trial.logs))),
        "bytes_per_change": (edited_bytes_per_s - idle_bytes_per_s)
        * EDIT_DURATION_S
        * factor
        / n_changes,
    }


def find_mean_bytes_per_s(measurements) -> float:
    """Return the bytes per second of an average process over both roles."""
    counts = {"agent": measurements[0].n_engines, "router": measurements[0].n_routers}
    total = sum(m.figures["bytes_per_s"] * counts[m.role] for m in measurements)
    return total / sum(counts.values())


def record_logs(trial: Trial) -> None:
    """Record the log of each process that is not recorded yet, as still running."""
    for role in ROLES:
        for process in find_processes(trial.fleet, role):
            trial.logs.setdefault(process.log, float("inf"))


async def inject_faults(trial: Trial) -> None:
    """Lose a store reply, replace an agent and, during an outage, a router."""
    fleet = trial.fleet
    await set_faults(fleet.store, {"lose_replies": 1})
    await asyncio.sleep(1.5)
    await replace_process(trial, "agent")
    await wait_for_write(trial)
    await set_faults(fleet.store, {"outage": "hang"})
    await replace_process(trial, "router")
    await asyncio.sleep(OUTAGE_DURATION_S)
    await set_faults(fleet.store, {"outage": ""})


async def wait_for_write(trial: Trial) -> None:
    """Wait until the next change has been accepted."""
    n_accepted = trial.n_accepted
    while trial.n_accepted == n_accepted:
        await asyncio.sleep(0.005)


async def replace_process(trial: Trial, role: str) -> None:
    """End a process of one role and start another to replace it."""
    fleet = trial.fleet
    n_engines, n_routers = len(fleet.endpoints), len(fleet.routers)
    if role == "agent":
        process = fleet.endpoints.pop().agent
    else:
        process = fleet.routers.pop()
    trial.logs[process.log] = time.time()
    publish_list(fleet)
    await end_process(process)
    if role == "agent":
        await grow(fleet, n_engines, n_routers)
    else:
        await add_router(fleet, f"replaced-{len(trial.logs)}")
    record_logs(trial)


async def add_router(fleet: Fleet, name: str) -> None:
    """Start one more router, in a plan called ``name``."""
    running, plan = fleet.routers, fleet.plan
    fleet.routers = []
    fleet.plan = replace(plan, name=name, router_places=(DATA_CENTRE,))
    await start_routers(fleet)
    fleet.routers = running + fleet.routers
    fleet.plan = plan
    publish_list(fleet)
