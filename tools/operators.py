"""Operators who edit the rules of a running fleet, and what became of their edits."""

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from fleets import RULES_KEY, Fleet

from pulley_fleet.followers import Follower
from pulley_fleet.rules_reads import fetch_rules
from pulley_fleet.settings import digest_fleet
from pulley_router.consoles import Console, ConsoleSettings, open_console
from pulley_router.edits import Accepted, find_rules, put_in_force, write_edit
from pulley_rules.following import RulesText
from pulley_rules.headers import find_mod_revision, join_edit_header, split_header
from pulley_wire import FrameStamp, Traffic

CHANGES_PER_S = 1.27
N_OPERATORS = 3


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


async def count_lost_lines(trial: Trial) -> int:
    """Return the number of accepted lines missing, summed over all processes."""
    n_lost = 0
    for text in await fetch_texts(trial.fleet):
        installed = set(text.split("\n"))
        n_lost += sum(line not in installed for line in trial.lines.values())
    return n_lost


async def fetch_texts(fleet: Fleet) -> list[str]:
    """Return the rules that each process has in force, as a member of the fleet.

    The text is empty for a process that gives none.
    """
    addresses = [endpoint.agent.address for endpoint in fleet.endpoints]
    addresses += [router.addresses["peer"] for router in fleet.routers]
    texts = []
    for address in addresses:
        follower = Follower(FrameStamp(fleet=digest_fleet(fleet.name)))
        await fetch_rules(follower, address, Traffic())
        texts.append(follower.rules.text)
    return texts
