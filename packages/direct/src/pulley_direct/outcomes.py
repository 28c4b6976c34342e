"""How each attempt went for its endpoint: in time, or late, wrong or not at all."""

import logging

from pulley_base import log_event

from .beliefs import usable_endpoints
from .jobs import Job
from .loads import note_outcome, pass_over_outlier, state_of
from .models import Endpoint
from .routers import Router

logger = logging.getLogger(__name__)


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
