"""Decide what a router does when an attempt ends without an answer."""

from enum import StrEnum

from .claims import Ruling, Verdict


class Recovery(StrEnum):
    """The next step for a request whose attempt ended without an answer."""

    RETRY = "retry"
    SAY_NOT_RUN = "say-not-run"
    SAY_KEY_REUSED = "say-key-reused"
    SAY_UNKNOWN = "say-unknown"
    RESUME = "resume"
    JOIN = "join"


def recover_from_loss(idempotent: bool) -> Recovery | None:
    """Return the next step for an attempt that the router lost contact with.

    None means that the attempt must be voided first; ``recover_from_void`` then decides
    by the ruling.
    """
    return Recovery.RETRY if idempotent else None


def recover_from_void(ruling: Ruling, has_key: bool) -> Recovery:
    """Return the next step after a void, by its ruling.

    A voided attempt can never run, so a request with a key may be retried. A request
    without a key is never sent twice.
    """
    if ruling.verdict is Verdict.VOIDED:
        return Recovery.RETRY if has_key else Recovery.SAY_NOT_RUN
    if ruling.verdict is Verdict.CLAIMED:
        return Recovery.RESUME
    if ruling.verdict is Verdict.TAKEN:
        return Recovery.JOIN
    if ruling.verdict is Verdict.KEY_REUSED:
        return Recovery.SAY_KEY_REUSED
    return Recovery.SAY_UNKNOWN


def may_resume_elsewhere(idempotent: bool, resumable: bool, n_bytes: int) -> bool:
    """Check whether another engine may continue an answer that broke off.

    Only idempotent work may continue, and only if the engine can resume; an answer of
    which no byte has reached the caller can start again on any engine.
    """
    return idempotent and (resumable or n_bytes == 0)
