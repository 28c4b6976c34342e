"""An operator's edit of the rules: merge, write to the store, and distribution."""

import asyncio
import secrets
from dataclasses import dataclass
from enum import IntEnum

from pulley_base import Sentinel, to_seconds
from pulley_fleet.followers import RULES_KEY, install_rules
from pulley_platform.stores import Conflict, KeyValue, Swapped, read_key, swap_key
from pulley_rules import digest_text
from pulley_rules.edits import (
    UNCHANGED,
    PreparedEdit,
    Refusal,
    StoredFile,
    contains_nonce,
    prepare_edit,
)
from pulley_rules.following import RulesText, install_text
from pulley_rules.headers import find_revision, split_header

from .consoles import (
    Console,
    count_in_force,
    enable_rules_requests,
    fetch_highest_rules,
)

MAX_WRITE_ATTEMPTS = 8
MAX_READ_BACK_ATTEMPTS = 20
READ_BACK_INTERVAL_MS = 250
GOSSIP_WAIT_MS = 100


class ExitCode(IntEnum):
    """The exit codes of the operators' commands."""

    DONE = 0
    INVALID = 1
    BAD_SETTING = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    NOT_EVERYWHERE = 6


@dataclass(frozen=True, slots=True)
class Accepted:
    """A write that took effect as ``revision``."""

    revision: int
    text: str


@dataclass(frozen=True, slots=True)
class Failure:
    """The reason why an edit was not accepted, or is not known to be."""

    code: ExitCode
    message: str


async def read_stored(console: Console, at_revision: int = 0) -> StoredFile | Sentinel:
    """Read the rules file from the store; it is empty if the key is absent."""
    found = await read_key(console.store, RULES_KEY, at_revision=at_revision)
    if isinstance(found, KeyValue):
        return StoredFile(found.value.decode(errors="replace"), found.mod_revision)
    return StoredFile() if found.name == "absent" else found


async def find_base(
    console: Console, text: str, fleet_rules: RulesText
) -> str | Failure:
    """Return the rules that an edited file started from, by revision and digest.

    Returns an empty text for a file without a base, and a Failure if neither the store
    nor the fleet has the base.
    """
    header = split_header(text)[0]
    if header.base == 0:
        return ""
    found = await read_stored(console, at_revision=header.base)
    candidates = (
        [found.text, fleet_rules.text]
        if isinstance(found, StoredFile)
        else [fleet_rules.text]
    )
    for candidate in candidates:
        body = split_header(candidate)[1]
        if digest_text(body).hex() == header.digest:
            return body
    return Failure(
        ExitCode.UNAVAILABLE,
        f"nothing written: neither the store nor a process gives write {header.base}, "
        "from which this file began; run rules show again and repeat the edit",
    )


async def plan_edit(
    console: Console, text: str, nonce: str
) -> tuple[StoredFile, PreparedEdit | Refusal | Sentinel] | Failure:
    """Merge an edited file into the rules that were accepted last."""
    fleet_rules = await fetch_highest_rules(console)
    current = await read_stored(console)
    if not isinstance(current, StoredFile):
        return Failure(ExitCode.UNAVAILABLE, f"nothing written: {current.reason}")
    base = await find_base(console, text, fleet_rules)
    if isinstance(base, Failure):
        return base
    edited = split_header(text)[1]
    return current, prepare_edit(base, edited, current, fleet_rules, nonce)


async def write_edit(console: Console, text: str) -> Accepted | Failure | Sentinel:
    """Merge an edited file and write it to the store.

    Returns UNCHANGED if the file changes nothing.
    """
    for _attempt in range(MAX_WRITE_ATTEMPTS):
        nonce = secrets.token_hex(4)
        plan = await plan_edit(console, text, nonce)
        if isinstance(plan, Failure):
            return plan
        current, edit = plan
        if isinstance(edit, Refusal):
            return describe_refusal(edit)
        if edit == UNCHANGED:
            return UNCHANGED
        result = await swap_key(
            console.store, RULES_KEY, edit.text.encode(), current.mod_revision
        )
        if isinstance(result, Swapped):
            install_previous_version(console, current)
            revision = find_revision(edit.text, result.mod_revision)
            return Accepted(revision, edit.text)
        if not isinstance(result, Conflict):
            return await read_back(console, edit, nonce, result)
    return Failure(
        ExitCode.UNAVAILABLE, "nothing written: every attempt met a concurrent write"
    )


def install_previous_version(console: Console, current: StoredFile) -> None:
    """Install the text that was replaced, so that a delta can be sent."""
    revision = find_revision(current.text, current.mod_revision)
    install_text(console.follower.rules_state, current.text, revision)


async def read_back(
    console: Console, edit: PreparedEdit, nonce: str, result: Sentinel
) -> Accepted | Failure:
    """Determine whether a write whose reply was lost took effect."""
    if result.name == "unavailable":
        return Failure(ExitCode.UNAVAILABLE, f"nothing written: {result.reason}")
    for _attempt in range(MAX_READ_BACK_ATTEMPTS):
        found = await read_stored(console)
        if isinstance(found, StoredFile):
            if contains_nonce(found.text, nonce):
                revision = find_revision(found.text, found.mod_revision)
                return Accepted(revision, found.text)
            if found.mod_revision == edit.expected_revision:
                break
            return Failure(
                ExitCode.UNKNOWN,
                "another write has replaced the file since; see rules history",
            )
        await asyncio.sleep(to_seconds(READ_BACK_INTERVAL_MS))
    else:
        return Failure(ExitCode.UNKNOWN, f"the store does not answer: {result.reason}")
    return Failure(
        ExitCode.UNKNOWN,
        "not written so far, but the write may still take effect; apply again",
    )


def describe_refusal(refusal: Refusal) -> Failure:
    """Describe why an edit can't be merged."""
    if refusal.conflicts:
        shown = "\n\n".join(map(str, refusal.conflicts))
        return Failure(
            ExitCode.CONFLICT, f"nothing written, conflicting changes:\n{shown}"
        )
    problems = "\n".join(map(str, refusal.error.problems))
    return Failure(ExitCode.INVALID, f"nothing written, merged file:\n{problems}")


async def put_in_force(console: Console, accepted: Accepted, wait_ms: int) -> int:
    """Distribute a revision; return how many processes have it in force.

    Waits at most ``wait_ms`` for them, after a pause for gossip.
    """
    enable_rules_requests(console)
    install_rules(console.follower, accepted.text, accepted.revision, "apply")
    await asyncio.sleep(to_seconds(min(GOSSIP_WAIT_MS, wait_ms)))
    return await count_in_force(console, accepted.revision, wait_ms)


async def find_rules(console: Console) -> RulesText | Sentinel:
    """Return the rules accepted last.

    They are read from the store, else from the process with the highest revision; the
    store's sentinel is returned if neither has any.
    """
    found = await read_stored(console)
    if isinstance(found, StoredFile) and found.mod_revision:
        return RulesText(find_revision(found.text, found.mod_revision), found.text)
    fleet_rules = await fetch_highest_rules(console)
    return fleet_rules if fleet_rules.revision else found
