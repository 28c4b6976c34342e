"""Recovery of attempts whose connection was lost: resume, void, join or fail."""

import asyncio
import logging
from dataclasses import dataclass

from prometheus_client import Counter

from pulley_base import (
    Clock,
    ConnectionLost,
    Outcome,
    Reason,
    Sentinel,
    TimedOut,
    log_event,
    time_limit,
    to_seconds,
)
from pulley_fleet.claims import execute_steps
from pulley_fleet.windows import Window, read_window
from pulley_http import RequestRefused
from pulley_policy.answers import Assembly
from pulley_policy.claims import (
    ClaimedAttempt,
    Ruling,
    Subject,
    Verdict,
    is_expired,
    void_steps,
)
from pulley_policy.recoveries import Recovery, recover_from_loss, recover_from_void
from pulley_wire import Frame
from pulley_wire.messages import Data, Failed, Head, Refused, Resume

from .models import Call
from .peers import Peers, get_connection, move_stream
from .streams import (
    INITIAL_CREDIT_BYTES,
    AttemptStream,
    Lost,
    next_event,
    peek_event,
)

RESUME_RETRY_INTERVAL_MS = 250
WINDOW_RETRY_INTERVAL_MS = 100

logger = logging.getLogger(__name__)

RECOVERIES = Counter(
    "plantainpulley_recoveries", "Lost attempts, by what became of them", ["result"]
)

AttemptResult = Head | Refused | Failed | Lost


@dataclass(slots=True)
class RecoveryContext:
    """What the recovery of an attempt needs."""

    peers: Peers
    window: Window
    clock: Clock


async def ensure_window(recovery_context: RecoveryContext, call: Call) -> None:
    """Wait until the claim window is known, and check that the key is still valid.

    Raises RequestRefused with ``store-down`` at the deadline, and with ``key-expired``,
    outcome unknown, for a key from a window that has expired. A key whose window the
    caller does not name belongs to the current one, even if an earlier attempt of this
    call was refused because its window had passed: that attempt has not run.
    """
    window = recovery_context.window
    while window.number == 0:
        await read_window(window)
        if window.number == 0 and not remaining_ms(recovery_context, call):
            raise RequestRefused(
                503,
                Reason.STORE_DOWN,
                "the claim window is not known",
                retry_after_ms=1_000,
                step="claim",
            )
        await asyncio.sleep(to_seconds(WINDOW_RETRY_INTERVAL_MS))
    key_window = call.key_window or window.number
    if call.key is not None and is_expired(key_window, window.number):
        raise RequestRefused(
            409,
            Reason.KEY_EXPIRED,
            f"the key is of window {key_window}, now is {window.number}",
            outcome=Outcome.UNKNOWN,
            step="claim",
        )
    call.window = window.number


def remaining_ms(recovery_context: RecoveryContext, call: Call) -> int:
    """Return the milliseconds until the call's deadline, 0 if it has passed."""
    return max(0, call.deadline_ms - recovery_context.clock.now_ms())


async def resolve_result(
    recovery_context: RecoveryContext,
    call: Call,
    stream: AttemptStream,
    result: AttemptResult,
) -> AttemptResult:
    """Resolve a lost attempt, or one whose key is claimed, to its actual result."""
    if isinstance(result, Lost):
        result = await recover_attempt(recovery_context, call, stream)
    if isinstance(result, Refused) and result.holder:
        claimed = ClaimedAttempt(result.holder, result.redirect or "")
        return await join_attempt(recovery_context, call, stream, claimed)
    if isinstance(result, Refused) and result.reason == Reason.WINDOW_PASSED:
        await read_window(recovery_context.window)
    return result


async def hold_head_until_body(
    recovery_context: RecoveryContext,
    call: Call,
    stream: AttemptStream,
    result: AttemptResult,
) -> AttemptResult:
    """Resolve an attempt, withholding its head until the body has begun.

    As long as the caller has received nothing, idempotent work that fails can be
    retried on another endpoint.
    """
    result = await resolve_result(recovery_context, call, stream, result)
    while isinstance(result, Head) and call.idempotent:
        following = await peek_event(stream)
        if isinstance(following, Failed):
            following.outcome = str(Outcome.UNKNOWN)
            return following
        if not isinstance(following, Lost):
            return result
        result = await resolve_result(recovery_context, call, stream, following)
    return result


async def recover_attempt(
    recovery_context: RecoveryContext, call: Call, stream: AttemptStream
) -> AttemptResult:
    """Request the attempt's answer on a new connection; void the attempt if that fails.

    An attempt with a streamed body can't be resumed.
    """
    has_streamed_body = call.body_rest is not None
    result = (
        Lost("cut off")
        if has_streamed_body
        else await resume_attempt(recovery_context, stream)
    )
    if is_recovered(result):
        RECOVERIES.labels("resumed").inc()
        return result
    if recover_from_loss(call.idempotent) is Recovery.RETRY:
        RECOVERIES.labels("retry").inc()
        return result
    ruling = await void_attempt(recovery_context, call, stream)
    return await apply_ruling(recovery_context, call, stream, ruling)


def is_recovered(result: AttemptResult) -> bool:
    """Check whether the agent still had the attempt."""
    if isinstance(result, Lost):
        return False
    return not (isinstance(result, Failed) and result.reason == Reason.UNKNOWN_ATTEMPT)


async def resume_attempt(
    recovery_context: RecoveryContext, stream: AttemptStream
) -> AttemptResult:
    """Request the rest of an attempt's answer on a new connection."""
    peer = stream.connection.peer
    try:
        connection = await get_connection(recovery_context.peers, peer)
    except (ConnectionLost, TimedOut) as error:
        return Lost(str(error))
    return await request_resume(recovery_context.peers, stream, connection)


async def request_resume(
    peers: Peers, stream: AttemptStream, connection
) -> AttemptResult:
    """Move a stream to a connection, request its answer, and await the head."""
    move_stream(peers, stream, connection)
    asked = Resume(
        request=stream.request,
        attempt=stream.attempt,
        nonce=stream.nonce,
        offset=stream.assembly.offset,
        credit=INITIAL_CREDIT_BYTES,
    )
    stream.unacknowledged_bytes = 0
    if not connection.send(Frame(resume=asked)):
        return Lost("closed")
    event = await next_event(stream)
    while isinstance(event, Data):
        event = await next_event(stream)
    return event


async def void_attempt(
    recovery_context: RecoveryContext, call: Call, stream: AttemptStream
) -> Ruling | Sentinel:
    """Void an attempt in the store, so that it can never run."""
    subject = Subject(
        call.service,
        call.key or stream.nonce,
        stream.nonce,
        call.window,
        body_digest=call.body_digest or b"",
    )
    return await execute_steps(
        recovery_context.window.store,
        recovery_context.clock,
        subject,
        void_steps(subject),
        call.deadline_ms,
    )


async def apply_ruling(
    recovery_context: RecoveryContext,
    call: Call,
    stream: AttemptStream,
    ruling: Ruling | Sentinel,
) -> AttemptResult:
    """Take the recovery step that the ruling on a void allows."""
    if isinstance(ruling, Sentinel):
        ruling = Ruling(Verdict.UNKNOWN)
    recovery = recover_from_void(ruling, call.key is not None)
    RECOVERIES.labels(str(recovery)).inc()
    log_event(logger, "attempt_lost", service=call.service, recovery=recovery)
    if recovery is Recovery.RETRY:
        return make_refused(stream, Reason.KEY_VOIDED)
    if recovery is Recovery.SAY_NOT_RUN:
        return make_refused(stream, Reason.CONNECTION_LOST, 503)
    if recovery is Recovery.SAY_KEY_REUSED:
        return make_refused(stream, Reason.KEY_REUSED, 422)
    if recovery is Recovery.JOIN:
        return await join_attempt(recovery_context, call, stream, ruling.claimed)
    if recovery is Recovery.RESUME and call.body_rest is None:
        return await resume_until_deadline(recovery_context, call, stream)
    lost = recovery is Recovery.RESUME
    return make_unknown(stream, Reason.CONNECTION_LOST if lost else Reason.STORE_DOWN)


def make_refused(stream: AttemptStream, reason: Reason, status: int | None = None):
    """Build the refusal of an attempt that has not run.

    With a ``status`` the refusal is final.
    """
    return Refused(
        request=stream.request,
        attempt=stream.attempt,
        reason=str(reason),
        step="void",
        status=status,
        detail="the attempt was voided and never ran",
    )


def make_unknown(stream: AttemptStream, reason: Reason) -> Failed:
    """Build the failure of an attempt that may have run."""
    return Failed(
        request=stream.request,
        attempt=stream.attempt,
        outcome=str(Outcome.UNKNOWN),
        reason=str(reason),
        step="void",
        detail="it is not known whether the request ran",
    )


async def resume_until_deadline(
    recovery_context: RecoveryContext, call: Call, stream: AttemptStream
) -> AttemptResult:
    """Retry to resume a claimed attempt, whose agent may only be paused."""
    while remaining_ms(recovery_context, call):
        result = await resume_attempt(recovery_context, stream)
        if is_recovered(result):
            RECOVERIES.labels("resumed").inc()
            return result
        if isinstance(result, Failed):
            break
        await asyncio.sleep(to_seconds(RESUME_RETRY_INTERVAL_MS))
    return make_unknown(stream, Reason.CONNECTION_LOST)


async def join_attempt(
    recovery_context: RecoveryContext,
    call: Call,
    stream: AttemptStream,
    claimed: ClaimedAttempt,
) -> AttemptResult:
    """Wait for the answer of the attempt that holds the key."""
    call.n_attempts += 1
    stream.attempt = call.n_attempts
    stream.nonce = claimed.nonce
    stream.assembly = Assembly(stream.attempt)
    try:
        async with time_limit(remaining_ms(recovery_context, call)):
            connection = await get_connection(recovery_context.peers, claimed.agent)
            result = await request_resume(recovery_context.peers, stream, connection)
    except (ConnectionLost, TimedOut, TimeoutError, ValueError):
        return make_unknown(stream, Reason.KEY_IN_FLIGHT)
    if isinstance(result, Lost) or not is_recovered(result):
        return make_unknown(stream, Reason.KEY_SPENT)
    RECOVERIES.labels("joined").inc()
    return result
