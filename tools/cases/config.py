"""How edits take hold: three operators, faults of the store, restarts.

One fleet grows to 5, 20 and 60 processes in one data centre. At each size the
calls to the store are counted while nobody edits, 12 s after the last start. At 20
processes operators then edit at 1.27 changes a second, first with nothing failing,
then with lost replies, outages that begin as a change is accepted, and an agent and
a router replaced.

- ``in_force_*_s``: from the store's write to the install at the last process,
  by the processes' own log lines; a process that started up to 4 s later counts
  from its start. The clock is the machine's, the same for all.
- ``accepted_lost``: accepted lines that some process lacks at the end.
- ``reversions``: installs of a lower revision than the process had before.
- ``store_calls_per_s_N``: every call that reaches the store, rules or not. The bound
  is the same at each size: what the shared reads of rules and of claim windows (two
  calls each) are set to, and a quarter for chance.
- ``bytes_per_change``: what an average process sends and receives more for each
  change, with TCP, UDP and IP headers; the operators' own questions are in it.
- ``parse_3000_teams_ms``: processor time for a file of 3,000 teams, afresh;
  ``parse_changed_ms`` the same with one line changed since the last revision;
  ``rules_3000_teams_mb`` what Python's allocator holds for it.
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

from .control import ROLES, grow, measure_idle, processes_of

LIMIT_S = 240
SIZES = ((4, 1), (16, 4), (50, 10))
EDIT_SIZE = 20
CHANGES_PER_S = 1.27
N_EDITORS = 3
COUNT_S = 12.0
SETTLE_S = 12.0
EDIT_S = 8.0
FAULT_S = 14.0
OUTAGE_S = 3.0
LONG_FACTOR = 6
MAX_IN_FORCE_S = 4.0
N_TEAMS = 3_000
MAX_STORE_CALLS_PER_S = 1.25 * (STORE_READS_PER_S + 2 * WINDOW_READS_PER_S)
INSTALL = re.compile(r"time=\"?(\S+ \S+?)\"? .*event=(\S+)(?:.* revision=(\d+))?")


@dataclass(slots=True)
class Timeline:
    """When one process started and which revisions it installed when."""

    name: str
    start_s: float
    end_s: float
    installs: list[tuple[float, int]] = field(default_factory=list)


class TimedHistory(list):
    """The store's history that also notes when the rules were written."""

    def __init__(self, items):
        super().__init__(items)
        self.written_s: dict[int, float] = {}

    def append(self, item):
        super().append(item)
        if item[1] == RULES_KEY:
            self.written_s[item[0]] = time.time()


@dataclass(slots=True)
class Trial:
    """What the operators did: the lines accepted, how often they were refused."""

    fleet: Fleet
    random: Random
    history: TimedHistory
    lines: dict[str, str] = field(default_factory=dict)
    n_accepted: int = 0
    n_refused: int = 0
    logs: dict[Path, float] = field(default_factory=dict)


async def run(seed: int, long: bool) -> CaseResult:
    """Measure every size, the edits, and the parser."""
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
            metrics[f"store_calls_per_s_{n}"] = await count_calls(fleet, factor)
            if n == EDIT_SIZE:
                metrics |= await measure_edits(trial, factor)
    metrics |= measure_parser()
    return CaseResult(metrics, choose_targets())


def choose_targets() -> dict[str, Target]:
    """Give the bounds."""
    flat = Target("<=", MAX_STORE_CALLS_PER_S)
    return {
        "in_force_max_s": Target("<", MAX_IN_FORCE_S),
        "accepted_lost": Target("==", 0),
        "reversions": Target("==", 0),
        "n_accepted": Target(">", 0),
        **{f"store_calls_per_s_{sum(size)}": flat for size in SIZES},
    }


async def count_calls(fleet: Fleet, factor: int) -> float:
    """Count the calls to the store a second."""
    before, start_s = sum(fleet.store.calls.values()), time.monotonic()
    await asyncio.sleep(COUNT_S * factor)
    elapsed_s = time.monotonic() - start_s
    return (sum(fleet.store.calls.values()) - before) / elapsed_s


async def measure_edits(trial: Trial, factor: int) -> dict[str, float]:
    """Let operators edit, without and with faults, and see what took hold."""
    note_logs(trial)
    show_progress("edits")
    idle = mean_bytes(await measure_idle(trial.fleet, EDIT_S * factor))
    editing = asyncio.create_task(edit_for(trial, EDIT_S * factor))
    busy = mean_bytes(await measure_idle(trial.fleet, EDIT_S * factor))
    await editing
    n_changes = trial.n_accepted
    show_progress("edits with faults")
    editing = asyncio.create_task(edit_for(trial, FAULT_S * factor))
    for _ in range(factor):
        await cause_faults(trial)
    await editing
    await asyncio.sleep(MAX_IN_FORCE_S)
    delays = sorted(find_delays(trial))
    return {
        "n_accepted": trial.n_accepted,
        "n_refused": trial.n_refused,
        "in_force_p50_s": delays[len(delays) // 2],
        "in_force_p99_s": delays[min(len(delays) - 1, len(delays) * 99 // 100)],
        "in_force_max_s": delays[-1],
        "accepted_lost": await count_lost(trial),
        "reversions": sum(map(count_reversions, read_timelines(trial))),
        "bytes_per_change": (busy - idle) * EDIT_S * factor / n_changes,
    }


def mean_bytes(measured) -> float:
    """Give the bytes a second of an average process."""
    counts = {"agent": measured[0].n_engines, "router": measured[0].n_routers}
    total = sum(m.figures["bytes_per_s"] * counts[m.role] for m in measured)
    return total / sum(counts.values())


def note_logs(trial: Trial) -> None:
    """Note the log of every process there is, as still running."""
    for role in ROLES:
        for process in processes_of(trial.fleet, role):
            trial.logs.setdefault(process.log, float("inf"))


async def edit_for(trial: Trial, duration_s: float) -> None:
    """Let all operators edit for a while."""
    end_s = time.monotonic() + duration_s
    await asyncio.gather(
        *(edit_until(trial, number, end_s) for number in range(N_EDITORS))
    )


async def edit_until(trial: Trial, number: int, end_s: float) -> None:
    """Let one operator add or change a line, again and again."""
    settings = ConsoleSettings(
        store=trial.fleet.store_address,
        instances=trial.fleet.list_address,
        fleet=trial.fleet.name,
    )
    mean_s = N_EDITORS / CHANGES_PER_S
    await asyncio.sleep(trial.random.uniform(0, mean_s))
    while time.monotonic() < end_s:
        next_s = time.monotonic() + mean_s
        async with open_console(settings) as console:
            await edit_once(trial, console, number)
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))


async def edit_once(trial: Trial, console: Console, number: int) -> None:
    """Make one edit, as rules show, an editor and rules apply would."""
    found = await find_rules(console)
    if not isinstance(found, RulesText):
        trial.n_refused += 1
        return
    team = f"team op{number}x{trial.random.randrange(5)}"
    line = f"{team} max-running={trial.random.randrange(10**6)}  # op{number}: bench"
    body = split_header(found.text)[1]
    others = [held for held in body.split("\n") if held.split()[:2] != team.split()]
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


async def cause_faults(trial: Trial) -> None:
    """Lose a reply, replace two processes, end with an outage."""
    fleet = trial.fleet
    await set_faults(fleet.store, {"lose_replies": 1})
    await asyncio.sleep(1.5)
    await replace_one(trial, "agent")
    await wait_for_write(trial)
    await set_faults(fleet.store, {"outage": "hang"})
    await replace_one(trial, "router")
    await asyncio.sleep(OUTAGE_S)
    await set_faults(fleet.store, {"outage": ""})


async def wait_for_write(trial: Trial) -> None:
    """Wait until the next change has been written and answered."""
    n_accepted = trial.n_accepted
    while trial.n_accepted == n_accepted:
        await asyncio.sleep(0.005)


async def replace_one(trial: Trial, role: str) -> None:
    """End a process of one role and start another in its stead."""
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
    note_logs(trial)


async def add_router(fleet: Fleet, name: str) -> None:
    """Start one router more, under a name of its own."""
    held, plan = fleet.routers, fleet.plan
    fleet.routers = []
    fleet.plan = replace(plan, name=name, router_places=(DATA_CENTRE,))
    await start_routers(fleet)
    fleet.routers = held + fleet.routers
    fleet.plan = plan
    publish_list(fleet)


def read_timelines(trial: Trial) -> Iterator[Timeline]:
    """Yield each process's installs, from its log."""
    for log, end_s in trial.logs.items():
        events = list(read_events(log))
        start_s = next(at_s for at_s, event, _ in events if event == "listening")
        installs = [(at_s, rev) for at_s, event, rev in events if is_install(event)]
        yield Timeline(log.stem, start_s, end_s, installs)


def is_install(event: str) -> bool:
    """Tell whether a log event says that a revision was installed."""
    return event == "rules_in_force"


def read_events(log: Path) -> Iterator[tuple[float, str, int]]:
    """Yield time, event and revision of each line of a log."""
    for line in log.read_text(errors="replace").splitlines():
        match = INSTALL.match(line)
        if match:
            at = datetime.strptime(match[1], "%Y-%m-%d %H:%M:%S,%f")
            yield at.timestamp(), match[2], int(match[3] or 0)


def find_delays(trial: Trial) -> Iterator[float]:
    """Yield, for each change, the time until it was in force everywhere."""
    timelines = list(read_timelines(trial))
    for revision, written_s in trial.history.written_s.items():
        yield max(
            find_delay(timeline, revision, written_s)
            for timeline in timelines
            if timeline.end_s > written_s + MAX_IN_FORCE_S > timeline.start_s
        )


def find_delay(timeline: Timeline, revision: int, written_s: float) -> float:
    """Give the time until one process had a change in force."""
    since_s = max(written_s, timeline.start_s)
    reached = (at_s for at_s, held in timeline.installs if held >= revision)
    return max(0.0, next(reached, float("inf")) - since_s)


def count_reversions(timeline: Timeline) -> int:
    """Count the installs that went back."""
    revisions = [revision for _, revision in timeline.installs]
    return sum(b <= a for a, b in zip(revisions, revisions[1:]))


async def count_lost(trial: Trial) -> int:
    """Count accepted lines that some process lacks."""
    n_lost = 0
    addresses = [e.agent.address for e in trial.fleet.endpoints]
    addresses += [router.addresses["peer"] for router in trial.fleet.routers]
    for address in addresses:
        stamp = FrameStamp(fleet=digest_fleet(trial.fleet.name))
        follower = Follower(stamp)
        await fetch_rules(follower, address, Traffic())
        held = set(follower.rules.text.split("\n"))
        n_lost += sum(line not in held for line in trial.lines.values())
    return n_lost


def make_large_file() -> str:
    """Make a file of 3,000 teams with tokens and ordinary comments."""
    lines = ["service consiglio load-multiple=1.5 deadline=60s  # maria: quotes"]
    for number in range(N_TEAMS):
        token = sha256(str(number).encode()).hexdigest()
        lines.append(
            f"team team-{number:04d} weight={1 + number % 5} max-running={number % 50} "
            f"token-sha256={token}  # op{number % 7}: asked for by the community"
        )
    return "\n".join(lines) + "\n"


def measure_parser() -> dict[str, float]:
    """Measure parsing and checking a file of 3,000 teams."""
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
