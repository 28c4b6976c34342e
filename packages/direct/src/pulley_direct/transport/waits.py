"""Waiting for an endpoint's bytes, and when to ask another endpoint meanwhile."""

import asyncio

from pulley_base import PulleyError, time_limit
from pulley_http.connections import ClientConnection, read_more

from ..endpoints.availability import is_open
from ..endpoints.budgets import reserve_retry
from ..endpoints.departures import usable_endpoints
from ..endpoints.outcomes import record_if_late, time_to_target_ms
from ..state.jobs import Job
from ..state.loads import is_unreachable
from ..state.models import Endpoint, RetryClass
from ..state.routers import Router
from .rotation import time_left_ms
from .takeovers import has_ended_other, has_other_answer, settle_other, start_other

# How often the state of a silent endpoint is checked.
POLL_INTERVAL_MS = 150
# Silence after which another endpoint is asked if connecting to this one fails too.
UNREACHABLE_WAIT_MS = 250
# A wait that lasts longer than it should by this much shows that the router stood
# still: an endpoint may have ended and started again meanwhile.
PAUSE_MS = 500
# Callers of a stream disconnect after two seconds without an event at the earliest.
STREAM_STALL_MS = 1_300
# A short answer that takes this many times its target is not expected any more.
ANSWER_WAIT_FACTOR = 3


class AnswerTimeout(PulleyError):
    """No bytes came from an endpoint in time.

    ``before_deadline`` is True if another endpoint answered before the deadline.
    """

    def __init__(self, message: str, *, step: str, before_deadline: bool):
        super().__init__(message, step=step)
        self.before_deadline = before_deadline


async def wait_for_bytes(
    router: Router, job: Job, endpoint: Endpoint, connection: ClientConnection
) -> None:
    """Wait for more bytes until the deadline.

    If the request may be sent again, another endpoint is asked when this one is
    unreachable or stays silent for too long. Raises AnswerTimeout at the deadline, or
    as soon as the other one has answered.
    """
    silent_ms = 0
    while True:
        if has_other_answer(job):
            raise AnswerTimeout(
                "another endpoint answered", step="wait", before_deadline=True
            )
        if has_ended_other(job):
            settle_other(job)
            silent_ms = 0
        left_ms = time_left_ms(router, job)
        if left_ms <= 0:
            raise AnswerTimeout(
                "the deadline has passed", step="wait", before_deadline=False
            )
        if reserve_other(router, job, endpoint, silent_ms):
            start_other(router, job, endpoint, connection)
        wait_ms = min(left_ms, next_check_ms(router, job))
        due_ms = router.clock.deadline_ms(wait_ms)
        has_read = await read_within(connection, wait_ms, left_ms - wait_ms)
        if router.clock.now_ms() - due_ms >= PAUSE_MS:
            job.has_paused = True
        if has_read:
            return
        silent_ms += wait_ms
        record_if_late(router, job, endpoint)


def next_check_ms(router: Router, job: Job) -> int:
    """Return when to check a silent endpoint next: also as the target passes.

    The clock tells later only how long an answer took that this router read late.
    """
    return min(time_to_target_ms(router, job) or POLL_INTERVAL_MS, POLL_INTERVAL_MS)


def reserve_other(router: Router, job: Job, endpoint: Endpoint, silent_ms: int) -> bool:
    """Check whether to ask another endpoint now, and reserve the retry for it."""
    if job.other is not None or not job.may_retry:
        return False
    unreachable = is_unreachable(router.loads, endpoint.name)
    if not should_ask_other(job, silent_ms, unreachable):
        return False
    return has_other_endpoint(router, job) and reserve_retry(router, job)


def has_other_endpoint(router: Router, job: Job) -> bool:
    """Check whether the service has an open endpoint that the job has not tried."""
    tried = {*job.sent_to, *job.excluded}
    usable = usable_endpoints(router.fleet_view, job.service)
    return any(one.name not in tried and is_open(router, one) for one in usable)


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


def should_ask_other(job: Job, silent_ms: int, unreachable: bool) -> bool:
    """Check whether an attempt's silence is so long that another endpoint is asked.

    Unless its endpoint is unreachable, none is asked for a stream that has not
    begun: it may be queued at a busy endpoint, where a second copy of it would
    only add to the queue.
    """
    if unreachable:
        return silent_ms >= UNREACHABLE_WAIT_MS
    if job.route.retry_class is RetryClass.STREAM:
        return job.stream_head is not None and silent_ms >= STREAM_STALL_MS
    target_ms = job.route.target_ms
    return bool(target_ms) and silent_ms >= ANSWER_WAIT_FACTOR * target_ms
