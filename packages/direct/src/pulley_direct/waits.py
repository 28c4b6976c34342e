"""Waiting for an endpoint's bytes, and when to abandon the wait."""

import asyncio

from pulley_base import PulleyError, time_limit
from pulley_http.connections import ClientConnection, read_more

from .beliefs import usable_endpoints
from .budgets import reserve_retry
from .jobs import Job
from .loads import is_unreachable
from .models import Endpoint, RetryClass
from .outcomes import record_if_late
from .routers import Router

# How often the state of a silent endpoint is checked.
POLL_INTERVAL_MS = 150
# Silence after which an attempt is abandoned if connecting to the endpoint fails too.
UNREACHABLE_WAIT_MS = 250
# Callers of a stream disconnect after two seconds without an event at the earliest.
STREAM_STALL_MS = 1_300
# A short answer that takes this many times its target is not expected any more.
ANSWER_WAIT_FACTOR = 3


class AnswerTimeout(PulleyError):
    """No bytes came from an endpoint in time.

    ``before_deadline`` is True if the wait was abandoned before the deadline.
    """

    def __init__(self, message: str, *, step: str, before_deadline: bool):
        super().__init__(message, step=step)
        self.before_deadline = before_deadline


async def wait_for_bytes(
    router: Router, job: Job, endpoint: Endpoint, connection: ClientConnection
) -> None:
    """Wait for more bytes until the deadline.

    If the request may be sent again, the wait is also abandoned when the endpoint
    is unreachable or stays silent for too long. Raises AnswerTimeout.
    """
    silent_ms = 0
    while True:
        left_ms = job.deadline_ms - router.clock.now_ms()
        if left_ms <= 0:
            raise AnswerTimeout(
                "the deadline has passed", step="wait", before_deadline=False
            )
        unreachable = is_unreachable(router.loads, endpoint.name)
        if job.may_retry and should_abandon(job, silent_ms, unreachable):
            if has_other_endpoint(router, job) and reserve_retry(router, job):
                raise AnswerTimeout("nothing came", step="wait", before_deadline=True)
        wait_ms = min(left_ms, POLL_INTERVAL_MS)
        if await read_within(connection, wait_ms, left_ms - wait_ms):
            return
        silent_ms += wait_ms
        record_if_late(router, job, endpoint)


def has_other_endpoint(router: Router, job: Job) -> bool:
    """Check whether the service has a usable endpoint that the job has not tried."""
    tried = {*job.sent_to, *job.excluded}
    usable = usable_endpoints(router.fleet_view, job.service)
    return any(one.name not in tried for one in usable)


async def read_within(
    connection: ClientConnection, timeout_ms: int, max_extra_ms: int
) -> bool:
    """Wait for more bytes or the end; return False if nothing came in time.

    ``max_extra_ms`` limits the time that is added if the loop was busy.
    """
    n_reads = connection.n_reads
    try:
        async with time_limit(timeout_ms, max_extra_ms):
            await read_more(connection, "wait")
    except TimeoutError:
        # The loop may have been busy since the timeout expired.
        await asyncio.sleep(0)
    return connection.ended or connection.n_reads != n_reads


def should_abandon(job: Job, silent_ms: int, unreachable: bool) -> bool:
    """Check whether a silent attempt should be abandoned for one at another endpoint.

    Unless its endpoint is unreachable, a stream that has not begun is not
    abandoned: it may be queued at a busy endpoint, where a second copy of it
    would only add to the queue.
    """
    if unreachable:
        return silent_ms >= UNREACHABLE_WAIT_MS
    if job.route.retry_class is RetryClass.STREAM:
        return job.streaming and silent_ms >= STREAM_STALL_MS
    target_ms = job.route.target_ms
    return bool(target_ms) and silent_ms >= ANSWER_WAIT_FACTOR * target_ms
