"""Broken streams: continued at another endpoint, after their last whole event."""

from pulley_base import Reason

from ..crashes.crashes import find_blocking_key, record_loss, report_if_suspect
from ..endpoints.budgets import spend_retry
from ..endpoints.failures import handle_attempt_failure
from ..endpoints.placing import Target, choose_target
from ..state.jobs import AttemptFailed, Job
from ..state.routers import Router
from ..transport.exchanges import Exchange, end_exchange, stream_head
from ..transport.rotation import time_left_ms
from ..transport.takeovers import stop_other, take_other_answer
from .attempts import start_exchange
from .rejections import check_answer
from .resends import has_attempts_left


async def resume_stream(
    router: Router, job: Job, last_event_id: int | None
) -> Exchange | None:
    """Continue a broken stream at another endpoint, after ``last_event_id``.

    Returns None if no time, attempt, retry or endpoint is left, or if the stream is
    held back as it crashes endpoints. A retry that was not sent stays reserved for the
    job.
    """
    while may_resume(router, job) and spend_retry(router, job, Reason.CONNECTION_LOST):
        await report_if_suspect(router, job)
        if find_blocking_key(router, job) is not None:
            job.retry_reserved = True
            return None
        target = choose_target(router, job)
        if target is None:
            job.retry_reserved = True
            return None
        try:
            return await start_resumed_exchange(router, job, target, last_event_id)
        except AttemptFailed as failure:
            crashed = False
            if failure.reason is not Reason.STALLED:
                crashed = await record_loss(router, job, failure)
                handle_attempt_failure(router, job, failure)
            resumed = await take_other_answer(job)
            if resumed is not None or crashed:
                return resumed
            job.retry_reserved = job.retry_reserved or not failure.reached
        finally:
            stop_other(job)
    return None


def may_resume(router: Router, job: Job) -> bool:
    """Check whether a broken stream has time and attempts left."""
    return time_left_ms(router, job) > 0 and has_attempts_left(job)


async def start_resumed_exchange(
    router: Router, job: Job, target: Target, last_event_id: int | None
) -> Exchange:
    """Start one attempt that continues a stream.

    Raises AttemptFailed, also for an answer that does not begin as the stream did.
    """
    exchange = await start_exchange(router, job, target, last_event_id)
    try:
        await check_answer(exchange, job)
        head = stream_head(exchange)
        if head != job.stream_head:
            text = f"status {head.status}, media type {head.media_type.decode()!r}"
            raise AttemptFailed(Reason.ENGINE_ERROR, text, target.endpoint)
    except BaseException:
        end_exchange(exchange)
        raise
    return exchange
