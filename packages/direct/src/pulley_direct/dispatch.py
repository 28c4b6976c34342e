"""Dispatch of one request: attempts, retries and refusals."""

import logging

from pulley_base import Outcome, Reason, log_event
from pulley_http import RequestRefused, Response, drop_hop_by_hop_headers

from .attempts import start_exchange
from .budgets import earn_retry, spend_retry
from .crashes import (
    find_quarantine,
    record_good_request,
    record_loss,
    report_after_end,
    report_if_suspect,
    retry_after_quarantine_ms,
)
from .exchanges import Exchange, end_exchange, read_whole_body
from .jobs import AttemptFailed, Job
from .loads import get_state, record_success
from .models import Call, RetryClass
from .outcomes import record_answer_time, record_failed_attempt
from .placing import Target, choose_target
from .routers import Router
from .streams import open_stream

logger = logging.getLogger(__name__)

# A full endpoint has finished several short requests after this time, and callers
# that wait a second can still retry within it.
RETRY_AFTER_MS = 200
FIRST_NON_SUCCESS_STATUS = 300
MISDIRECTED_STATUS = 421
FIRST_SERVER_ERROR_STATUS = 500
MAX_LOGGED_PARTS = 8
# Characters of a part's digest in a log line.
MAX_LOGGED_DIGEST = 16


async def dispatch(router: Router, job: Job) -> Response:
    """Send a job to endpoints until there is an answer to pass on.

    Raises RequestRefused if there is none.
    """
    earn_retry(router, job.service)
    try:
        response = await send_until_answered(router, job)
        if response.status < FIRST_NON_SUCCESS_STATUS:
            record_success_of_job(router, job)
        return response
    finally:
        report_after_end(router, job)


def record_success_of_job(router: Router, job: Job) -> None:
    """Drop what a job has lost; a stream clears its keys only as it goes on."""
    job.losses.clear()
    if job.route.retry_class is not RetryClass.STREAM:
        record_good_request(router, job)


async def send_until_answered(router: Router, job: Job) -> Response:
    """Make attempts until one brings an answer to pass on, as ``dispatch`` does."""
    while True:
        quarantined = find_quarantine(router, job)
        if quarantined is not None:
            return fall_back_or_refuse(
                router,
                job,
                Reason.QUARANTINED,
                f"requests with {quarantined} crashed endpoints",
                retry_after_ms=retry_after_quarantine_ms(router, quarantined),
            )
        target = choose_target(router, job)
        if target is None:
            return fall_back_or_refuse(
                router, job, Reason.NO_ENDPOINT, "no endpoint is left"
            )
        try:
            response = await run_attempt(router, job, target)
        except AttemptFailed as failure:
            crashed = await record_loss(router, job, failure)
            handle_attempt_failure(router, job, failure)
            if crashed:
                reason = Reason.ENGINE_CRASHED
            else:
                reason = retry_denial_reason(router, job, failure)
            if reason is not None:
                return fall_back_or_refuse(router, job, reason, str(failure))
            await report_if_suspect(router, job)
            continue
        if response.status < FIRST_SERVER_ERROR_STATUS or not should_retry_error(
            router, job, response
        ):
            return response


async def run_attempt(router: Router, job: Job, target: Target) -> Response:
    """Make one attempt and return its answer.

    Raises AttemptFailed if it brings no answer.
    """
    endpoint = target.endpoint
    exchange = await start_exchange(router, job, target, None)
    try:
        await check_answer(exchange, job)
        if (
            job.route.retry_class is RetryClass.STREAM
            and exchange.status < FIRST_NON_SUCCESS_STATUS
        ):
            response = await open_stream(router, job, exchange, resume_stream)
            record_answer_time(router, job, endpoint)
            return response
        body = await read_whole_body(exchange, job)
    except BaseException:
        end_exchange(exchange)
        raise
    end_exchange(exchange)
    record_success(router.loads, endpoint.name)
    record_answer_time(
        router, job, endpoint, failed=exchange.status >= FIRST_SERVER_ERROR_STATUS
    )
    headers = drop_hop_by_hop_headers(exchange.headers)
    return Response(exchange.status, headers, body)


async def check_answer(exchange: Exchange, job: Job) -> None:
    """Raise AttemptFailed for an answer that can't be passed on.

    That is a rejection of the request, or a body with a content encoding.
    """
    if exchange.metadata.not_run or exchange.status == MISDIRECTED_STATUS:
        await raise_rejection(exchange, job)
    if exchange.metadata.encoded:
        text = "an encoded body"
        raise AttemptFailed(Reason.ENGINE_ERROR, text, exchange.endpoint)


async def raise_rejection(exchange: Exchange, job: Job) -> None:
    """Raise AttemptFailed for a request that the endpoint did not run.

    Reads the answer to its end first.
    """
    await read_whole_body(exchange, job)
    reason = Reason.ENDPOINT_BUSY
    if exchange.status == MISDIRECTED_STATUS:
        reason = Reason.WRONG_ENDPOINT
    raise AttemptFailed(
        reason, f"status {exchange.status}", exchange.endpoint, may_have_run=False
    )


async def resume_stream(
    router: Router, job: Job, last_event_id: int | None
) -> Exchange | None:
    """Continue a broken stream at another endpoint, after ``last_event_id``.

    Returns None if no time, attempt, retry or endpoint is left. A retry that was not
    sent stays reserved for the job.
    """
    while may_resume(router, job) and spend_retry(router, job, Reason.CONNECTION_LOST):
        if find_quarantine(router, job) is not None:
            job.retry_reserved = True
            return None
        target = choose_target(router, job)
        if target is None:
            job.retry_reserved = True
            return None
        try:
            return await start_resumed_exchange(router, job, target, last_event_id)
        except AttemptFailed as failure:
            handle_attempt_failure(router, job, failure)
            job.retry_reserved = not failure.reached
    return None


def may_resume(router: Router, job: Job) -> bool:
    """Check whether a broken stream has time and attempts left."""
    return job.deadline_ms > router.clock.now_ms() and has_attempts_left(job)


async def start_resumed_exchange(
    router: Router, job: Job, target: Target, last_event_id: int | None
) -> Exchange:
    """Start one attempt that continues a stream.

    Raises AttemptFailed, also for an answer whose status is not a success.
    """
    exchange = await start_exchange(router, job, target, last_event_id)
    try:
        await check_answer(exchange, job)
        if exchange.status >= FIRST_NON_SUCCESS_STATUS:
            text = f"status {exchange.status}"
            raise AttemptFailed(Reason.ENGINE_ERROR, text, target.endpoint)
    except BaseException:
        end_exchange(exchange)
        raise
    return exchange


def handle_attempt_failure(router: Router, job: Job, failure: AttemptFailed) -> None:
    """Record a failed attempt for its endpoint and its job, and log it."""
    name = failure.endpoint.name
    job.may_have_run = job.may_have_run or failure.may_have_run
    backoff_until_ms = record_failed_attempt(
        router, job, failure.endpoint, failure.reason
    )
    if failure.reason is Reason.ENGINE_UNREACHABLE:
        get_state(router.loads, name).unreachable = True
    log_event(
        logger,
        "attempt_failed",
        request=job.call.request_id,
        endpoint=name,
        reason=failure.reason,
        detail=failure.args[0],
        may_have_run=failure.may_have_run,
        answer_began=failure.answer_began,
        parts=list_shared_parts(job.call) if failure.may_have_run else None,
        held_until_ms=backoff_until_ms,
        n_sent=len(job.sent_to),
        left_ms=job.deadline_ms - router.clock.now_ms(),
    )


def list_shared_parts(call: Call) -> str | None:
    """Return the digests of a prompt's shared parts for the log, None without any.

    All parts but the last may be shared; of a long prompt only the first ones are
    listed.
    """
    shared = call.parts[:-1][:MAX_LOGGED_PARTS]
    return ",".join(part.digest[:MAX_LOGGED_DIGEST] for part in shared) or None


def retry_denial_reason(
    router: Router, job: Job, failure: AttemptFailed
) -> Reason | None:
    """Return why a job must not be sent again, None if it may be.

    Takes a retry from the budget if the endpoint was reached.
    """
    if job.may_have_run and not job.route.retryable:
        return failure.reason
    if job.deadline_ms <= router.clock.now_ms():
        return Reason.DEADLINE
    if not failure.reached:
        return None
    if not has_attempts_left(job):
        return failure.reason
    if not spend_retry(router, job, failure.reason):
        return Reason.RETRY_BUDGET
    return None


def should_retry_error(router: Router, job: Job, response: Response) -> bool:
    """Keep an endpoint's error answer as a fallback and check whether to retry.

    Takes a retry from the budget if the job may be retried.
    """
    job.may_have_run = True
    job.fallback_response = response
    job.excluded.update(job.sent_to)
    if not job.may_retry:
        return False
    return spend_retry(router, job, Reason.ENGINE_ERROR)


def has_attempts_left(job: Job) -> bool:
    """Check whether the route allows another endpoint to be tried."""
    return len(job.sent_to) < job.route.max_attempts


def fall_back_or_refuse(
    router: Router,
    job: Job,
    reason: Reason,
    detail: str,
    *,
    retry_after_ms: int = RETRY_AFTER_MS,
) -> Response:
    """Return an endpoint's own error answer, or raise RequestRefused if there is none.

    The refusal's outcome is unknown if an endpoint may have run the request (504
    after the deadline, otherwise 502), and not-run if none can have (503).
    """
    if job.fallback_response is not None:
        return job.fallback_response
    past_deadline = job.deadline_ms <= router.clock.now_ms()
    if job.may_have_run:
        status = 504 if past_deadline else 502
        raise RequestRefused(status, reason, detail, outcome=Outcome.UNKNOWN)
    raise RequestRefused(503, reason, detail, retry_after_ms=retry_after_ms)
