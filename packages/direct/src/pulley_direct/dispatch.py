"""Bringing one request to an answer: attempts, retries and refusals."""

import logging

from pulley_base import Outcome, Reason, log_event
from pulley_http import RequestRefused, Response, end_to_end

from .attempts import (
    MISDIRECTED,
    Exchange,
    end_exchange,
    read_whole_body,
    start_exchange,
)
from .budgets import earn_retry, spend_retry
from .jobs import AttemptFailed, Job
from .loads import note_success, state_of
from .models import Kind
from .outcomes import note_loss, note_time
from .placing import Target, choose_target
from .routers import Router
from .streams import open_stream

logger = logging.getLogger(__name__)

# A full endpoint has finished several short requests after this time, and callers
# with a second to wait still come back in theirs.
RETRY_AFTER_MS = 200
FIRST_ERROR = 300
SERVER_ERROR = 500


async def dispatch(router: Router, job: Job) -> Response:
    """Send a job to endpoints until there is an answer to pass on.

    Raises RequestRefused where there is none.
    """
    earn_retry(router, job.service)
    while True:
        target = choose_target(router, job)
        if target is None:
            return give_up(router, job, Reason.NO_ENDPOINT, "no endpoint is left")
        try:
            response = await attempt(router, job, target)
        except AttemptFailed as failure:
            note_attempt_failure(router, job, failure)
            reason = refuse_retry(router, job, failure)
            if reason is not None:
                return give_up(router, job, reason, str(failure))
            continue
        if response.status < SERVER_ERROR or not retry_error(router, job, response):
            return response


async def attempt(router: Router, job: Job, target: Target) -> Response:
    """Make one attempt; raises AttemptFailed where it brings no answer."""
    endpoint = target.endpoint
    exchange = await start_exchange(router, job, target, None)
    try:
        await check_exchange(exchange, job)
        if job.route.kind is Kind.STREAM and exchange.status < FIRST_ERROR:
            response = await open_stream(router, job, exchange, resume_stream)
            note_time(router, job, endpoint)
            return response
        body = await read_whole_body(exchange, job)
    except BaseException:
        end_exchange(exchange)
        raise
    end_exchange(exchange)
    note_success(router.loads, endpoint.name)
    note_time(router, job, endpoint, failed=exchange.status >= SERVER_ERROR)
    headers = end_to_end(exchange.headers)
    return Response(exchange.status, headers, body)


async def check_exchange(exchange: Exchange, job: Job) -> None:
    """Raise AttemptFailed for an answer that is none to the request."""
    if exchange.facts.not_run or exchange.status == MISDIRECTED:
        await read_rejection(exchange, job)
    if exchange.facts.encoded:
        text = "an encoded body"
        raise AttemptFailed(Reason.ENGINE_ERROR, text, exchange.endpoint)


async def read_rejection(exchange: Exchange, job: Job) -> None:
    """Read the answer of an endpoint that did not run the request, and raise."""
    await read_whole_body(exchange, job)
    reason = Reason.ENDPOINT_BUSY
    if exchange.status == MISDIRECTED:
        reason = Reason.WRONG_ENDPOINT
    raise AttemptFailed(
        reason, f"status {exchange.status}", exchange.endpoint, may_have_run=False
    )


async def resume_stream(
    router: Router, job: Job, last_event_id: int | None
) -> Exchange | None:
    """Go on with a broken stream elsewhere; None where that is not possible."""
    while may_send(job) and spend_retry(router, job, Reason.CONNECTION_LOST):
        target = choose_target(router, job)
        if target is None:
            return None
        try:
            return await start_resumed(router, job, target, last_event_id)
        except AttemptFailed as failure:
            note_attempt_failure(router, job, failure)
    return None


async def start_resumed(
    router: Router, job: Job, target: Target, last_event_id: int | None
) -> Exchange:
    """Start one attempt that goes on with a stream; raises AttemptFailed."""
    exchange = await start_exchange(router, job, target, last_event_id)
    try:
        await check_exchange(exchange, job)
        if exchange.status >= FIRST_ERROR:
            text = f"status {exchange.status}"
            raise AttemptFailed(Reason.ENGINE_ERROR, text, target.endpoint)
    except BaseException:
        end_exchange(exchange)
        raise
    return exchange


def note_attempt_failure(router: Router, job: Job, failure: AttemptFailed) -> None:
    """Remember what a failed attempt says of its endpoint and of the job."""
    name = failure.endpoint.name
    job.may_have_run = job.may_have_run or failure.may_have_run
    held_until_ms = note_loss(router, job, failure.endpoint, failure.reason)
    if failure.reason is Reason.ENGINE_UNREACHABLE:
        state_of(router.loads, name).unreachable = True
    log_event(
        logger,
        "attempt_failed",
        request=job.call.request_id,
        endpoint=name,
        reason=failure.reason,
        detail=failure.args[0],
        may_have_run=failure.may_have_run,
        held_until_ms=held_until_ms,
        n_sent=len(job.sent),
        left_ms=job.deadline_ms - router.clock.now_ms(),
    )


def refuse_retry(router: Router, job: Job, failure: AttemptFailed) -> Reason | None:
    """Say why a job is not sent again, None where it may be."""
    if job.may_have_run and not job.route.repeatable:
        return failure.reason
    if job.deadline_ms <= router.clock.now_ms():
        return Reason.DEADLINE
    if not failure.reached:
        return None
    if not may_send(job):
        return failure.reason
    if not spend_retry(router, job, failure.reason):
        return Reason.RETRY_BUDGET
    return None


def retry_error(router: Router, job: Job, response: Response) -> bool:
    """Tell whether an endpoint's own error is worth another attempt."""
    job.may_have_run = True
    job.fallback = response
    job.excluded.update(job.sent)
    if not job.may_resend:
        return False
    return spend_retry(router, job, Reason.ENGINE_ERROR)


def may_send(job: Job) -> bool:
    """Tell whether the route allows another endpoint to be sent to."""
    return len(job.sent) < job.route.max_attempts


def give_up(router: Router, job: Job, reason: Reason, detail: str) -> Response:
    """Pass on an endpoint's own error, or raise the refusal that is true."""
    if job.fallback is not None:
        return job.fallback
    late = job.deadline_ms <= router.clock.now_ms()
    if job.may_have_run:
        status = 504 if late else 502
        raise RequestRefused(status, reason, detail, outcome=Outcome.UNKNOWN)
    raise RequestRefused(503, reason, detail, retry_after_ms=RETRY_AFTER_MS)
