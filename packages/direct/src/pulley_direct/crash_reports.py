"""The router's own crash reports in the store, under a lease that is not renewed."""

import asyncio
import logging
from dataclasses import dataclass

from pulley_base import Clock, PulleyError, log_event, to_seconds, wall_time_ms
from pulley_policy.crashes import HOLD_MS

from .crash_log import CrashLog
from .models import CrashReports
from .routers import Router
from .store_calls import StoreCallRefused, StoreClient

logger = logging.getLogger(__name__)

# A lease is reused for later reports while these still hold for long enough.
LEASE_TTL_MS = 2 * HOLD_MS
# Reports that follow each other are written together.
MIN_WRITE_INTERVAL_MS = 100
RETRY_DELAY_MS = 500
NOT_FOUND_STATUS = 404


@dataclass(frozen=True, slots=True)
class ReportLease:
    """A lease for reports, and the clock reading in ms up to which it is reused."""

    id: int
    reuse_until_ms: int


async def publish_reports(store: StoreClient, router: Router) -> None:
    """Write this router's reports to the store whenever they change.

    The entry's name holds the time of the router's start: the reports of an earlier
    process of this router stay until they lapse.
    """
    crash_log = router.fleet_view.crash_log
    started_ms = Clock(wall_time_ms).now_ms()
    name = f"{router.settings.instance}.{started_ms}"
    lease = None
    while True:
        while not crash_log.pending:
            await crash_log.changed.wait()
        try:
            lease = await write_reports(store, router, crash_log, name, lease)
            await asyncio.sleep(to_seconds(MIN_WRITE_INTERVAL_MS))
        except PulleyError as error:
            log_event(logger, "crash_reports_not_written", error=str(error))
            crash_log.pending = True
            if is_lease_lost(error):
                lease = None
            await asyncio.sleep(to_seconds(RETRY_DELAY_MS))


async def write_reports(
    store: StoreClient,
    router: Router,
    crash_log: CrashLog,
    name: str,
    lease: ReportLease | None,
) -> ReportLease:
    """Write the entry, under a new lease if there is none that lasts long enough."""
    now_ms = router.clock.now_ms()
    if lease is None or lease.reuse_until_ms <= now_ms:
        granted = await store.grant_lease(LEASE_TTL_MS)
        lease = ReportLease(granted.lease, now_ms + granted.ttl_ms - HOLD_MS)
    crash_log.pending = False
    held = crash_log.evidence.reports
    crash_log.own_lost = [lost for lost in crash_log.own_lost if lost.id in held]
    crash_log.own_bare = [lost for lost in crash_log.own_bare if lost.id in held]
    own = tuple(crash_log.own_lost + crash_log.own_bare)
    reports = CrashReports(name, own, tuple(crash_log.own_cleared))
    await store.report_crashes(reports, lease.id)
    return lease


def is_lease_lost(error: PulleyError) -> bool:
    """Check whether the store refused a write because its lease has ended."""
    return isinstance(error, StoreCallRefused) and error.status == NOT_FOUND_STATUS
