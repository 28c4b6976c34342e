"""Decide which revisions of the rules a process installs, requests and sends.

The functions do no I/O; the caller sends and receives the messages.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from pulley_base import Sentinel

from .deltas import (
    Delta,
    apply_delta,
    digest_text,
    join_lines,
    make_delta,
    split_text,
)
from .errors import RulesError
from .models import Rules
from .parsers import parse_rules

MAX_VERSIONS = 32
REQUEST_INTERVAL_MS = 250
REJECTED_REQUEST_INTERVAL_MS = 10_000
NOTHING_NEWER = Sentinel(
    "nothing-newer", "the requester already has this revision or a newer one"
)
MIN_READ_INTERVAL_MS = 250
UNKNOWN_SIZE_INTERVAL_MS = 10_000


class InstallResult(StrEnum):
    """The result of installing a text or delta that arrived."""

    INSTALLED = "installed"
    NOT_HIGHER = "not-higher"
    GAP = "gap"
    MISMATCH = "mismatch"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class Version:
    """The lines of one revision."""

    revision: int
    lines: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RulesText:
    """A whole text and its revision."""

    revision: int
    text: str


@dataclass(slots=True)
class RulesState:
    """The rules in force and the last ``MAX_VERSIONS`` versions, the newest last.

    ``rejected_revision`` is the revision of the last text that was invalid, kept with
    the digest and the error of that text so that it is not parsed again.
    """

    rules: Rules = field(default_factory=Rules)
    versions: deque[Version] = field(default_factory=lambda: deque(maxlen=MAX_VERSIONS))
    rejected_revision: int = 0
    rejected_digest: bytes = b""
    rejection_error: RulesError | None = None
    next_request_ms: int = 0


def install_text(rules_state: RulesState, text: str, revision: int) -> InstallResult:
    """Put a text in force if its revision is higher and it is valid."""
    if revision <= rules_state.rules.revision:
        return InstallResult.NOT_HIGHER
    if is_rejected(rules_state, text, revision):
        return InstallResult.REJECTED
    try:
        rules = parse_rules(text, revision, rules_state.rules)
    except RulesError as error:
        rules_state.rejected_revision = revision
        rules_state.rejected_digest = digest_text(text)
        rules_state.rejection_error = error
        return InstallResult.REJECTED
    add_version(rules_state, text, revision)
    rules_state.rules = rules
    return InstallResult.INSTALLED


def is_rejected(rules_state: RulesState, text: str, revision: int) -> bool:
    """Check whether a text is the one that was rejected last.

    The revision alone is not enough: a store that was set up anew may give the
    number of a damaged file to a valid one.
    """
    if revision != rules_state.rejected_revision:
        return False
    return digest_text(text) == rules_state.rejected_digest


def add_version(rules_state: RulesState, text: str, revision: int) -> None:
    """Record a version; it shares the strings of unchanged lines with the last one."""
    lines = split_text(text)
    if rules_state.versions:
        known_lines = {line: line for line in rules_state.versions[-1].lines}
        lines = tuple(known_lines.get(line, line) for line in lines)
    rules_state.versions.append(Version(revision, lines))


def install_delta(rules_state: RulesState, delta: Delta) -> InstallResult:
    """Apply a delta to the rules in force and install the result.

    Returns GAP if this process does not hold the delta's base and MISMATCH if the
    result is not the intended text; in both cases the caller asks a peer.
    """
    current = rules_state.rules.revision
    if delta.revision <= current:
        return InstallResult.NOT_HIGHER
    if delta.base != current or not rules_state.versions:
        return InstallResult.GAP
    lines = apply_delta(rules_state.versions[-1].lines, delta)
    if not lines:
        return InstallResult.MISMATCH
    return install_text(rules_state, join_lines(lines), delta.revision)


def make_latest_delta(rules_state: RulesState) -> Delta | Sentinel:
    """Return the delta from the previous revision to the one in force.

    Returns NOTHING_NEWER if fewer than two versions are held.
    """
    if len(rules_state.versions) < 2:
        return NOTHING_NEWER
    before, after = rules_state.versions[-2], rules_state.versions[-1]
    return make_delta(before.revision, before.lines, after.revision, after.lines)


def answer_request(rules_state: RulesState, have: int) -> Delta | RulesText | Sentinel:
    """Return what brings a process at revision ``have`` to the revision in force.

    This is a delta if that version is still held, else a copy of the whole text,
    and NOTHING_NEWER if the process already has this revision or a newer one.
    """
    rules = rules_state.rules
    if have >= rules.revision:
        return NOTHING_NEWER
    after = rules_state.versions[-1]
    for version in rules_state.versions:
        if version.revision == have:
            return make_delta(have, version.lines, after.revision, after.lines)
    return RulesText(rules.revision, rules.text)


def should_request(rules_state: RulesState, revision: int, now_ms: int) -> bool:
    """Check whether to ask a peer that holds ``revision``; True starts a pause.

    During the pause no further request is made, so that a burst of frames does not
    cause a burst of requests. It is short enough to retry soon after a lost answer,
    and longer for a revision that this process has rejected.
    """
    if revision <= rules_state.rules.revision or now_ms < rules_state.next_request_ms:
        return False
    was_rejected = revision == rules_state.rejected_revision
    pause_ms = REJECTED_REQUEST_INTERVAL_MS if was_rejected else REQUEST_INTERVAL_MS
    rules_state.next_request_ms = now_ms + pause_ms
    return True


def choose_peers(peers: Sequence[str], n_wanted: int, random: Random) -> list[str]:
    """Return up to ``n_wanted`` different peers, chosen at random."""
    return random.sample(peers, min(n_wanted, len(peers)))


def read_interval_ms(n_processes: int, reads_per_s: float, draw: float) -> int:
    """Return the time in ms from a process's last read of the store to its next.

    All ``n_processes`` together make about ``reads_per_s`` reads. A process that
    does not know their number (0) reads rarely. ``draw``, a random number from 0 to
    1, varies the interval by up to half of its mean in either direction.
    """
    if n_processes <= 0:
        mean_ms = float(UNKNOWN_SIZE_INTERVAL_MS)
    else:
        mean_ms = max(MIN_READ_INTERVAL_MS, 1_000 * n_processes / reads_per_s)
    return round(mean_ms * (0.5 + draw))
