"""The attempts of a request: choice of the agent, and retries after a refusal."""

import asyncio
import logging
import secrets
from dataclasses import dataclass

from pulley_base import (
    Clock,
    ConnectionLost,
    Outcome,
    Reason,
    TimedOut,
    log_event,
    to_seconds,
)
from pulley_fleet.counters import RETRIES, RETRIES_DENIED
from pulley_fleet.members import start_backoff
from pulley_http import RequestRefused, Response
from pulley_policy.answers import Assembly
from pulley_policy.retries import Failure, RetryBudget, draw_backoff_ms, may_retry
from pulley_policy.routes import (
    follow_redirect,
    return_to_sender,
    start_over,
    take_target,
)
from pulley_wire import Frame
from pulley_wire.messages import Body, Failed, Head, Header, Open, Refused

from .answers import build_response
from .dispatchers import Dispatcher, choose_endpoint, close_attempt
from .models import Call
from .peers import get_connection, register_stream, release_stream
from .recovery import ensure_window, hold_head_until_body, resolve_result
from .refusals import build_refusal, no_endpoint_refusal, unreachable_refusal
from .streams import INITIAL_CREDIT_BYTES, AttemptStream, Lost, cancel, first_event

NONCE_BYTES = 16
MAX_CRASH_RETRIES = 1
NOT_DELIVERED_REASONS = frozenset({Reason.KEY_VOIDED, Reason.UNKNOWN_ATTEMPT})

logger = logging.getLogger(__name__)


async def dispatch(dispatcher: Dispatcher, call: Call) -> Response:
    """Run a request and return its response, whose body is still streaming.

    Raises RequestRefused if no attempt gave a response. Its outcome is never not-run if
    an earlier attempt may have run.
    """
    try:
        return await run_attempts(dispatcher, call)
    except RequestRefused as refusal:
        if call.may_have_run and refusal.outcome == Outcome.NOT_RUN:
            refusal.outcome = Outcome.UNKNOWN
        raise


async def run_attempts(dispatcher: Dispatcher, call: Call) -> Response:
    """Make attempts until one has a response or no more are allowed."""
    request = next(dispatcher.peers.request_ids)
    budget = dispatcher.budgets.setdefault(call.service, RetryBudget())
    budget.earn()
    while True:
        if not call.idempotent:
            await ensure_window(dispatcher.recovery_context, call)
        call.n_attempts += 1
        endpoint = take_target(call.route) or choose_endpoint(dispatcher, call)
        if endpoint is None:
            raise call.refusal or no_endpoint_refusal(call)
        result = await try_endpoint(dispatcher, call, endpoint, request)
        if isinstance(result, Response):
            return result
        call.refusal = result.refusal
        if call.route.target:
            RETRIES.labels(call.service, str(Reason.REDIRECTED)).inc()
            continue
        if not result.may_retry:
            raise result.refusal
        await prepare_retry(dispatcher, call, budget, result)


@dataclass(slots=True)
class FailedAttempt:
    """An attempt that gave no response."""

    refusal: RequestRefused
    endpoint: str
    may_retry: bool


async def try_endpoint(
    dispatcher: Dispatcher, call: Call, endpoint: str, request: int
) -> Response | FailedAttempt:
    """Make one attempt on one endpoint; return its response or its failure."""
    call.route.tried.append(endpoint)
    try:
        stream = await open_attempt(dispatcher, call, endpoint, request)
    except (ConnectionLost, TimedOut) as error:
        start_backoff(dispatcher.members, endpoint)
        return_to_sender(call.route)
        return FailedAttempt(unreachable_refusal(error), endpoint, True)
    dispatcher.in_flight[endpoint] += call.work
    event = await await_outcome(dispatcher, call, stream)
    if isinstance(event, Head):
        return build_response(dispatcher, call, stream, event)
    close_attempt(dispatcher, call, stream)
    refusal = build_refusal(call, event, endpoint)
    record_failure(call, event)
    if isinstance(event, Refused):
        target = event.redirect or ""
        follow_redirect(call.route, endpoint, target, bool(event.warm))
    return FailedAttempt(refusal, endpoint, is_repeatable(call, stream, event, refusal))


def record_failure(call: Call, event: Refused | Failed | Lost) -> None:
    """Record in the call that a failed attempt may have run or crashed the engine."""
    if isinstance(event, Refused):
        return
    call.may_have_run = True
    if isinstance(event, Failed) and event.reason == Reason.ENGINE_CRASHED:
        call.n_crashes += 1


def is_repeatable(
    call: Call, stream: AttemptStream, event: Refused | Failed | Lost, refusal
) -> bool:
    """Check whether another attempt is safe and can succeed."""
    if stream.admitted.is_set() and call.body_rest is not None:
        return False
    if isinstance(event, Refused) and event.status is not None:
        return False
    if call.n_crashes > MAX_CRASH_RETRIES:
        return False
    return refusal.outcome == Outcome.NOT_RUN or call.idempotent


async def prepare_retry(
    dispatcher: Dispatcher, call: Call, budget: RetryBudget, result: FailedAttempt
) -> None:
    """Wait for the backoff before the next attempt.

    Raises the refusal if there must be no retry.
    """
    refusal = result.refusal
    call.n_retries += 1
    left_ms = call.deadline_ms - dispatcher.clock.now_ms()
    failure = Failure(
        may_have_run=refusal.outcome != Outcome.NOT_RUN,
        idempotent=call.idempotent,
        n_attempts=call.n_retries,
        left_ms=left_ms,
    )
    if not may_retry(failure):
        raise refusal
    if refusal.reason not in NOT_DELIVERED_REASONS and not budget.spend():
        RETRIES_DENIED.labels(call.service, str(refusal.reason)).inc()
        raise refusal
    count_retry(call, refusal.reason, result.endpoint)
    if refusal.reason in NOT_DELIVERED_REASONS and result.endpoint in call.route.tried:
        call.route.tried.remove(result.endpoint)
    start_over(call.route)
    backoff_ms = draw_backoff_ms(call.n_retries - 1, dispatcher.random.random)
    await asyncio.sleep(to_seconds(min(backoff_ms, left_ms)))


def count_retry(call: Call, reason: str, endpoint: str) -> None:
    """Count and log a retry that is about to start."""
    RETRIES.labels(call.service, str(reason)).inc()
    log_event(
        logger, "attempt_failed", service=call.service, reason=reason, peer=endpoint
    )


async def open_attempt(
    dispatcher: Dispatcher, call: Call, endpoint: str, request: int
) -> AttemptStream:
    """Send the request to an agent.

    Raises ConnectionLost or TimedOut if there is no connection; nothing was sent in
    that case.
    """
    peers = dispatcher.peers
    connection = await get_connection(peers, endpoint)
    stream = AttemptStream(
        request,
        call.n_attempts,
        secrets.token_bytes(NONCE_BYTES),
        connection,
        assembly=Assembly(call.n_attempts),
    )
    register_stream(peers, stream)
    message = open_message(call, stream, dispatcher.clock)
    if not connection.send(Frame(open=message)):
        release_stream(peers, stream)
        raise ConnectionLost("closed", step="connect", peer=endpoint)
    return stream


def open_message(call: Call, stream: AttemptStream, clock: Clock) -> Open:
    """Build the message that opens an attempt."""
    return Open(
        request=stream.request,
        attempt=stream.attempt,
        nonce=stream.nonce,
        service_name=call.service,
        team=call.team,
        method=call.method,
        target=call.target,
        headers=[Header(name=name, value=value) for name, value in call.headers],
        chat=call.chat,
        priority=call.priority,
        deadline_ms=max(0, call.deadline_ms - clock.now_ms()),
        idempotent=call.idempotent,
        key=call.key,
        body_digest=call.body_digest,
        work=call.work,
        credit=INITIAL_CREDIT_BYTES,
        body=call.body_start,
        body_complete=call.body_rest is None,
        hops=call.route.n_hops,
        warm=call.route.warm or None,
        window=call.window or None,
        crashes=call.n_crashes or None,
        alone=call.n_crashes > 0 or None,
    )


async def await_outcome(
    dispatcher: Dispatcher, call: Call, stream: AttemptStream
) -> Head | Refused | Failed | Lost:
    """Return the head, refusal or failure of an attempt.

    If the wait is cancelled or fails, the attempt is cancelled at the agent.
    """
    try:
        if call.body_rest is None:
            result = await first_event(stream)
            return await hold_head_until_body(
                dispatcher.recovery_context, call, stream, result
            )
        async with asyncio.TaskGroup() as group:
            body_sender = group.create_task(send_body_rest(stream, call))
            event = await first_event(stream)
            if not isinstance(event, Head):
                body_sender.cancel()
        if call.idempotent:
            return event
        return await resolve_result(dispatcher.recovery_context, call, stream, event)
    except BaseException:
        cancel(stream, Reason.CALLER_GONE)
        close_attempt(dispatcher, call, stream)
        raise


async def send_body_rest(stream: AttemptStream, call: Call) -> None:
    """Send the rest of a long body once the agent has admitted the attempt."""
    await stream.admitted.wait()
    offset = len(call.body_start)
    async for chunk in call.body_rest:
        body = Body(
            request=stream.request,
            attempt=stream.attempt,
            offset=offset,
            data=chunk,
        )
        offset += len(chunk)
        stream.connection.send(Frame(body=body))
        await stream.connection.writable.wait()
    end = Body(
        request=stream.request,
        attempt=stream.attempt,
        offset=offset,
        data=b"",
        last=True,
    )
    stream.connection.send(Frame(body=end))
