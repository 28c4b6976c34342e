"""How each attempt went for its endpoint: in time, or late, wrong or not at all."""

import logging

from pulley_base import Reason, log_event

from .beliefs import usable_endpoints
from .jobs import Job
from .loads import note_failure, note_outcome, pass_over_outlier, state_of
from .models import Endpoint
from .routers import Router

logger = logging.getLogger(__name__)

# An endpoint that is silent for this long is held off.
TELLING_WAIT_MS = 800


def note_loss(
    router: Router, job: Job, endpoint: Endpoint, reason: Reason
) -> int | None:
    """Remember an attempt that brought no whole answer; the job goes elsewhere.

    Gives until when the endpoint is held off, None where the reason does not
    speak against it.
    """
    job.excluded.add(endpoint.name)
    router.counters.failures[reason] += 1
    held_until_ms = None
    if speaks_against(router, job, reason):
        held_until_ms = note_failure(router.loads, endpoint.name)
    if held_until_ms is not None or reason is Reason.ENDPOINT_BUSY:
        note_bad(router, job, endpoint)
    return held_until_ms


def speaks_against(router: Router, job: Job, reason: Reason) -> bool:
    """Tell whether a failure says that the endpoint itself is not well.

    A full endpoint is well, and a short deadline says little.
    """
    if reason is Reason.DEADLINE:
        return router.clock.now_ms() - job.arrived_ms >= TELLING_WAIT_MS
    return reason not in (Reason.ENDPOINT_BUSY, Reason.WRONG_ENDPOINT)


def note_time(
    router: Router, job: Job, endpoint: Endpoint, *, failed: bool = False
) -> None:
    """Count an answer that began: good within the route's target."""
    if failed or is_late(router, job):
        note_bad(router, job, endpoint)
    else:
        note_outcome(router.loads, endpoint.name, endpoint.service, good=True)


def note_silence(router: Router, job: Job, endpoint: Endpoint) -> None:
    """Count an answer that has not begun within the route's target as bad."""
    if not job.streaming and is_late(router, job):
        note_bad(router, job, endpoint)


def note_bad(router: Router, job: Job, endpoint: Endpoint) -> None:
    """Count an attempt as bad for its endpoint, once."""
    if job.bad_at == endpoint.name:
        return
    job.bad_at = endpoint.name
    service = endpoint.service
    note_outcome(router.loads, endpoint.name, service, good=False)
    names = [one.name for one in usable_endpoints(router.beliefs, service)]
    if pass_over_outlier(router.loads, endpoint.name, service, names):
        record = state_of(router.loads, endpoint.name).record
        log_event(
            logger,
            "endpoint_passed_over",
            request=job.call.request_id,
            endpoint=endpoint.name,
            bad=round(record.bad, 1),
            good=round(record.good, 1),
        )


def is_late(router: Router, job: Job) -> bool:
    """Tell whether the present attempt has taken longer than the route's target."""
    target_ms = job.route.target_ms
    return bool(target_ms) and router.clock.now_ms() - job.sent_ms > target_ms
