"""The crash reports that a router shares in the store, again while they hold."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import islice

from pulley_base import Clock, PulleyError, log_event, to_seconds, wall_time_ms
from pulley_policy.crashes import remove_expired
from pulley_policy.keepers import list_kept
from pulley_policy.losses import Clearance, Evidence, LostRequest
from pulley_policy.probation import find_place

from ..state.crash_log import (
    CLEARANCE_MS,
    MAX_OWN_BARE_REPORTS,
    MAX_OWN_REPORTS,
    CrashLog,
)
from ..state.models import CrashReports
from ..state.routers import Router
from ..state.signals import wait_until
from .store_calls import StoreCallRefused, StoreClient

logger = logging.getLogger(__name__)

# The longest lease that the store grants. It is reused for later writes while enough
# of it is left for some further ones to fail.
LEASE_TTL_MS = 600_000
MIN_LEASE_LEFT_MS = 450_000
# An entry may have been removed with its lease, as leases end while the store is down.
REFRESH_INTERVAL_MS = 150_000
# Reports that follow each other are written together.
MIN_WRITE_INTERVAL_MS = 100
RETRY_DELAY_MS = 500
# These own reports come before those that are kept for other routers.
MAX_FIRST_REPORTS = 24
NOT_FOUND_STATUS = 404


@dataclass(frozen=True, slots=True)
class ReportLease:
    """A lease for reports, and the clock reading in ms up to which it is reused.

    It was granted after ``n_restores`` restores of the store, and lost with the next.
    """

    id: int
    reuse_until_ms: int
    n_restores: int


async def publish_reports(store: StoreClient, router: Router) -> None:
    """Write this router's reports whenever they change, and again while they hold.

    The entry's name holds the time of the router's start: the reports of an earlier
    process of this router stay until they lapse.
    """
    crash_log = router.fleet_view.crash_log
    started_ms = Clock(wall_time_ms).now_ms()
    name = f"{router.settings.instance}.{started_ms}"
    lease = None
    while True:
        await wait_until(
            crash_log.changed, lambda: crash_log.pending, REFRESH_INTERVAL_MS
        )
        drop_expired(crash_log, router.clock.now_ms())
        if not (crash_log.pending or crash_log.own_cleared or list_shared(router)):
            continue
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
    if lease is None or not is_reusable(router, lease):
        lease = await grant_report_lease(store, router)
    crash_log.pending = False
    lost = list_shared(router)
    cleared = (*crash_log.own_cleared, *list_clearances(crash_log.evidence, lost))
    reports = CrashReports(name, lost, tuple(dict.fromkeys(cleared)))
    crash_log.sharing = bool(reports.lost)
    await store.report_crashes(reports, lease.id)
    return lease


def is_reusable(router: Router, lease: ReportLease) -> bool:
    """Check whether a lease lasts long enough, and the store still has it."""
    is_known = lease.n_restores == router.fleet_view.n_restores
    return is_known and router.clock.now_ms() < lease.reuse_until_ms


async def grant_report_lease(store: StoreClient, router: Router) -> ReportLease:
    """Return a new lease for this router's reports."""
    now_ms = router.clock.now_ms()
    n_restores = router.fleet_view.n_restores
    granted = await store.grant_lease(LEASE_TTL_MS)
    reuse_until_ms = now_ms + granted.ttl_ms - MIN_LEASE_LEFT_MS
    return ReportLease(granted.lease, reuse_until_ms, n_restores)


def list_shared(router: Router) -> tuple[LostRequest, ...]:
    """Return the reports that this router shares: its own, and those it keeps.

    Its newest own ones come first, as other routers may not know them yet.
    """
    crash_log = router.fleet_view.crash_log
    evidence = crash_log.evidence
    now_ms = router.clock.now_ms()
    place = find_place(router.settings.instance, router.fleet_view.routers)
    kept = list_kept(evidence, place, now_ms)
    own = list_own(crash_log)
    ranked = (*own[:MAX_FIRST_REPORTS], *kept, *own[MAX_FIRST_REPORTS:])
    shared = {lost.id: lost for lost in ranked}
    return tuple(
        describe_report(evidence, lost, now_ms)
        for lost in islice(shared.values(), MAX_OWN_REPORTS + MAX_OWN_BARE_REPORTS)
    )


def list_clearances(
    evidence: Evidence, lost: Iterable[LostRequest]
) -> Iterator[Clearance]:
    """Yield the requests that were cleared, each with the crashes it was lost in.

    A report is kept for all of its keys, and so tells also of a request that is sound.
    """
    crashes_by_request = defaultdict(list)
    for one in lost:
        if one.crash in evidence.cleared.get(one.request, ()):
            crashes_by_request[one.request].append(one.crash)
    for request, crashes in crashes_by_request.items():
        yield Clearance(request, tuple(crashes))


def list_own(crash_log: CrashLog) -> list[LostRequest]:
    """Return the router's own reports that hold, the newest first."""
    held = crash_log.evidence.reports
    own = (*reversed(crash_log.own_lost), *reversed(crash_log.own_bare))
    holding = (lost for lost in own if lost.id in held)
    return sorted(holding, key=lambda lost: held[lost.id].lost_ms, reverse=True)


def describe_report(evidence: Evidence, lost: LostRequest, now_ms: int) -> LostRequest:
    """Return a report with its age, as routers share no clock, and uncleared parts."""
    *parts, request = lost.suspects
    parts = [one for one in parts if lost.crash in evidence.depths.get(one.key, ())]
    age_ms = now_ms - evidence.reports[lost.id].lost_ms
    return replace(
        lost,
        suspects=(*parts, request),
        age_ms=age_ms,
        parts_cleared=not parts and not lost.bare,
    )


def drop_expired(crash_log: CrashLog, now_ms: int) -> None:
    """Drop this router's reports and clearances whose time is over."""
    evidence = crash_log.evidence
    remove_expired(evidence, now_ms)
    held = evidence.reports
    crash_log.own_lost = [lost for lost in crash_log.own_lost if lost.id in held]
    crash_log.own_bare = [lost for lost in crash_log.own_bare if lost.id in held]
    while crash_log.own_cleared:
        oldest = next(iter(crash_log.own_cleared))
        if now_ms - crash_log.own_cleared[oldest] < CLEARANCE_MS:
            return
        del crash_log.own_cleared[oldest]


def is_lease_lost(error: PulleyError) -> bool:
    """Check whether the store refused a write because its lease has ended."""
    return isinstance(error, StoreCallRefused) and error.status == NOT_FOUND_STATUS
