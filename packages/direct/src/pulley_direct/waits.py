"""Waiting for an endpoint's bytes, and when the wait is better ended."""

import asyncio

from pulley_base import PulleyError, to_seconds
from pulley_http.connections import ClientConnection, read_more

from .beliefs import usable_endpoints
from .budgets import reserve_retry
from .jobs import Job
from .loads import is_unreachable
from .models import Endpoint, Kind
from .outcomes import note_silence
from .routers import Router

# How often a silent endpoint is looked at again.
LOOK_MS = 150
# Silence that is enough where the endpoint can't be connected to either.
SUSPECT_WAIT_MS = 250
# Callers of a stream leave after two seconds without an event at the earliest.
STREAM_WAIT_MS = 1_300
# A short answer that takes this many times its target is not coming.
ANSWER_WAIT_TARGETS = 3


class Unanswered(PulleyError):
    """Nothing came from an endpoint; ``early`` means before the deadline."""

    def __init__(self, message: str, *, step: str, early: bool):
        super().__init__(message, step=step)
        self.early = early


async def wait_for_bytes(
    router: Router, job: Job, endpoint: Endpoint, connection: ClientConnection
) -> None:
    """Wait for more bytes up to the deadline.

    A request that may be sent again is waited for only while its endpoint seems
    well and for a bounded time. Raises Unanswered.
    """
    started_ms = router.clock.now_ms()
    while True:
        now_ms = router.clock.now_ms()
        left_ms = job.deadline_ms - now_ms
        if left_ms <= 0:
            raise Unanswered("the deadline has passed", step="wait", early=False)
        unreachable = is_unreachable(router.loads, endpoint.name)
        silent_ms = now_ms - started_ms
        if job.may_resend and may_abandon(job, silent_ms, unreachable):
            if has_other_endpoint(router, job) and reserve_retry(router, job):
                raise Unanswered("nothing came", step="wait", early=True)
        if await read_within(connection, min(left_ms, LOOK_MS)):
            return
        note_silence(router, job, endpoint)


def has_other_endpoint(router: Router, job: Job) -> bool:
    """Tell whether a job could go to an endpoint that it was not sent to."""
    used = {*job.sent, *job.excluded}
    found = usable_endpoints(router.beliefs, job.service)
    return any(one.name not in used for one in found)


async def read_within(connection: ClientConnection, timeout_ms: int) -> bool:
    """Wait for more bytes; False where none came in time."""
    try:
        async with asyncio.timeout(to_seconds(timeout_ms)):
            await read_more(connection, "wait")
    except TimeoutError:
        return False
    return True


def may_abandon(job: Job, silent_ms: int, unreachable: bool) -> bool:
    """Tell whether an attempt that brings nothing is better made elsewhere.

    A stream that has not begun may wait for its turn at a busy endpoint, where a
    second copy of it would only add to the queue.
    """
    if unreachable:
        return silent_ms >= SUSPECT_WAIT_MS
    if job.route.kind is Kind.STREAM:
        return job.streaming and silent_ms >= STREAM_WAIT_MS
    target_ms = job.route.target_ms
    return bool(target_ms) and silent_ms >= ANSWER_WAIT_TARGETS * target_ms
