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


class Taken(StrEnum):
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
class Copy:
    """A whole text and its revision."""

    revision: int
    text: str


@dataclass(slots=True)
class Following:
    """The rules in force and the last ``MAX_VERSIONS`` versions, the newest last.

    ``rejected`` is the revision of the last text that was invalid, kept with the
    digest and the error of that text so that it is not parsed again.
    """

    rules: Rules = field(default_factory=Rules)
    versions: deque[Version] = field(default_factory=lambda: deque(maxlen=MAX_VERSIONS))
    rejected: int = 0
    rejected_digest: bytes = b""
    error: RulesError | None = None
    next_request_ms: int = 0


def install_text(following: Following, text: str, revision: int) -> Taken:
    """Put a text in force if its revision is higher and it is valid."""
    if revision <= following.rules.revision:
        return Taken.NOT_HIGHER
    if is_rejected(following, text, revision):
        return Taken.REJECTED
    try:
        rules = parse_rules(text, revision, following.rules)
    except RulesError as error:
        following.rejected = revision
        following.rejected_digest = digest_text(text)
        following.error = error
        return Taken.REJECTED
    add_version(following, text, revision)
    following.rules = rules
    return Taken.INSTALLED


def is_rejected(following: Following, text: str, revision: int) -> bool:
    """Check whether a text is the one that was rejected last.

    The revision alone is not enough: a store that was set up anew may give the
    number of a damaged file to a valid one.
    """
    if revision != following.rejected:
        return False
    return digest_text(text) == following.rejected_digest


def add_version(following: Following, text: str, revision: int) -> None:
    """Record a version; it shares the strings of unchanged lines with the last one."""
    lines = split_text(text)
    if following.versions:
        known_lines = {line: line for line in following.versions[-1].lines}
        lines = tuple(known_lines.get(line, line) for line in lines)
    following.versions.append(Version(revision, lines))


def install_delta(following: Following, delta: Delta) -> Taken:
    """Apply a delta to the rules in force and install the result.

    Returns GAP if this process does not hold the delta's base and MISMATCH if the
    result is not the intended text; in both cases the caller asks a peer.
    """
    current = following.rules.revision
    if delta.revision <= current:
        return Taken.NOT_HIGHER
    if delta.base != current or not following.versions:
        return Taken.GAP
    lines = apply_delta(following.versions[-1].lines, delta)
    if not lines:
        return Taken.MISMATCH
    return install_text(following, join_lines(lines), delta.revision)


def last_delta(following: Following) -> Delta | Sentinel:
    """Return the delta from the previous revision to the one in force.

    Returns NOTHING_NEWER if fewer than two versions are held.
    """
    if len(following.versions) < 2:
        return NOTHING_NEWER
    before, after = following.versions[-2], following.versions[-1]
    return make_delta(before.revision, before.lines, after.revision, after.lines)


def answer_ask(following: Following, have: int) -> Delta | Copy | Sentinel:
    """Return what brings a process at revision ``have`` to the revision in force.

    This is a delta if that version is still held, else a copy of the whole text,
    and NOTHING_NEWER if the process already has this revision or a newer one.
    """
    rules = following.rules
    if have >= rules.revision:
        return NOTHING_NEWER
    after = following.versions[-1]
    for version in following.versions:
        if version.revision == have:
            return make_delta(have, version.lines, after.revision, after.lines)
    return Copy(rules.revision, rules.text)


def should_ask(following: Following, revision: int, now_ms: int) -> bool:
    """Check whether to ask a peer that holds ``revision``; True starts a pause.

    During the pause no further request is made, so that a burst of frames does not
    cause a burst of requests. It is short enough to retry soon after a lost answer,
    and longer for a revision that this process has rejected.
    """
    if revision <= following.rules.revision or now_ms < following.next_request_ms:
        return False
    was_rejected = revision == following.rejected
    pause_ms = REJECTED_REQUEST_INTERVAL_MS if was_rejected else REQUEST_INTERVAL_MS
    following.next_request_ms = now_ms + pause_ms
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
