"""Rates that endpoints name in their answers or take while cold, from all routers.

Each router keeps to its own part of such a rate, see ``pulley_policy.rate_shares``.
"""

import logging
from random import random

from pulley_base import ABSENT, UNKNOWN, Sentinel, log_event, warn_event
from pulley_policy.buckets import MS_PER_S
from pulley_policy.rate_shares import (
    SenderAllowance,
    allow_one,
    choose_role,
    sends_in_ms,
    take_request,
    update_allowance,
)

from ..peers.gossip import tell_limit, tell_limit_ended
from ..state.fleet_views import sharing_routers
from ..state.loads import RateLimit, get_state
from ..state.models import Endpoint
from ..state.routers import Router
from .budgets import count_routers
from .cold_starts import cold_rate_per_s

logger = logging.getLogger(__name__)

FIRST_ERROR_STATUS = 400
# The longest key, in bytes, that ranks routers for an endpoint.
MAX_KEY_BYTES = 64
# How often a router's part of a rate follows the number of routers.
SHARE_INTERVAL_MS = 2_000
# A peer's word on an endpoint counts only if the router itself has heard nothing from
# the endpoint for this long: datagrams may be late.
FIRST_HAND_MS = 1_000


def hear_limit(
    router: Router, endpoint: Endpoint, status: int, rate_limit: float | Sentinel
) -> None:
    """Record and tell the limit that an endpoint names in an answer, or that it ends.

    An error that names none does not end a limit, and one that can't be read changes
    nothing.
    """
    if rate_limit is UNKNOWN:
        warn_event(logger, "limit_unreadable", endpoint=endpoint.name)
    elif rate_limit is not ABSENT:
        limit = record_limit(router, endpoint, rate_limit)
        limit.heard_ms = router.clock.now_ms()
        tell_limit(router, endpoint, limit)
    elif status < FIRST_ERROR_STATUS and current_limit(router, endpoint) is not None:
        end_limit(router, endpoint)
        tell_limit_ended(router, endpoint)


def hear_peer_limit(router: Router, endpoint: Endpoint, rate_per_s: float) -> None:
    """Record a limit of which a peer has heard."""
    limit = current_limit(router, endpoint)
    if limit is None or is_second_hand(router, limit):
        record_limit(router, endpoint, rate_per_s)


def hear_peer_limit_ended(router: Router, endpoint: Endpoint) -> None:
    """Allow one request to an endpoint whose limit has ended, as a peer tells.

    Its answer shows whether that is so.
    """
    limit = current_limit(router, endpoint)
    if limit is not None and is_second_hand(router, limit):
        allow_one(limit.allowance, router.clock.now_ms())


def is_second_hand(router: Router, limit: RateLimit) -> bool:
    """Check that a limit was not heard from the endpoint itself lately."""
    return router.clock.now_ms() - limit.heard_ms >= FIRST_HAND_MS


def current_limit(router: Router, endpoint: Endpoint) -> RateLimit | None:
    """Return the limit that this start of an endpoint has named, None without one."""
    state = router.loads.states.get(endpoint.name)
    limit = None if state is None else state.limit
    if limit is None or limit.started_ms != endpoint.started_ms:
        return None
    return limit


def record_limit(router: Router, endpoint: Endpoint, rate_per_s: float) -> RateLimit:
    """Record the rate that an endpoint takes; log it if there was no limit before."""
    limit = current_limit(router, endpoint)
    if limit is None:
        limit = RateLimit(rate_per_s, endpoint.started_ms)
        get_state(router.loads, endpoint.name).limit = limit
        update_share(router, endpoint, limit)
        log_limit(router, endpoint, limit)
    elif limit.rate_per_s != rate_per_s:
        limit.rate_per_s = rate_per_s
        update_share(router, endpoint, limit)
    return limit


def update_share(router: Router, endpoint: Endpoint, limit: RateLimit) -> None:
    """Work out this router's part of a limit."""
    now_ms = router.clock.now_ms()
    role = choose_role(
        limit.rate_per_s,
        endpoint.name.encode()[:MAX_KEY_BYTES],
        router.settings.instance,
        sharing_routers(router.fleet_view),
        count_sharing_routers(router),
    )
    limit.allowance = update_allowance(limit.allowance, role, now_ms, random)
    limit.shared_ms = now_ms


def count_sharing_routers(router: Router) -> int:
    """Return how many routers share a limit; more than are known just after a start."""
    routers = sharing_routers(router.fleet_view)
    return (
        len(routers) if router.settings.instance in routers else count_routers(router)
    )


def log_limit(router: Router, endpoint: Endpoint, limit: RateLimit) -> None:
    log_event(
        logger,
        "endpoint_limited",
        endpoint=endpoint.name,
        service=endpoint.service,
        rate_per_s=limit.rate_per_s,
        n_routers=count_sharing_routers(router),
        is_sender=isinstance(limit.allowance, SenderAllowance),
    )


def end_limit(router: Router, endpoint: Endpoint) -> None:
    """Record that an endpoint names no limit any more."""
    get_state(router.loads, endpoint.name).limit = None
    log_event(logger, "endpoint_limit_ended", endpoint=endpoint.name)


def cold_limit(router: Router, endpoint: Endpoint) -> RateLimit | None:
    """Return the limit of an endpoint that is cold, None if it is not."""
    rate_per_s = cold_rate_per_s(router.fleet_view, endpoint)
    state = router.loads.states.get(endpoint.name)
    if rate_per_s is None:
        if state is not None:
            state.cold_limit = None
        return None
    state = get_state(router.loads, endpoint.name)
    limit = state.cold_limit
    if limit is None or limit.rate_per_s != rate_per_s:
        limit = state.cold_limit = RateLimit(rate_per_s, endpoint.started_ms)
        update_share(router, endpoint, limit)
    return limit


def list_limits(router: Router, endpoint: Endpoint) -> list[RateLimit]:
    """Return the limits that hold for an endpoint: its own, and that of a cold one."""
    limits = current_limit(router, endpoint), cold_limit(router, endpoint)
    return [limit for limit in limits if limit is not None]


def limit_left_ms(router: Router, endpoint: Endpoint) -> float:
    """Return when this router may send to an endpoint, in ms from now; 0 if at once."""
    now_ms = router.clock.now_ms()
    left_ms = 0.0
    for limit in list_limits(router, endpoint):
        if now_ms - limit.shared_ms >= SHARE_INTERVAL_MS:
            update_share(router, endpoint, limit)
        left_ms = max(left_ms, sends_in_ms(limit.allowance, now_ms))
    return left_ms


def fleet_left_ms(router: Router, endpoint: Endpoint) -> float:
    """Return when some router may send to an endpoint, in ms from now; 0 if at once."""
    left_ms = limit_left_ms(router, endpoint)
    rates = [limit.rate_per_s for limit in list_limits(router, endpoint)]
    if not rates or not min(rates):
        return left_ms
    return min(left_ms, MS_PER_S / min(rates))


def count_request(router: Router, endpoint: Endpoint) -> None:
    """Count a request that is about to be sent against its endpoint's limit."""
    for limit in list_limits(router, endpoint):
        take_request(limit.allowance, router.clock.now_ms())
