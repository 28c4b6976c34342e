"""What the head of an answer tells of its endpoint: load, limit, pause, leaving."""

import logging

from pulley_base import log_event

from ..endpoints.departures import record_leaving
from ..endpoints.limits import hear_limit
from ..peers.gossip import tell_leaving, tell_load
from ..state.fleet_views import LeavingSource
from ..state.jobs import Job
from ..state.loads import close_endpoint, record_report
from ..state.models import AnswerMetadata, Endpoint
from ..state.routers import Router
from .rejections import MISDIRECTED_STATUS

logger = logging.getLogger(__name__)

UNAVAILABLE_STATUS = 503


def record_head(
    router: Router,
    job: Job,
    endpoint: Endpoint,
    status: int,
    metadata: AnswerMetadata,
) -> None:
    """Record what an answer's head says of its endpoint, and tell its load.

    Nothing, if another endpoint rejects the request as misdirected.
    """
    if status == MISDIRECTED_STATUS:
        return
    job.reported = metadata.load
    record_report(router.loads, endpoint.name, metadata.load)
    tell_load(router, job, endpoint)
    hear_limit(router, endpoint, status, metadata.rate_limit)
    if status == UNAVAILABLE_STATUS and metadata.retry_after_ms:
        record_pause(router, job, endpoint, metadata.retry_after_ms)


def record_pause(router: Router, job: Job, endpoint: Endpoint, asked_ms: int) -> None:
    """Record and log that an endpoint asked for no requests for a time in ms."""
    log_event(
        logger,
        "endpoint_closed",
        request=job.call.request_id,
        endpoint=endpoint.name,
        asked_ms=asked_ms,
        closed_ms=close_endpoint(router.loads, endpoint.name, asked_ms),
    )


def hear_leaving(
    router: Router, endpoint: Endpoint, status: int, metadata: AnswerMetadata
) -> None:
    """Record and tell that an endpoint said in an answer that it leaves.

    The one that rejects a request as misdirected is another one than was asked.
    """
    if not metadata.leaving or status == MISDIRECTED_STATUS:
        return
    if record_leaving(router.fleet_view, endpoint, LeavingSource.ANSWER):
        tell_leaving(router, endpoint)
