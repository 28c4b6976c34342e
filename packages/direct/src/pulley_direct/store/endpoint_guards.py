"""Reads of the endpoints alone, when the store's newest word comes late.

A configuration may be a thousand times larger than what the store says of an endpoint
that leaves. On a narrow link, or as configurations follow each other, that word would
wait behind them for seconds.
"""

import asyncio
import logging
from random import uniform

from pulley_base import PulleyError, log_event, to_seconds

from ..state.fleet_views import FleetView, configuration_age_ms
from .beliefs import replace_endpoints
from .positions import Follower

logger = logging.getLogger(__name__)

# The part of the time within which a change must be in force after which the endpoints
# are read by themselves. Enough is left for the read and for a request's way.
MAX_AGE_SHARE = 0.65
# Routers that fall behind at the same moment read at different times.
JITTER = 0.2
MIN_WAIT_MS = 20
# After a read that failed, or while none may help, it is tried again after this part.
RETRY_SHARE = 0.08


async def guard_endpoints(follower: Follower) -> None:
    """Read the endpoints whenever the store's word is old, as long as the task runs."""
    max_age_ms = follower.in_force_ms * MAX_AGE_SHARE
    retry_ms = max(MIN_WAIT_MS, follower.in_force_ms * RETRY_SHARE)
    read_ms = follower.clock.now_ms()
    while True:
        known_ms = max(follower.fleet_view.confirmed_ms or 0, read_ms)
        due_ms = known_ms + max_age_ms * uniform(1.0 - JITTER, 1.0)
        left_ms = due_ms - follower.clock.now_ms()
        if left_ms > 0:
            await asyncio.sleep(to_seconds(max(left_ms, MIN_WAIT_MS)))
            continue
        started_ms = follower.clock.now_ms()
        if may_read(follower.fleet_view) and await read_endpoints(follower):
            read_ms = started_ms
        else:
            await asyncio.sleep(to_seconds(retry_ms * uniform(1.0, 1.0 + JITTER)))


def may_read(fleet_view: FleetView) -> bool:
    """Check whether a read may help: not before the first one, nor in an outage."""
    return fleet_view.confirmed_ms is not None and fleet_view.failing_since_ms is None


async def read_endpoints(follower: Follower) -> bool:
    """Read and apply what the store says of endpoints and evacuations.

    Returns whether it answered.
    """
    started_ms = follower.clock.now_ms()
    try:
        changes = await follower.store.read_endpoints()
    except PulleyError as error:
        log_event(logger, "endpoints_unread", error=str(error))
        return False
    if follower.progress.era is not None and changes.era != follower.progress.era:
        # The store was restored, or does not say: a full read tells what holds.
        return True
    replace_endpoints(follower.fleet_view, changes.entries, changes.revision)
    log_event(
        logger,
        "endpoints_read",
        age_ms=configuration_age_ms(follower.fleet_view),
        took_ms=follower.clock.now_ms() - started_ms,
    )
    return True
