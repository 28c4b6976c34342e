"""Claims and voids, committed as transactions to the key-value service."""

import asyncio
import logging

from pulley_base import ABSENT, UNKNOWN, Clock, Sentinel, to_seconds, warn_event
from pulley_platform import (
    Committed,
    Compare,
    KeyValue,
    Put,
    Rejected,
    Store,
    Target,
    commit_txn,
)
from pulley_policy.claims import (
    WINDOW_KEY,
    Plan,
    Record,
    Reply,
    Ruling,
    Steps,
    Stored,
    Subject,
    View,
    decode_record,
    decode_window,
    encode_record,
    encode_window,
    record_key,
)

INITIAL_BACKOFF_MS = 20
MAX_BACKOFF_MS = 500

logger = logging.getLogger(__name__)


async def execute_steps(
    store: Store, clock: Clock, subject: Subject, steps: Steps, deadline_ms: int
) -> Ruling | Sentinel:
    """Execute the steps of a claim, a void or a release until there is a ruling.

    Commits that get no usable reply are retried with exponential backoff. Returns
    UNKNOWN at the deadline: a write may have taken effect by then, or may still take
    effect later.
    """
    reply = None
    backoff_ms = INITIAL_BACKOFF_MS
    while True:
        try:
            plan = steps.send(reply)
        except StopIteration as stop:
            return stop.value
        reply = await commit_plan(store, subject, plan)
        if reply is Reply.LOST:
            left_ms = deadline_ms - clock.now_ms()
            if left_ms <= 0:
                steps.close()
                return UNKNOWN.because("the store gave no answer within the deadline")
            await asyncio.sleep(to_seconds(min(backoff_ms, left_ms)))
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)


async def commit_plan(store: Store, subject: Subject, plan: Plan) -> Reply | View:
    """Commit one plan; return LOST without a usable reply, else DONE or the view."""
    current_key = record_key(plan.window, subject.service, subject.key)
    earlier_key = record_key(plan.window - 1, subject.service, subject.key)
    result = await commit_txn(
        store,
        [
            Compare(WINDOW_KEY, Target.VALUE, encode_window(plan.window)),
            Compare(current_key, Target.MOD, plan.current_revision),
            Compare(earlier_key, Target.MOD, plan.earlier_revision),
        ],
        [Put(current_key, encode_record(plan.record))],
        [WINDOW_KEY, current_key, earlier_key],
    )
    if isinstance(result, Committed):
        return Reply.DONE
    if not isinstance(result, Rejected):
        return Reply.LOST
    try:
        return read_view(*result.current)
    except ValueError as error:
        warn_event(logger, "claim_unread", key=current_key, error=str(error))
        return Reply.LOST


def read_view(
    window: KeyValue | Sentinel,
    current: KeyValue | Sentinel,
    earlier: KeyValue | Sentinel,
) -> View:
    """Decode the three keys of a claim into a view; raise ValueError if malformed."""
    number = decode_window(window.value) if isinstance(window, KeyValue) else 0
    return View(number, read_stored(current), read_stored(earlier))


def read_stored(found: KeyValue | Sentinel) -> Stored:
    """Decode one record; an absent key gives an empty record of revision 0."""
    if found == ABSENT:
        return Stored(Record(), 0)
    return Stored(decode_record(found.value), found.mod_revision)
