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
import re
import time
import tracemalloc
from collections.abc import Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace
from datetime import datetime
from hashlib import sha256
from pathlib import Path
from random import Random

from fleets import RULES_KEY, Fleet, publish_list, start_routers
from footprints import measure_idle
from growth import ROLES, find_processes, grow
from processes import end_process
from progress import show_progress
from results import CaseResult, Target
from stages import DATA_CENTRE, Stage, run_stage

from pulley_fleet.followers import Follower
from pulley_fleet.rules_reads import STORE_READS_PER_S, fetch_rules
from pulley_fleet.settings import digest_fleet
from pulley_fleet.windows import READS_PER_S as WINDOW_READS_PER_S
from pulley_router.consoles import Console, ConsoleSettings, open_console
from pulley_router.edits import Accepted, find_rules, put_in_force, write_edit
from pulley_rules import parse_rules
from pulley_rules.following import RulesText
from pulley_rules.headers import find_mod_revision, join_edit_header, split_header
from pulley_standins.stores import set_faults
from pulley_wire import FrameStamp, Traffic

LIMIT_S = 240
SIZES = ((4, 1), (16, 4), (50, 10))
N_PROCESSES_FOR_EDITS = 20
CHANGES_PER_S = 1.27
N_OPERATORS = 3
COUNT_DURATION_S = 12.0
SETTLE_S = 12.0
EDIT_DURATION_S = 8.0
FAULT_DURATION_S = 14.0
OUTAGE_DURATION_S = 3.0
LONG_FACTOR = 6
MAX_IN_FORCE_S = 4.0
N_TEAMS = 3_000
MAX_STORE_CALLS_PER_S = 1.25 * (STORE_READS_PER_S + 2 * WINDOW_READS_PER_S)
LOG_LINE = re.compile(r"time=\"?(\S+ \S+?)\"? .*event=(\S+)(?:.* revision=(\d+))?")


@dataclass(slots=True)
class Timeline:
    """Start and end of one process and the revisions that it installed.

    Times are seconds since the epoch; ``installs`` holds pairs of time and revision.
    ``end_s`` is infinite while the process runs.
    """

    name: str
    start_s: float
    end_s: float
    installs: list[tuple[float, int]] = field(default_factory=list)


class TimedHistory(list):
    """The store's history, which also records when each rules revision was written."""

    def __init__(self, items):
        super().__init__(items)
        self.written_s: dict[int, float] = {}

    def append(self, item):
        super().append(item)
        if item[1] == RULES_KEY:
            self.written_s[item[0]] = time.time()


@dataclass(slots=True)
class Trial:
    """The edits so far: accepted lines by team, and counts of accepted and refused.

    ``logs`` maps the log file of each process to the time at which it was ended.
    """

    fleet: Fleet
    random: Random
    history: TimedHistory
    lines: dict[str, str] = field(default_factory=dict)
    n_accepted: int = 0
    n_refused: int = 0
    logs: dict[Path, float] = field(default_factory=dict)


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
        "in_force_max_s": Target("<", MAX_IN_FORCE_S),
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
    await asyncio.sleep(MAX_IN_FORCE_S)
    delays = sorted(find_delays(trial))
    return {
        "n_accepted": trial.n_accepted,
        "n_refused": trial.n_refused,
        "in_force_p50_s": delays[len(delays) // 2],
        "in_force_p99_s": delays[min(len(delays) - 1, len(delays) * 99 // 100)],
        "in_force_max_s": delays[-1],
        "accepted_lost": await count_lost_lines(trial),
        "reversions": sum(map(count_reversions, read_timelines(trial))),
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


async def run_operators(trial: Trial, duration_s: float) -> None:
    """Run all operators for ``duration_s``."""
    end_s = time.monotonic() + duration_s
    await asyncio.gather(
        *(run_operator(trial, number, end_s) for number in range(N_OPERATORS))
    )


async def run_operator(trial: Trial, number: int, end_s: float) -> None:
    """Add or change a line at regular intervals, as one operator, until ``end_s``.

    ``end_s`` is a time of the monotonic clock.
    """
    settings = ConsoleSettings(
        store=trial.fleet.store_address,
        instances=trial.fleet.list_address,
        fleet=trial.fleet.name,
    )
    mean_interval_s = N_OPERATORS / CHANGES_PER_S
    await asyncio.sleep(trial.random.uniform(0, mean_interval_s))
    while time.monotonic() < end_s:
        next_edit_s = time.monotonic() + mean_interval_s
        async with open_console(settings) as console:
            await make_edit(trial, console, number)
        await asyncio.sleep(max(0.0, next_edit_s - time.monotonic()))


async def make_edit(trial: Trial, console: Console, number: int) -> None:
    """Make one edit, like an operator with ``rules show`` and ``rules apply``."""
    found = await find_rules(console)
    if not isinstance(found, RulesText):
        trial.n_refused += 1
        return
    team = f"team op{number}x{trial.random.randrange(5)}"
    line = f"{team} max-running={trial.random.randrange(10**6)}  # op{number}: bench"
    body = split_header(found.text)[1]
    others = [other for other in body.split("\n") if other.split()[:2] != team.split()]
    edited = "\n".join([*filter(None, others), line]) + "\n"
    await asyncio.sleep(trial.random.uniform(0, 0.3))
    base = find_mod_revision(found.text, found.revision)
    header = join_edit_header(base, body).partition("\n")[0]
    result = await write_edit(console, f"{header}\n{edited}")
    if not isinstance(result, Accepted):
        trial.n_refused += 1
        return
    trial.n_accepted += 1
    trial.lines[team] = line
    await put_in_force(console, result, 2_000)


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


def read_timelines(trial: Trial) -> Iterator[Timeline]:
    """Yield the timeline of each process, read from its log."""
    for log, end_s in trial.logs.items():
        events = list(read_events(log))
        start_s = next(at_s for at_s, event, _ in events if event == "listening")
        installs = [(at_s, rev) for at_s, event, rev in events if is_install(event)]
        yield Timeline(log.stem, start_s, end_s, installs)


def is_install(event: str) -> bool:
    """Check whether a log event reports the install of a revision."""
    return event == "rules_in_force"


def read_events(log: Path) -> Iterator[tuple[float, str, int]]:
    """Yield time, event and revision (0 if absent) of each event in a log."""
    for line in log.read_text(errors="replace").splitlines():
        match = LOG_LINE.match(line)
        if match:
            logged = datetime.strptime(match[1], "%Y-%m-%d %H:%M:%S,%f")
            yield logged.timestamp(), match[2], int(match[3] or 0)


def find_delays(trial: Trial) -> Iterator[float]:
    """Yield, for each change, the seconds until all processes had it in force.

    Processes that had ended or not yet started 4 s after the write are left out.
    """
    timelines = list(read_timelines(trial))
    for revision, written_s in trial.history.written_s.items():
        yield max(
            find_delay(timeline, revision, written_s)
            for timeline in timelines
            if timeline.end_s > written_s + MAX_IN_FORCE_S > timeline.start_s
        )


def find_delay(timeline: Timeline, revision: int, written_s: float) -> float:
    """Return the seconds until one process had a change in force.

    Infinite if it never installed the revision or a higher one.
    """
    since_s = max(written_s, timeline.start_s)
    install_times_s = (
        at_s for at_s, installed in timeline.installs if installed >= revision
    )
    return max(0.0, next(install_times_s, float("inf")) - since_s)


def count_reversions(timeline: Timeline) -> int:
    """Return the number of installs whose revision did not rise."""
    revisions = [revision for _, revision in timeline.installs]
    return sum(b <= a for a, b in zip(revisions, revisions[1:]))


async def count_lost_lines(trial: Trial) -> int:
    """Return the number of accepted lines missing, summed over all processes."""
    n_lost = 0
    addresses = [e.agent.address for e in trial.fleet.endpoints]
    addresses += [router.addresses["peer"] for router in trial.fleet.routers]
    for address in addresses:
        stamp = FrameStamp(fleet=digest_fleet(trial.fleet.name))
        follower = Follower(stamp)
        await fetch_rules(follower, address, Traffic())
        installed = set(follower.rules.text.split("\n"))
        n_lost += sum(line not in installed for line in trial.lines.values())
    return n_lost


def make_large_file() -> str:
    """Build a rules file of 3,000 teams with tokens and typical comments."""
    lines = ["service consiglio load-multiple=1.5 deadline=60s  # maria: quotes"]
    for number in range(N_TEAMS):
        token = sha256(str(number).encode()).hexdigest()
        lines.append(
            f"team team-{number:04d} weight={1 + number % 5} max-running={number % 50} "
            f"token-sha256={token}  # op{number % 7}: asked for by the community"
        )
    return "\n".join(lines) + "\n"


def measure_parser() -> dict[str, float]:
    """Measure time and memory to parse and check a file of 3,000 teams."""
    text = make_large_file()
    start_s = time.process_time()
    rules = parse_rules(text, 1)
    full_s = time.process_time() - start_s
    changed = text.replace("team-1500 weight=1", "team-1500 weight=9")
    start_s = time.process_time()
    parse_rules(changed, 2, rules)
    changed_s = time.process_time() - start_s
    del rules
    tracemalloc.start()
    rules = parse_rules(text, 1)
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "parse_3000_teams_ms": full_s * 1_000,
        "parse_changed_ms": changed_s * 1_000,
        "rules_3000_teams_mb": (n_bytes + len(rules.text)) / 1e6,
        "rules_3000_teams_kb": len(text) / 1e3,
    }
