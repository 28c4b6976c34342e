"""The operators' commands: rules check, show, apply and history, and status."""

import asyncio
import json
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from difflib import unified_diff
from pathlib import Path

from pydantic import Field

from pulley_base import configure_logs
from pulley_base.settings import Settings, settings_command
from pulley_fleet.followers import RULES_KEY
from pulley_platform.stores import KeyValue, read_key
from pulley_rules import RulesError, format_text, parse_rules
from pulley_rules.edits import UNCHANGED, PreparedEdit, Refusal
from pulley_rules.following import RulesText
from pulley_rules.headers import (
    find_mod_revision,
    find_revision,
    join_edit_header,
    split_header,
)

from .consoles import (
    Console,
    ConsoleSettings,
    count_in_force,
    open_console,
    read_statuses,
)
from .edits import (
    ExitCode,
    Failure,
    describe_refusal,
    find_rules,
    plan_edit,
    put_in_force,
    write_edit,
)
from .overviews import describe_fleet, format_fleet

MAX_SHOWN_CHANGES = 200


class CheckSettings(Settings):
    """Settings of rules check."""

    file: Path = Field(description="the rules file")
    format: bool = Field(False, description="print the file in its canonical spacing")


class ApplySettings(ConsoleSettings):
    """Settings of rules apply."""

    file: Path = Field(description="the rules file, edited from rules show")
    dry_run: bool = Field(False, description="show what would change and write nothing")
    wait_ms: int = Field(
        10_000,
        ge=0,
        le=600_000,
        description="milliseconds to wait until it is in force everywhere, 0-600000",
    )


class HistorySettings(ConsoleSettings):
    """Settings of rules history."""

    count: int = Field(
        10, ge=1, le=MAX_SHOWN_CHANGES, description="changes to show, 1-200"
    )


class StatusSettings(ConsoleSettings):
    """Settings of status."""

    json_output: bool = Field(False, description="print one JSON document")


def print_error(message: str, code: ExitCode) -> ExitCode:
    """Print an error to standard error and return the exit code."""
    print(message, file=sys.stderr)
    return code


def read_valid_rules(path: Path) -> str | None:
    """Read a rules file; print its errors and return None if it is invalid."""
    try:
        text = path.read_text()
        parse_rules(text)
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return None
    except RulesError as error:
        for problem in error.problems:
            print(f"{path}: {problem}", file=sys.stderr)
        return None
    return text


def check(settings: CheckSettings) -> int:
    """Check a rules file without applying it."""
    text = read_valid_rules(settings.file)
    if text is None:
        return ExitCode.INVALID
    valid = f"{settings.file}: valid\n"
    print(format_text(text) if settings.format else valid, end="")
    return ExitCode.DONE


async def show(console: Console, settings: ConsoleSettings) -> int:
    """Print the rules accepted last, in the form that rules apply takes."""
    found = await find_rules(console)
    if not isinstance(found, RulesText):
        return print_error(f"no rules: {found.reason}", ExitCode.UNAVAILABLE)
    base = find_mod_revision(found.text, found.revision)
    print(join_edit_header(base, split_header(found.text)[1]), end="")
    return ExitCode.DONE


async def apply(console: Console, settings: ApplySettings) -> int:
    """Merge an edited file into the rules and put them in force."""
    text = read_valid_rules(settings.file)
    if text is None:
        return ExitCode.INVALID
    if settings.dry_run:
        return await try_edit(console, text)
    result = await write_edit(console, text)
    if isinstance(result, Failure):
        return print_error(result.message, result.code)
    if result == UNCHANGED:
        print("unchanged: the rules already contain this edit")
        return ExitCode.DONE
    n_processes = len(console.peers)
    n_in_force = await put_in_force(console, result, settings.wait_ms)
    print(f"revision {result.revision}: in force at {n_in_force} of {n_processes}")
    return ExitCode.DONE if n_in_force == n_processes else ExitCode.NOT_EVERYWHERE


async def try_edit(console: Console, text: str) -> int:
    """Print what an edit would change, without writing it."""
    plan = await plan_edit(console, text, "dry-run")
    if isinstance(plan, Failure):
        return print_error(plan.message, plan.code)
    current, edit = plan
    if isinstance(edit, Refusal):
        failure = describe_refusal(edit)
        return print_error(failure.message, failure.code)
    if not isinstance(edit, PreparedEdit):
        print("unchanged: the rules already contain this edit")
        return ExitCode.DONE
    before, after = (split_header(text)[1] for text in (current.text, edit.text))
    print("\n".join(diff_lines(before, after, "in the store", "as applied")))
    return ExitCode.DONE


def diff_lines(before: str, after: str, old: str, new: str) -> list[str]:
    """Return a unified diff of two texts without context lines."""
    lines = (before.splitlines(), after.splitlines())
    return list(unified_diff(*lines, old, new, n=0, lineterm=""))


async def history(console: Console, settings: HistorySettings) -> int:
    """Print the latest changes, newest first."""
    n_shown = 0
    newer = None
    async for stored in read_changes(console, settings.count + 1):
        if newer is not None:
            print_change(stored, newer)
        newer = stored
        n_shown += 1
    if n_shown == 0:
        return print_error(
            "the store has no rules or does not answer", ExitCode.UNAVAILABLE
        )
    if n_shown <= settings.count:
        print_change(None, newer)
    return ExitCode.DONE


async def read_changes(console: Console, n_wanted: int) -> AsyncIterator[KeyValue]:
    """Yield the latest versions that the store still has, newest first."""
    at_revision = 0
    for _version in range(n_wanted):
        found = await read_key(console.store, RULES_KEY, at_revision=at_revision)
        if not isinstance(found, KeyValue):
            return
        yield found
        at_revision = found.mod_revision - 1
        if at_revision <= 0:
            return


def print_change(older: KeyValue | None, newer: KeyValue) -> None:
    """Print a change: its revision and its lines, which name who asked for it."""
    text = newer.value.decode(errors="replace")
    before = older.value.decode(errors="replace") if older is not None else ""
    if older is None:
        print(f"revision {find_revision(text, newer.mod_revision)}: the oldest kept")
        return
    print(f"revision {find_revision(text, newer.mod_revision)}:")
    changed = diff_lines(split_header(before)[1], split_header(text)[1], "", "")
    for line in changed[2:]:
        if not line.startswith("@@"):
            print(f"  {line}")


async def status(console: Console, settings: StatusSettings) -> int:
    """Print the fleet's state."""
    found = await find_rules(console)
    revision = found.revision if isinstance(found, RulesText) else 0
    await count_in_force(console, max(1, revision), 0)
    fleet = describe_fleet(console, await read_statuses(console), revision)
    print(json.dumps(fleet) if settings.json_output else format_fleet(fleet))
    return (
        ExitCode.DONE
        if fleet["n_in_force"] == fleet["n_processes"]
        else (ExitCode.NOT_EVERYWHERE)
    )


def console_command(
    model: type[ConsoleSettings],
    run: Callable[[Console, ConsoleSettings], Awaitable[int]],
    positional: str = "",
) -> Callable[..., int]:
    """Build the command-line command that runs ``run`` with an open console."""

    async def run_on_console(settings: ConsoleSettings) -> int:
        configure_logs("error")
        async with open_console(settings) as console:
            return await run(console, settings)

    summary = run.__doc__.splitlines()[0]
    return settings_command(
        model, lambda s: asyncio.run(run_on_console(s)), summary, positional
    )


def operator_commands() -> dict:
    """Return the operators' commands by name, for the command line."""
    rules = {
        "check": settings_command(
            CheckSettings, check, "Check a rules file without applying it.", "file"
        ),
        "show": console_command(ConsoleSettings, show),
        "apply": console_command(ApplySettings, apply, "file"),
        "history": console_command(HistorySettings, history),
    }
    return {"rules": rules, "status": console_command(StatusSettings, status)}
