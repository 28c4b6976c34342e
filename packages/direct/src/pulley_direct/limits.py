"""Rates that endpoints name in their answers, for all routers together."""

import logging

from pulley_base import ABSENT, UNKNOWN, Sentinel, log_event, warn_event

from .loads import RateLimit, get_state
from .models import Endpoint
from .routers import Router

logger = logging.getLogger(__name__)

FIRST_ERROR_STATUS = 400


def hear_limit(
    router: Router, endpoint: Endpoint, status: int, rate_limit: float | Sentinel
) -> None:
    """Record the limit that an endpoint names in an answer, or that it names none.

    An error that names none does not end a limit, and one that can't be read changes
    nothing.
    """
    if rate_limit is UNKNOWN:
        warn_event(logger, "limit_unreadable", endpoint=endpoint.name)
    elif rate_limit is not ABSENT:
        record_limit(router, endpoint, rate_limit)
    elif status < FIRST_ERROR_STATUS:
        end_limit(router, endpoint)


def current_limit(router: Router, endpoint: Endpoint) -> RateLimit | None:
    """Return the limit that this start of an endpoint has named, None without one."""
    state = router.loads.states.get(endpoint.name)
    limit = None if state is None else state.limit
    if limit is None or limit.started_ms != endpoint.started_ms:
        return None
    return limit


def record_limit(router: Router, endpoint: Endpoint, rate_per_s: float) -> None:
    """Record the rate that an endpoint takes; log it if there was no limit before."""
    limit = current_limit(router, endpoint)
    if limit is not None:
        limit.rate_per_s = rate_per_s
        return
    state = get_state(router.loads, endpoint.name)
    state.limit = RateLimit(rate_per_s, endpoint.started_ms)
    log_event(
        logger,
        "endpoint_limited",
        endpoint=endpoint.name,
        service=endpoint.service,
        rate_per_s=rate_per_s,
    )


def end_limit(router: Router, endpoint: Endpoint) -> None:
    """Record that an endpoint names no limit any more."""
    if current_limit(router, endpoint) is None:
        return
    get_state(router.loads, endpoint.name).limit = None
    log_event(logger, "endpoint_limit_ended", endpoint=endpoint.name)
