"""Steps in which the store is restored from an older copy of itself."""

import asyncio
import json
from unittest.mock import AsyncMock, patch

from behave import given, then, when
from pulley_platform_standins.endpoints import list_endpoint, unlist_endpoint
from pulley_platform_standins.stores import (
    Lease,
    copy_store,
    put_item,
    restore_store,
)
from scenes import (
    ORDER,
    add_endpoint,
    call,
    publish,
    start_fixture,
    wait_until_synced,
)

from pulley_adapter import stores
from pulley_base import ProtocolError, to_seconds
from pulley_direct.endpoints import departures
from pulley_direct.endpoints.departures import usable_endpoints
from pulley_direct.state.crash_log import record_own_loss
from pulley_http import Client, Response
from pulley_policy.losses import LostRequest, Suspect

POLL_MS = 20
SOON_MS = 600
LIMIT_S = 20
N_WRITES = 12
REVOKE_MS = 1_200
DOUBT_MS = 1_500
LEASE_TTL_MS = 60_000


def read_era(text):
    """Return an era as the stand-in store takes it."""
    if text == "none":
        return None
    return int(text) if text.isdigit() else text


@given("a store whose era goes from {era} to {later}")
def note_eras(context, era, later):
    context.eras = read_era(era), read_era(later)


class Play:
    """A router, its store and a copy of that, in one scenario."""

    def __init__(self, context, fixture):
        self.fixture = fixture
        self.store = fixture.store
        self.store.era, self.next_era = context.eras
        self.copy = None

    def take_copy(self):
        self.copy = copy_store(self.store)

    def write_others(self, n=N_WRITES):
        """Write other keys, so that the counter goes on."""
        for number in range(n):
            put_item(self.store, f"other/{number}", b"")

    def restore(self):
        """Restore the store from the copy."""
        restore_store(self.store, self.copy)
        self.store.era = self.next_era

    async def add(self):
        """Start one more endpoint and wait until the router knows it."""
        endpoint = await add_endpoint(self.fixture, "shop-new", "shop")
        await wait_until_synced(self.fixture)
        return endpoint

    def uses(self, endpoint):
        """Return whether the router gives an endpoint new work."""
        usable = usable_endpoints(self.fixture.router.fleet_view, "shop")
        return endpoint.name in {one.name for one in usable}

    async def wait_for_use(self, endpoint, expected, limit_ms):
        """Wait until an endpoint is used, or no longer, for a while at most."""
        return await wait_for(lambda: self.uses(endpoint) == expected, limit_ms)


async def wait_for(condition, limit_ms):
    """Wait until a condition holds; return whether it does."""
    for _ in range(limit_ms // POLL_MS):
        if condition():
            return True
        await asyncio.sleep(to_seconds(POLL_MS))
    return condition()


def run_play(context, steps, **bounds):
    """Play some steps with a router that knows two endpoints."""

    async def run():
        async with asyncio.timeout(LIMIT_S), start_fixture(1, **bounds) as fixture:
            # The router has seen the first era.
            play = Play(context, fixture)
            await asyncio.sleep(to_seconds(SOON_MS))
            return await steps(play)

    return asyncio.run(run())


@when(
    "it is restored, and an endpoint that joined since the copy is listed and removed"
)
def remove_after(context):
    async def steps(play):
        play.take_copy()
        play.write_others()
        endpoint = await play.add()
        play.restore()
        list_endpoint(play.store, endpoint)
        await asyncio.sleep(to_seconds(SOON_MS))
        assert play.uses(endpoint)
        # Past the time in which its entry may be missing after an outage.
        await asyncio.sleep(to_seconds(departures.LAPSE_GRACE_MS))
        unlist_endpoint(play.store, endpoint)
        return await play.wait_for_use(endpoint, False, SOON_MS)

    context.found = run_play(context, steps)


@when("it is restored without an endpoint that is gone, and writes pass its revision")
def pass_revision(context):
    async def steps(play):
        play.take_copy()
        endpoint = await play.add()
        play.restore()
        play.write_others()
        limit_ms = departures.LAPSE_GRACE_MS + SOON_MS
        return await play.wait_for_use(endpoint, False, limit_ms)

    context.found = run_play(context, steps)


@then("that endpoint is no longer used")
@then("that endpoint is used at once")
@then("that endpoint is used all the while")
def check_found(context):
    assert context.found


async def leave_after_copy(play):
    """Let an endpoint leave that the copy lists; restore the store."""
    endpoint = await play.add()
    play.take_copy()
    play.write_others()
    unlist_endpoint(play.store, endpoint)
    assert await play.wait_for_use(endpoint, False, SOON_MS)
    play.restore()
    return endpoint


@when("it is restored to a copy that lists an endpoint that has left")
def list_removed(context):
    async def steps(play):
        endpoint = await leave_after_copy(play)
        early = await play.wait_for_use(endpoint, True, DOUBT_MS - SOON_MS)
        late = await play.wait_for_use(endpoint, True, 2 * SOON_MS)
        return early, late

    with patch.object(departures, "DOUBT_MS", DOUBT_MS):
        context.early, context.late = run_play(context, steps)


@then("that endpoint is not used until its entry must have lapsed")
def check_early(context):
    assert not context.early


@then("it is used then, if it is still listed")
def check_late(context):
    assert context.late


@when("it is restored to a copy that lists an endpoint that has left and starts again")
def start_again(context):
    async def steps(play):
        endpoint = await leave_after_copy(play)
        endpoint.started_ms += 1_000
        list_endpoint(play.store, endpoint)
        return await play.wait_for_use(endpoint, True, SOON_MS)

    context.found = run_play(context, steps)


@when("it is restored without an endpoint that writes its entry again after 1 s")
def write_again(context):
    async def steps(play):
        play.take_copy()
        endpoint = await play.add()
        play.restore()
        dropped = await play.wait_for_use(endpoint, False, 1_000)
        list_endpoint(play.store, endpoint)
        return not dropped and not await play.wait_for_use(endpoint, False, 2_500)

    context.found = run_play(context, steps)


def has_address(store):
    return any(key.startswith("pulley/routers/") for key in store.items)


def has_reports(store):
    rows = [
        json.loads(item.value)["lost"]
        for key, item in store.items.items()
        if key.startswith("pulley/crashes/")
    ]
    return any(rows)


ENTRIES = {"address": has_address, "crash reports": has_reports}


@when(
    "it is restored to a copy from before the router's {entry}, and others take leases"
)
def lose_entries(context, entry):
    context.is_there = ENTRIES[entry]

    async def steps(play):
        store, router = play.store, play.fixture.router
        assert await wait_for(lambda: has_address(store), SOON_MS)
        play.take_copy()
        taken = set(store.leases)
        for key in [key for key in store.items if key.startswith("pulley/")]:
            del play.copy.items[key]
        lost = LostRequest("crash", (Suspect("shop/request/1", 1),))
        record_own_loss(router.fleet_view.crash_log, lost, router.clock.now_ms())
        assert await wait_for(lambda: has_reports(store), SOON_MS)
        taken |= set(store.leases)
        play.restore()
        # Somebody else holds each lease that the router believes to be its own.
        for number in taken:
            expires_ms = store.clock.deadline_ms(LEASE_TTL_MS)
            store.leases[number] = Lease(LEASE_TTL_MS, expires_ms)
        assert not context.is_there(store)
        return await wait_for(lambda: context.is_there(store), context.limit_ms)

    context.steps = steps


@then("the {entry} is there again within {ms:d} ms")
def check_entry(context, entry, ms):
    context.limit_ms = ms
    assert run_play(context, context.steps)


@when("it is restored to a copy with an older configuration")
def restore_older(context):
    async def steps(play):
        fixture = play.fixture
        play.take_copy()
        publish(fixture, 5)
        await wait_until_synced(fixture)
        play.restore()
        await asyncio.sleep(to_seconds(REVOKE_MS + SOON_MS))
        version = fixture.router.fleet_view.configuration.version
        refused = await call(fixture, ORDER)
        publish(fixture, 5)
        await asyncio.sleep(to_seconds(SOON_MS))
        return version, refused, await call(fixture, ORDER, request_id="request-2")

    found = run_play(context, steps, revoke_ms=REVOKE_MS)
    context.version, context.refused, context.answer = found


@then("the newer one stays in force, and tokens are not accepted for long")
def check_in_force(context):
    assert context.version == 5, context.version
    found = context.refused.status, context.refused.header("pulley-reason")
    assert found == (503, "configuration-stale"), found


@then("they are accepted as soon as the newer one is written again")
@then("a request is answered")
def check_answered(context):
    assert context.answer.status == 200, context.answer


@when("it is restored and nothing has changed")
def restore_same(context):
    async def steps(play):
        play.take_copy()
        play.restore()
        await asyncio.sleep(to_seconds(SOON_MS))
        return await call(play.fixture, ORDER)

    context.answer = run_play(context, steps)


@when("a read of two pages gets answers of two eras")
def read_two(context):
    def page(era, key, more):
        item = {"key": key, "value": "", "revision": 1}
        document = {"items": [item], "morePages": more, "currentRev": 3}
        header = (b"store-era", str(era).encode())
        return Response(200, [header], json.dumps(document).encode())

    answers = [page(1, "a", True), page(2, "b", False)]
    store = stores.Store("127.0.0.1:1", Client())
    with patch.object(stores, "call_store", AsyncMock(side_effect=answers)):
        try:
            asyncio.run(stores.read_entries(store, stores.ALL_KEYS_PREFIX))
            context.error = None
        except ProtocolError as error:
            context.error = error


@then("the read fails and nothing of it counts")
def check_read(context):
    assert context.error is not None and context.error.step == "read_all"
