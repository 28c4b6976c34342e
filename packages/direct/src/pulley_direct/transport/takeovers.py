"""Other attempts: each runs beside one whose endpoint is silent, until one answers."""

import asyncio
import logging
from dataclasses import replace
from typing import Any

from pulley_base import Reason, log_event
from pulley_http.connections import ClientConnection

from ..endpoints.outcomes import record_failed_attempt
from ..state.jobs import Job, OtherAttempt
from ..state.models import Endpoint
from ..state.routers import Router

logger = logging.getLogger(__name__)


def start_other(
    router: Router, job: Job, endpoint: Endpoint, connection: ClientConnection
) -> None:
    """Try a job at another endpoint while its present one is silent.

    The other attempt gets a copy of the job, and its reserved retry. It wakes the
    reader of ``connection`` when it ends.
    """
    held_until_ms = record_failed_attempt(router, job, endpoint, Reason.STALLED)
    log_event(
        logger,
        "endpoint_silent",
        request=job.call.request_id,
        endpoint=endpoint.name,
        held_until_ms=held_until_ms,
        n_sent=len(job.sent_to),
        left_ms=job.deadline_ms - router.clock.now_ms(),
    )
    job.may_have_run = True
    copy = replace(job, other=None)
    job.retry_reserved = False
    task = asyncio.create_task(job.elsewhere.ask(copy, endpoint))
    other = OtherAttempt(copy, task, job.elsewhere.discard)
    job.other = other

    def wake_reader(_task: asyncio.Task) -> None:
        if job.other is other:
            connection.wake_reader()

    task.add_done_callback(wake_reader)


def has_ended_other(job: Job) -> bool:
    """Check whether the job has another attempt that has ended."""
    return job.other is not None and job.other.task.done()


def has_other_answer(job: Job) -> bool:
    """Check whether the job's other attempt has ended with an answer."""
    return has_ended_other(job) and job.other.task.result() is not None


async def take_other_answer(job: Job) -> Any:
    """Wait for the job's other attempt and return its answer, None without one."""
    if job.other is None:
        return None
    await asyncio.wait({job.other.task})
    return settle_other(job)


def settle_other(job: Job) -> Any:
    """Take over what the other attempt, which has ended, leaves; return its answer."""
    other, job.other = job.other, None
    answer = other.task.result()
    job.retry_reserved = other.job.retry_reserved
    job.fallback_response = other.job.fallback_response
    if answer is not None:
        job.scores = other.job.scores
    return answer


def stop_other(job: Job) -> None:
    """Cancel the job's other attempt, if it has one, and discard its answer."""
    other, job.other = job.other, None
    if other is None:
        return

    def discard_answer(task: asyncio.Task) -> None:
        if not task.cancelled() and task.result() is not None:
            other.discard(task.result())

    other.task.cancel()
    other.task.add_done_callback(discard_answer)
