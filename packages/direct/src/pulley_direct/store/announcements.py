"""The router's own entry in the store, kept alive by a lease."""

import asyncio
import logging
from random import uniform

from pulley_base import PulleyError, log_event, to_seconds

from ..state.fleet_views import FleetView, sharing_routers
from ..state.models import RouterEntry
from ..state.routers import Router
from ..state.signals import wait_until
from .store_calls import StoreClient

logger = logging.getLogger(__name__)

# A router that has stopped still counts for this long; its share of the retry budget
# is unused in that time.
LEASE_TTL_MS = 30_000
# Two renewals may fail before the lease expires.
RENEW_INTERVAL_MS = 9_000
RETRY_DELAY_MS = 1_000
# The first read of the store takes less, if it answers at all.
READ_WAIT_MS = 2_000
# After a restore all routers write their entries again, each with two calls.
REWRITES_PER_S = 100
MS_PER_S = 1_000


async def announce(store: StoreClient, router: Router) -> None:
    """Keep this router's entry in the store for as long as the task runs.

    A restored store may have lost it, and given the lease to somebody else.
    """
    fleet_view = router.fleet_view
    lease, n_restores = None, fleet_view.n_restores
    await wait_until(
        fleet_view.confirmed, lambda: fleet_view.confirmed_ms is not None, READ_WAIT_MS
    )
    adopt_key(router)
    while True:
        if fleet_view.n_restores > n_restores:
            lease, n_restores = None, fleet_view.n_restores
            await asyncio.sleep(to_seconds(draw_rewrite_delay_ms(fleet_view)))
        try:
            lease = await renew_entry(store, router, lease)
            await wait_restored(fleet_view, n_restores, RENEW_INTERVAL_MS)
        except PulleyError as error:
            log_event(logger, "announcement_failed", error=str(error), lease=lease)
            await asyncio.sleep(to_seconds(RETRY_DELAY_MS))


def adopt_key(router: Router) -> None:
    """Keep the key of this router's entry from before its start, if there is one.

    Others know that key already.
    """
    known = router.fleet_view.routers.get(router.settings.instance)
    if known is not None and known.key and router.peer_key:
        router.peer_key = known.key


async def wait_restored(
    fleet_view: FleetView, n_restores: int, timeout_ms: int
) -> None:
    """Wait until the store was restored more than ``n_restores`` times."""
    await wait_until(
        fleet_view.restored,
        lambda: fleet_view.n_restores > n_restores,
        timeout_ms,
    )


def draw_rewrite_delay_ms(fleet_view: FleetView) -> float:
    """Return how long to wait before a lost entry is written again, in ms."""
    n_routers = len(sharing_routers(fleet_view))
    return uniform(0, n_routers * MS_PER_S / REWRITES_PER_S)


def has_own_entry(router: Router) -> bool:
    """Check whether the store holds this router's own entry, as far as is known.

    A late write of a process before it may have replaced that one.
    """
    listed = router.fleet_view.routers.get(router.settings.instance)
    return listed is None or listed.key == router.peer_key


async def renew_entry(store: StoreClient, router: Router, lease: int | None) -> int:
    """Renew the lease, or grant a new one and write the entry; return the lease."""
    is_written = lease is not None and has_own_entry(router)
    if is_written and await store.renew_lease(lease):
        return lease
    settings = router.settings
    ttl_ms = max(LEASE_TTL_MS, settings.store_min_ttl_ms)
    granted = await store.grant_lease(ttl_ms)
    address = f"{settings.ip}:{settings.peer_ports[0]}"
    entry = RouterEntry(
        settings.instance,
        address,
        settings.data_centre,
        router.peer_key,
        settings.limits.link_mbps,
    )
    await store.announce(entry, granted.lease)
    return granted.lease
