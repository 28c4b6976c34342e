"""Outcomes of attempts, counted for their endpoint: good, or late, wrong or missing."""

import logging

from pulley_base import Reason, log_event

from ..state.jobs import Job
from ..state.loads import eject_outlier, get_state, record_outcome, start_backoff
from ..state.models import Endpoint
from ..state.routers import Router
from .departures import usable_endpoints

logger = logging.getLogger(__name__)

# A missed deadline counts as a failure of the endpoint only after this long; shorter
# deadlines say little about it.
MIN_SILENCE_MS = 800
# None of these shows that an endpoint is faulty.
HARMLESS_REASONS = (
    Reason.DRAINING,
    Reason.ENDPOINT_BUSY,
    Reason.ENDPOINT_CLOSED,
    Reason.WRONG_ENDPOINT,
)


def record_failed_attempt(
    router: Router, job: Job, endpoint: Endpoint, reason: Reason
) -> int | None:
    """Record an attempt that brought no whole answer, and exclude its endpoint.

    Returns the clock reading in ms at which the endpoint's backoff ends, None if
    the reason does not count against the endpoint.
    """
    counts = counts_against_endpoint(router, job, endpoint, reason)
    job.excluded.add(endpoint.name)
    router.counters.failures[reason] += 1
    backoff_until_ms = None
    if counts:
        backoff_until_ms = start_backoff(router.loads, endpoint.name)
    if backoff_until_ms is not None or reason is Reason.ENDPOINT_BUSY:
        record_bad_outcome(router, job, endpoint)
    return backoff_until_ms


def counts_against_endpoint(
    router: Router, job: Job, endpoint: Endpoint, reason: Reason
) -> bool:
    """Check whether a failure shows that the endpoint itself is faulty.

    A full or leaving endpoint is not faulty, and a short deadline says little. A
    silence that has already counted does not count again, nor at the deadline.
    """
    silent = reason in (Reason.STALLED, Reason.DEADLINE)
    if silent and endpoint.name in job.excluded:
        return False
    if reason is Reason.DEADLINE:
        return router.clock.now_ms() - job.arrived_ms >= MIN_SILENCE_MS
    return reason not in HARMLESS_REASONS


def count_answer(
    router: Router, job: Job, endpoint: Endpoint, *, failed: bool = False
) -> None:
    """Count an answer: bad if ``failed``, good if it was not found late before."""
    if failed:
        record_bad_outcome(router, job, endpoint)
    elif job.last_bad_endpoint != endpoint.name:
        record_outcome(router.loads, endpoint.name, endpoint.service, good=True)


def record_if_late(router: Router, job: Job, endpoint: Endpoint) -> None:
    """Count an answer of which nothing has come as bad after the route's target."""
    if job.stream_head is None and is_late(router, job):
        record_bad_outcome(router, job, endpoint)


def record_bad_outcome(router: Router, job: Job, endpoint: Endpoint) -> None:
    """Count an attempt as bad for its endpoint, once.

    Ejects the endpoint if it is an outlier now.
    """
    if job.last_bad_endpoint == endpoint.name:
        return
    job.last_bad_endpoint = endpoint.name
    service = endpoint.service
    record_outcome(router.loads, endpoint.name, service, good=False)
    names = [one.name for one in usable_endpoints(router.fleet_view, service)]
    if eject_outlier(router.loads, endpoint.name, service, names):
        record = get_state(router.loads, endpoint.name).record
        log_event(
            logger,
            "endpoint_passed_over",
            request=job.call.request_id,
            endpoint=endpoint.name,
            bad=round(record.bad, 1),
            good=round(record.good, 1),
        )


def time_to_target_ms(router: Router, job: Job) -> int | None:
    """Return the time until the current attempt takes longer than the route's target.

    0 from then on, None if the route has no target.
    """
    target_ms = job.route.target_ms
    if not target_ms:
        return None
    return max(0, job.sent_ms + target_ms + 1 - router.clock.now_ms())


def is_late(router: Router, job: Job) -> bool:
    """Check whether the current attempt has taken longer than the route's target.

    False if the route has no target.
    """
    return time_to_target_ms(router, job) == 0
