"""The router's own entry in the store, kept alive by a lease."""

import asyncio
import logging

from pulley_base import PulleyError, log_event, to_seconds

from .routers import Router
from .store_calls import StoreClient

logger = logging.getLogger(__name__)

# A router that has stopped still counts for this long; its share of the retry budget
# is unused in that time.
LEASE_TTL_MS = 30_000
# Two renewals may fail before the lease expires.
RENEW_INTERVAL_MS = 9_000
RETRY_DELAY_MS = 1_000


async def announce(store: StoreClient, router: Router) -> None:
    """Keep this router's entry in the store for as long as the task runs."""
    lease = None
    while True:
        try:
            lease = await renew_entry(store, router, lease)
            await asyncio.sleep(to_seconds(RENEW_INTERVAL_MS))
        except PulleyError as error:
            log_event(logger, "announcement_failed", error=str(error), lease=lease)
            await asyncio.sleep(to_seconds(RETRY_DELAY_MS))


async def renew_entry(store: StoreClient, router: Router, lease: int | None) -> int:
    """Renew the lease, or grant a new one and write the entry; return the lease."""
    if lease is not None and await store.renew_lease(lease):
        return lease
    settings = router.settings
    ttl_ms = max(LEASE_TTL_MS, settings.store_min_ttl_ms)
    granted = await store.grant_lease(ttl_ms)
    address = f"{settings.ip}:{settings.peer_ports[0]}"
    await store.announce(settings.instance, address, granted.lease)
    return granted.lease
