"""Dispatch of one request: attempts, retries and refusals."""

import logging
from functools import partial
from random import randint

from pulley_base import Outcome, Reason, log_event
from pulley_http import RequestRefused, Response, drop_hop_by_hop_headers

from ..crashes.crashes import (
    find_blocking_key,
    record_good_request,
    record_loss,
    report_after_end,
    report_if_suspect,
    retry_after_probation_ms,
)
from ..endpoints.availability import opens_in_ms
from ..endpoints.budgets import earn_retry, spend_retry
from ..endpoints.failures import handle_attempt_failure
from ..endpoints.outcomes import count_answer
from ..endpoints.placing import Target, choose_target
from ..state.jobs import AttemptFailed, Elsewhere, Job
from ..state.loads import record_success
from ..state.models import Endpoint, RetryClass
from ..state.routers import Router
from ..transport.exchanges import end_exchange
from ..transport.rotation import time_left_ms
from ..transport.takeovers import has_other_answer, stop_other, take_other_answer
from .attempts import start_exchange
from .bodies import read_whole_body
from .rejections import check_answer
from .resends import retry_denial_reason, should_retry_error
from .resumptions import resume_stream
from .streams import EventStream, open_stream

logger = logging.getLogger(__name__)

# A full endpoint has finished several short requests within this time, and callers
# that wait a second can still retry after it. Those refused together return apart.
RETRY_AFTER_MS = (150, 300)
FIRST_NON_SUCCESS_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500
# Timeout, too many requests, unavailable: what the router itself sends for a request
# that has not run.
NOT_RUN_STATUSES = frozenset({408, 429, 503})
# Unauthorized, forbidden, timeout, too early, too many requests: the request itself may
# not have been looked at.
UNREAD_STATUSES = frozenset({401, 403, 408, 425, 429})


async def dispatch(router: Router, job: Job) -> Response:
    """Send a job to endpoints until there is an answer to pass on.

    Raises RequestRefused if there is none.
    """
    earn_retry(router, job.service)
    job.elsewhere = Elsewhere(partial(answer_elsewhere, router), discard_response)
    response = None
    try:
        response = await find_answer(router, job)
        if is_good_answer(job, response.status):
            record_success_of_job(router, job)
        return response
    finally:
        # A stream goes on, and reports at its own end.
        if response is None or not isinstance(response.body, EventStream):
            report_after_end(router, job)


def is_good_answer(job: Job, status: int) -> bool:
    """Check whether an answer shows that its request crashes no endpoint.

    An error of the caller's does too, such as 404, but for a prompt's: that may
    have been found before the prompt was read.
    """
    if status < FIRST_NON_SUCCESS_STATUS:
        return True
    if job.route.retry_class is RetryClass.STREAM:
        return False
    return status < FIRST_SERVER_ERROR_STATUS and status not in UNREAD_STATUSES


def record_success_of_job(router: Router, job: Job) -> None:
    """Drop what a job has lost; a stream does so itself, once it is whole."""
    if job.route.retry_class is not RetryClass.STREAM:
        job.losses.clear()
        record_good_request(router, job)


async def find_answer(router: Router, job: Job) -> Response:
    """Send a job to endpoints until there is an answer, and end all other attempts.

    Raises RequestRefused if there is none.
    """
    try:
        return await send_until_answered(router, job)
    finally:
        stop_other(job)


async def send_until_answered(router: Router, job: Job) -> Response:
    """Send a job to endpoints, one after the other, until there is an answer.

    One that was asked beside a silent endpoint may also bring it. Raises
    RequestRefused if there is none.
    """
    while True:
        key = find_blocking_key(router, job)
        if key is not None:
            return fall_back_or_refuse(
                router,
                job,
                Reason.QUARANTINED,
                f"requests with {key} crashed endpoints",
                retry_after_ms=retry_after_probation_ms(router, key),
            )
        target = choose_target(router, job)
        if target is None:
            return refuse_without_target(router, job)
        try:
            response = await run_attempt(router, job, target)
        except AttemptFailed as failure:
            response = await recover(router, job, failure)
        else:
            response = await check_error(router, job, target.endpoint, response)
        if response is not None:
            return response


def refuse_without_target(router: Router, job: Job) -> Response:
    """Return an endpoint's error, or refuse a job for which no endpoint can be chosen.

    The caller is told when the first endpoint of the service opens.
    """
    closed_ms = opens_in_ms(router, job.service)
    if closed_ms:
        return fall_back_or_refuse(
            router,
            job,
            Reason.ENDPOINT_CLOSED,
            "all endpoints have asked for a pause or fewer requests",
            retry_after_ms=closed_ms,
        )
    return fall_back_or_refuse(router, job, Reason.NO_ENDPOINT, "no endpoint is left")


async def recover(router: Router, job: Job, failure: AttemptFailed) -> Response | None:
    """Return the answer of an attempt beside a failed one; None to send the job again.

    Raises RequestRefused if there is no answer and the job must not be sent again.
    """
    # A silence was recorded when the other endpoint was asked.
    if failure.reason is not Reason.STALLED:
        crashed = await record_loss(router, job, failure)
        handle_attempt_failure(router, job, failure)
        if crashed and not has_other_answer(job):
            return fall_back_or_refuse(router, job, Reason.ENGINE_CRASHED, str(failure))
    response = await take_other_answer(job)
    if response is not None:
        return response
    reason = retry_denial_reason(router, job, failure)
    if reason is not None:
        return fall_back_or_refuse(router, job, reason, str(failure))
    await report_if_suspect(router, job)
    return None


async def check_error(
    router: Router, job: Job, endpoint: Endpoint, response: Response
) -> Response | None:
    """Return the answer to pass on; None to send the job again after an error."""
    if promises_not_run(response.status) and not job.route.retryable:
        job.may_have_run = True
        detail = f"status {response.status}, which does not say that it has not run"
        return fall_back_or_refuse(router, job, Reason.ENGINE_ERROR, detail)
    if response.status < FIRST_SERVER_ERROR_STATUS:
        if job.other is not None:
            log_event(
                logger,
                "silent_endpoint_answered",
                request=job.call.request_id,
                endpoint=endpoint.name,
            )
        return response
    other = await take_other_answer(job)
    if other is not None:
        return other
    return None if should_retry_error(router, job, response) else response


def promises_not_run(status: int) -> bool:
    """Check whether callers take a status for the promise that nothing has run.

    An endpoint that ran the request may answer with it all the same.
    """
    return status in NOT_RUN_STATUSES


async def answer_elsewhere(
    router: Router, job: Job, silent: Endpoint
) -> Response | None:
    """Find an answer at another endpoint than the silent one; None if there is none.

    An endpoint's error answer is only kept as a fallback. A retry that was not sent
    stays reserved for the job.
    """
    n_sent = len(job.sent_to)
    spend_retry(router, job, Reason.STALLED)
    response = None
    try:
        response = await find_answer(router, job)
    except RequestRefused as refusal:
        log_event(
            logger,
            "other_endpoints_refused",
            request=job.call.request_id,
            silent=silent.name,
            reason=refusal.reason,
            detail=refusal.detail,
        )
    if len(job.sent_to) == n_sent:
        job.retry_reserved = True
    if response is not None and response.status >= FIRST_SERVER_ERROR_STATUS:
        job.fallback_response = response
        return None
    return response


def discard_response(response: Response) -> None:
    """Close the stream of an answer that is not passed on."""
    if isinstance(response.body, EventStream):
        response.body.close()


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
            count_answer(router, job, endpoint)
            return response
        body = await read_whole_body(exchange, job)
    except BaseException:
        end_exchange(exchange)
        raise
    end_exchange(exchange)
    record_success(router.loads, endpoint.name)
    count_answer(
        router, job, endpoint, failed=exchange.status >= FIRST_SERVER_ERROR_STATUS
    )
    headers = drop_hop_by_hop_headers(exchange.headers)
    return Response(exchange.status, headers, body)


def fall_back_or_refuse(
    router: Router,
    job: Job,
    reason: Reason,
    detail: str,
    *,
    retry_after_ms: int | None = None,
) -> Response:
    """Return an endpoint's own error answer, or raise RequestRefused if there is none.

    The caller is told to come back after ``retry_after_ms``, by default at random.
    The refusal's outcome is unknown if an endpoint may have run the request (504
    after the deadline, otherwise 502), and not-run if none can have (503).
    """
    if job.fallback_response is not None:
        return job.fallback_response
    past_deadline = time_left_ms(router, job) <= 0
    if job.may_have_run:
        status = 504 if past_deadline else 502
        raise RequestRefused(status, reason, detail, outcome=Outcome.UNKNOWN)
    if retry_after_ms is None:
        retry_after_ms = randint(*RETRY_AFTER_MS)
    raise RequestRefused(503, reason, detail, retry_after_ms=retry_after_ms)
