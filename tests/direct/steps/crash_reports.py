"""Steps that publish a router's crash reports to a store that forgets them."""

import asyncio
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when

from pulley_base import Clock, to_seconds
from pulley_direct.state.crash_log import CrashLog, apply_reports, record_own_loss
from pulley_direct.state.fleet_views import FleetView
from pulley_direct.state.models import CrashReports
from pulley_direct.store import crash_reports
from pulley_direct.store.store_calls import LeaseGranted, StoreCallRefused
from pulley_policy.crashes import list_quarantined
from pulley_policy.losses import Clearance, LostRequest, Suspect
from pulley_policy.probation import probation_left_ms

REFRESH_MS = 20
POLL_MS = 5
PART = "model/part/dead"
START_MS = 10_000
AGE_MS = 30_000
LOST = LostRequest("one", (Suspect(PART, 1), Suspect("request-1", 1)))


class FakeStore:
    """Takes reports under leases that have not ended; ``entry`` is the last one."""

    def __init__(self):
        self.leases: list[int] = []
        self.ended: set[int] = set()
        self.entry = None

    async def grant_lease(self, ttl_ms: int) -> LeaseGranted:
        """Grant a new lease."""
        self.leases.append(len(self.leases) + 1)
        return LeaseGranted(self.leases[-1], ttl_ms)

    async def report_crashes(self, reports, lease: int) -> None:
        """Keep an entry, or refuse it as its lease has ended."""
        if lease in self.ended:
            raise StoreCallRefused(404, "write", "store")
        self.entry = reports


def make_router(name: str, store: FakeStore):
    """Return what ``publish_reports`` needs of a router."""
    clock = Clock(store_time)
    return SimpleNamespace(
        clock=clock,
        settings=SimpleNamespace(instance=name),
        fleet_view=FleetView(clock),
    )


def store_time() -> int:
    """Return the time in ms, which the scenarios don't depend on."""
    return 1_000


async def wait_for_entry(store: FakeStore, limit_s: float = 5.0):
    """Return the entry in the store once there is one, None after the limit."""
    try:
        async with asyncio.timeout(limit_s):
            while store.entry is None:
                await asyncio.sleep(to_seconds(POLL_MS))
    except TimeoutError:
        return None
    return store.entry


@given("a router that has written a report of a request lost in a crash")
def make_store(context):
    context.store = FakeStore()
    context.router = make_router("router-1", context.store)


@when("the report is removed and its lease has ended")
def end_lease(context):
    store, router = context.store, context.router

    async def run():
        publishing = asyncio.create_task(crash_reports.publish_reports(store, router))
        record_own_loss(router.fleet_view.crash_log, LOST, router.clock.now_ms())
        assert await wait_for_entry(store) is not None
        store.ended, store.entry = set(store.leases), None
        context.entry = await wait_for_entry(store)
        publishing.cancel()

    interval = {"REFRESH_INTERVAL_MS": REFRESH_MS}
    with patch.multiple(crash_reports, create=True, **interval):
        asyncio.run(run())


@then("the report is written again under another lease within 5 s")
def check_entry(context):
    assert context.entry is not None, "not written again"
    assert context.entry.lost == (LOST,), context.entry
    assert len(context.store.leases) == 2, context.store.leases


@given("a router that has read reports that quarantine a part")
def make_keeper(context):
    make_store(context)
    crash_log = context.router.fleet_view.crash_log
    second = Suspect(PART, 2), Suspect("request-2", 1)
    lost = LOST, LostRequest("two", second, age_ms=AGE_MS)
    apply_reports(crash_log, CrashReports("router-2", lost, ()), store_time())


@when("its publishing goes on for a while")
def publish(context):
    publish_until(context, lambda: None)


@when("its publishing goes on for a while, and then the part is cleared")
def publish_and_clear(context):
    cleared = CrashReports("router-3", (), (Clearance(PART, ("one", "two")),))
    crash_log = context.router.fleet_view.crash_log
    publish_until(context, lambda: apply_reports(crash_log, cleared, store_time()))


def publish_until(context, change) -> None:
    """Publish reports, make a change and keep the entry that follows it."""
    store, router = context.store, context.router

    async def run():
        publishing = asyncio.create_task(crash_reports.publish_reports(store, router))
        await wait_for_entry(store)
        change()
        store.entry = None
        context.entry = await wait_for_entry(store)
        publishing.cancel()

    interval = {"REFRESH_INTERVAL_MS": REFRESH_MS}
    with patch.multiple(crash_reports, create=True, **interval):
        asyncio.run(run())


@then("a router that starts on its entry refuses the part with the same hold")
def check_started(context):
    evidence = start_on_entry(context).evidence
    found = list_quarantined(evidence, START_MS)
    assert found == [PART], found
    kept = context.router.fleet_view.crash_log.evidence
    expected = probation_left_ms(kept, PART, store_time())
    assert probation_left_ms(evidence, PART, START_MS) == expected > 0


@then("a router that starts on its entry refuses nothing")
def check_free(context):
    assert list_quarantined(start_on_entry(context).evidence, START_MS) == []


def start_on_entry(context) -> CrashLog:
    """Return the crash log of a router that starts and reads the entry."""
    assert context.entry is not None, "no entry was written"
    crash_log = CrashLog()
    apply_reports(crash_log, context.entry, START_MS)
    return crash_log


@given("a router that has read reports that quarantine {n:d} requests")
def make_busy_keeper(context, n):
    make_store(context)
    lost = tuple(
        LostRequest(f"crash-{number}-{depth}", (Suspect(f"lookup-{number}", depth),))
        for number in range(n)
        for depth in (1, 2, 3)
    )
    crash_log = context.router.fleet_view.crash_log
    apply_reports(crash_log, CrashReports("router-2", lost, ()), store_time())
    assert len(list_quarantined(crash_log.evidence, store_time())) == n


@when("it loses a request in a crash, and its publishing goes on for a while")
def lose_and_publish(context):
    crash_log = context.router.fleet_view.crash_log
    publish_until(context, lambda: record_own_loss(crash_log, LOST, store_time()))


@then("that loss is in its entry, and at most {most:d} reports in all")
def check_own(context, most):
    lost = context.entry.lost
    assert len(lost) <= most, len(lost)
    assert LOST in lost, f"not among {len(lost)} reports"


@given("a router that has read two reports of one prompt, whose part is cleared")
def make_keeper_of_request(context):
    make_store(context)
    lost = tuple(
        LostRequest(crash, (Suspect(PART, depth), Suspect("request-1", depth)))
        for depth, crash in enumerate(("one", "two"), 1)
    )
    cleared = (Clearance(PART, ("one", "two")),)
    crash_log = context.router.fleet_view.crash_log
    apply_reports(crash_log, CrashReports("router-2", lost, cleared), store_time())
    assert list_quarantined(crash_log.evidence, store_time()) == ["request-1"]


@then("a router that starts on its entry refuses that request")
def check_request(context):
    found = list_quarantined(start_on_entry(context).evidence, START_MS)
    assert found == ["request-1"], found


@given("a router that has read reports of a part, one request of which is cleared")
def make_keeper_of_cleared(context):
    make_store(context)
    lost = [
        LostRequest(crash, (Suspect(PART, depth), Suspect("request-1", depth)))
        for depth, crash in enumerate(("one", "two"), 1)
    ]
    lost.append(LostRequest("three", (Suspect(PART, 3), Suspect("request-2", 1))))
    cleared = (Clearance("request-1", ("one", "two")),)
    entry = CrashReports("router-2", tuple(lost), cleared)
    crash_log = context.router.fleet_view.crash_log
    apply_reports(crash_log, entry, store_time())
    assert list_quarantined(crash_log.evidence, store_time()) == [PART]
