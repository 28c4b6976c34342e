"""Decide who may run a non-idempotent request, by claims with compare-and-swap.

Every attempt has a nonce and starts under a window, a number kept in the store. An
attempt can be claimed only while that window lasts, so an attempt that was
suspended through a change of window can never run. Records are stored under the
window in which they were written. They are deleted when the window after theirs
ends, in the same transaction that changes the window. No clock is used.

The functions here decide; they don't read or write the store. ``claim_steps``,
``void_steps`` and ``release_steps`` are generators: each yields a Plan, is sent
DONE, LOST, or the View returned by a failed compare, and returns its Ruling. A plan
whose reply was lost is yielded again; if the record then has the attempt's own
token, the first write took effect.
"""

import json
from collections.abc import Callable, Generator
from dataclasses import dataclass, replace
from enum import StrEnum

WINDOW_KEY = "claims/window"
MAX_VOIDED = 1_000


class Verdict(StrEnum):
    """The outcome of a claim, a void or a release, by the store's answers."""

    CREATED = "created"
    VOIDED = "voided"
    TAKEN = "taken"
    KEY_REUSED = "key-reused"
    WINDOW_PASSED = "window-passed"
    CLAIMED = "claimed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimedAttempt:
    """The attempt that holds a claim and the agent that runs it.

    ``token`` differs with each delivery of an attempt to an agent, so that an agent
    that has lost its state doesn't take an old claim for its own.
    """

    nonce: bytes
    agent: str
    body_digest: bytes = b""
    token: bytes = b""


@dataclass(frozen=True, slots=True)
class Record:
    """What the store holds for one key of one window.

    ``voided`` holds the nonces of all attempts that must never run. They are kept when
    a claim or another void overwrites the record.
    """

    claimed: ClaimedAttempt | None = None
    voided: tuple[bytes, ...] = ()


@dataclass(frozen=True, slots=True)
class Stored:
    """A record as read, with its revision; 0 if there is no record."""

    record: Record = Record()
    revision: int = 0


@dataclass(frozen=True, slots=True)
class View:
    """The keys of one claim as the store returned them in one transaction.

    ``current`` is stored under the attempt's window, ``earlier`` under the window
    before it. ``window`` is 0 if the store holds none.
    """

    window: int
    current: Stored = Stored()
    earlier: Stored = Stored()


@dataclass(frozen=True, slots=True)
class Subject:
    """The attempt that a claim or a void is about."""

    service: str
    key: bytes
    nonce: bytes
    window: int
    agent: str = ""
    body_digest: bytes = b""
    token: bytes = b""


@dataclass(frozen=True, slots=True)
class Plan:
    """One transaction: write ``record`` if nothing has changed.

    The window must equal ``window`` and the two records must have these revisions.
    """

    window: int
    current_revision: int
    earlier_revision: int
    record: Record


@dataclass(frozen=True, slots=True)
class Ruling:
    """A verdict, with the attempt that holds the claim if there is one."""

    verdict: Verdict
    claimed: ClaimedAttempt | None = None


class Reply(StrEnum):
    """The outcome of a committed plan whose compares did not fail."""

    DONE = "done"
    LOST = "lost"


Steps = Generator[Plan, Reply | View, Ruling]


def claim_steps(subject: Subject) -> Steps:
    """Claim an attempt; CREATED is the only verdict that lets it run.

    Every verdict except CREATED and CLAIMED means that this delivery has not run the
    attempt and, once it stops trying, never will.
    """
    return commit_steps(subject, plan_claim, judge_claim, Verdict.CREATED)


def void_steps(subject: Subject) -> Steps:
    """Void an attempt that its router has lost contact with."""
    return commit_steps(subject, plan_void, judge_void, Verdict.VOIDED)


def release_steps(subject: Subject) -> Steps:
    """Void the agent's own attempt that may be claimed but never went to the engine."""
    return commit_steps(subject, plan_void, judge_release, Verdict.VOIDED)


def commit_steps(
    subject: Subject,
    plan: Callable[[Subject, View | None], Plan],
    judge: Callable[[Subject, View], Ruling | None],
    verdict: Verdict,
) -> Steps:
    """Repeat a write until it is done, which gives ``verdict``, or a view decides.

    A lost reply repeats the same plan; a view leads to a ruling or to a new plan.
    """
    view = None
    while True:
        reply = yield plan(subject, view)
        if reply is Reply.DONE:
            return Ruling(verdict)
        if isinstance(reply, View):
            view = reply
            ruling = judge(subject, view)
            if ruling is not None:
                return ruling


def record_key(window: int, service: str, key: bytes) -> str:
    """Return the store's key for the record of a claim."""
    return f"{window_prefix(window)}{service}/{key.hex()}"


def window_prefix(window: int) -> str:
    """Return the prefix of the store's keys for all records of a window."""
    return f"claims/{window}/"


def plan_first(subject: Subject, record: Record) -> Plan:
    """Plan the first write, which expects that neither record exists."""
    return Plan(subject.window, 0, 0, record)


def build_claim_record(subject: Subject, voided: tuple[bytes, ...] = ()) -> Record:
    """Build the record that claims an attempt."""
    claimed = ClaimedAttempt(
        subject.nonce, subject.agent, subject.body_digest, subject.token
    )
    return Record(claimed, voided)


def plan_claim(subject: Subject, view: View | None = None) -> Plan:
    """Plan the write that claims an attempt, given the last view."""
    if view is None:
        return plan_first(subject, build_claim_record(subject))
    return Plan(
        subject.window,
        view.current.revision,
        view.earlier.revision,
        build_claim_record(subject, view.current.record.voided),
    )


def plan_void(subject: Subject, view: View | None = None) -> Plan:
    """Plan the write that voids an attempt, given the last view."""
    if view is None:
        return plan_first(subject, Record(None, (subject.nonce,)))
    record = view.current.record
    claimed = None if is_own_claim(record, subject) else record.claimed
    return Plan(
        subject.window,
        view.current.revision,
        view.earlier.revision,
        replace(record, claimed=claimed, voided=(*record.voided, subject.nonce)),
    )


def is_claimed_by(record: Record, nonce: bytes) -> bool:
    """Check whether a record claims the attempt with this nonce."""
    return record.claimed is not None and record.claimed.nonce == nonce


def is_own_claim(record: Record, subject: Subject) -> bool:
    """Check whether a record was written by this same delivery of the attempt."""
    claimed = is_claimed_by(record, subject.nonce)
    return claimed and bool(subject.token) and record.claimed.token == subject.token


def judge_claim(subject: Subject, view: View) -> Ruling | None:
    """Return the ruling on a claim by what the store holds; None means write again.

    The delivery's own token in the record means that an earlier write took effect
    although its reply was lost. CLAIMED means that another delivery of the same attempt
    may have run it.
    """
    if is_own_claim(view.current.record, subject):
        return Ruling(Verdict.CREATED, view.current.record.claimed)
    if is_claimed_by(view.current.record, subject.nonce):
        return Ruling(Verdict.CLAIMED, view.current.record.claimed)
    holder = view.current.record.claimed or view.earlier.record.claimed
    if holder is not None:
        return judge_other_claim(subject, holder)
    if subject.nonce in view.current.record.voided:
        return Ruling(Verdict.VOIDED)
    if view.window != subject.window:
        return Ruling(Verdict.WINDOW_PASSED)
    return None


def judge_other_claim(subject: Subject, holder: ClaimedAttempt) -> Ruling:
    """Return the ruling on an attempt whose key another attempt has claimed."""
    if holder.body_digest != subject.body_digest:
        return Ruling(Verdict.KEY_REUSED, holder)
    return Ruling(Verdict.TAKEN, holder)


def judge_void(subject: Subject, view: View) -> Ruling | None:
    """Return the ruling on a void by what the store holds; None means write again.

    VOIDED, TAKEN and KEY_REUSED mean that the attempt has not run and never will; TAKEN
    and KEY_REUSED also mean that another attempt of the same key holds the claim.
    """
    record = view.current.record
    if is_claimed_by(record, subject.nonce):
        return Ruling(Verdict.CLAIMED, record.claimed)
    if view.window not in (subject.window, subject.window + 1):
        return Ruling(Verdict.UNKNOWN)
    holder = record.claimed or view.earlier.record.claimed
    if holder is not None:
        return judge_other_claim(subject, holder)
    if subject.nonce in record.voided or view.window > subject.window:
        return Ruling(Verdict.VOIDED)
    if len(record.voided) >= MAX_VOIDED:
        return Ruling(Verdict.UNKNOWN)
    return None


def judge_release(subject: Subject, view: View) -> Ruling | None:
    """Return the ruling on a release by what the store holds; None: write again."""
    if view.window != subject.window:
        return Ruling(Verdict.WINDOW_PASSED)
    if is_own_claim(view.current.record, subject):
        return None
    return judge_void(subject, view)


def is_expired(key_window: int, window: int) -> bool:
    """Check whether the records of a key from ``key_window`` may have been deleted.

    ``key_window`` is the window under which the key was first sent. Records last
    through the window after theirs, so an older key may have run without a record
    left. It must be refused, never run.
    """
    return key_window < window - 1


def encode_record(record: Record) -> bytes:
    """Return the bytes that the store holds for a record."""
    document = {"voided": [nonce.hex() for nonce in record.voided]}
    if record.claimed is not None:
        document["nonce"] = record.claimed.nonce.hex()
        document["agent"] = record.claimed.agent
        document["body"] = record.claimed.body_digest.hex()
        document["token"] = record.claimed.token.hex()
    return json.dumps(document, separators=(",", ":")).encode()


def decode_record(value: bytes) -> Record:
    """Return the record in ``value``; raise ValueError if it holds none.

    >>> decode_record(encode_record(Record(None, (b"ab",))))
    Record(claimed=None, voided=(b'ab',))
    """
    document = json.loads(value)
    try:
        voided = tuple(bytes.fromhex(nonce) for nonce in document["voided"])
        if "nonce" not in document:
            return Record(None, voided)
        claimed = ClaimedAttempt(
            bytes.fromhex(document["nonce"]),
            document["agent"],
            bytes.fromhex(document["body"]),
            bytes.fromhex(document["token"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a claim record: {error!r}") from error
    return Record(claimed, voided)


def encode_window(window: int) -> bytes:
    """Return the value of the window key for a window."""
    return b"%d" % window


def decode_window(value: bytes) -> int:
    """Return the window in the value of the window key."""
    return int(value)
