"""Routers that follow a store and each other, in simulated time, under faults.

They run the product's own following. The store and the ways between routers are
simulated: answers are lost, late and out of order, ways are cut, routers end and
start, the store falls silent, is deaf to watches, and is restored from a copy.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from random import Random

from virtual_loops import OrderedSignal

from pulley_base import Clock, TimedOut, to_seconds
from pulley_direct.peers.relay_messages import decode_answer, encode_answer
from pulley_direct.peers.relays import (
    ANSWER_GRACE_SHARE,
    STORE_AWAY_STATUS,
    RelayRefused,
    wait_for_changes,
)
from pulley_direct.requests.trust import TOKEN_AGE_SHARE
from pulley_direct.state.fleet_views import FleetView, configuration_age_ms
from pulley_direct.state.mirrors import StoredItem
from pulley_direct.state.models import (
    Configuration,
    Endpoint,
    RouterEntry,
    RouterRemoved,
)
from pulley_direct.store.followers import follow_store
from pulley_direct.store.positions import Watchers
from pulley_direct.store.store_calls import HISTORY_LOST, Changes, StoreClient
from pulley_http import Limits
from pulley_policy.watchers import Member, derive_times

CONFIGURATION_KEY = "configuration"
ROUTER_PREFIX = "routers/"
IN_FORCE_MS = 2_000
REVOKE_MS = 3_000
TIMES = derive_times(IN_FORCE_MS)
CALL_TIMEOUT_MS = 1_000
ASK_TIMEOUT_MS = int(TIMES.answer_wait_ms * (1 + ANSWER_GRACE_SHARE))
CHECK_INTERVAL_MS = 50
DEAF_MS = 1_000
USUAL_DELAY_MS = 20
# A router that reaches the store is current after this time, whatever others do.
SETTLED_MS = 2 * IN_FORCE_MS


class PromiseBroken(AssertionError):
    """A router did what no router may do."""


@dataclass(slots=True)
class SimulatedStore:
    """The store's items and history; ``acknowledged`` are versions and their times.

    ``n_calls`` counts the routers' calls.
    """

    clock: Clock
    items: dict[str, StoredItem] = field(default_factory=dict)
    history: list[StoredItem] = field(default_factory=list)
    revision: int = 1
    oldest: int = 1
    era: int = 1
    silent: bool = False
    deaf: bool = False
    cut_off: set[str] = field(default_factory=set)
    n_calls: int = 0
    version: int = 0
    acknowledged: deque = field(default_factory=deque)

    def put(self, key: str, value: bytes | None) -> None:
        """Write or remove one key."""
        if value is None and key not in self.items:
            return
        self.revision += 1
        item = StoredItem(key, value, self.revision)
        self.history.append(item)
        if value is None:
            del self.items[key]
        else:
            self.items[key] = item

    def publish(self) -> None:
        """Write a configuration that takes away all tokens of the ones before."""
        self.version += 1
        self.put(CONFIGURATION_KEY, str(self.version).encode())
        self.acknowledged.append((self.clock.now_ms(), self.version))


@dataclass(slots=True)
class SimulatedRouter:
    """One start of a router; ``highest`` is the newest version that it had in force.

    ``disturbed_ms`` is when it was started, or cut off the store last.
    """

    name: str
    key: str
    clock: Clock
    view: FleetView
    task: asyncio.Task | None = None
    highest: int = 0
    disturbed_ms: int = 0


@dataclass(slots=True)
class SimulatedFleet:
    """The store, the routers, and which of them don't hear each other.

    ``disturbed_ms`` is when a fault of the store or of all ways was last there.
    ``max_delay_ms`` is the longest way of a message, ``n_centres`` the number of data
    centres; without ``share`` each router watches the store for itself.
    """

    random: Random
    clock: Clock
    store: SimulatedStore
    routers: dict[str, SimulatedRouter] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    max_delay_ms: int = USUAL_DELAY_MS
    disturbed_ms: int = 0
    n_starts: int = 0
    n_centres: int = 2
    share: bool = True


def decode_item(item: StoredItem):
    """Return the entry of an item."""
    if item.key == CONFIGURATION_KEY:
        return Configuration(int(item.value), (), {}, Limits(), {}, needs_token=True)
    name = item.key.removeprefix(ROUTER_PREFIX)
    if item.value is None:
        return RouterRemoved(name)
    centre, key = item.value.decode().split(" ")
    return RouterEntry(name, f"10.0.0.1:{1}", centre, key)


async def decode_items(items):
    await asyncio.sleep(0)
    return list(map(decode_item, items))


async def travel(fleet: SimulatedFleet) -> None:
    """Let a message be on its way."""
    await asyncio.sleep(to_seconds(fleet.random.uniform(0.2, fleet.max_delay_ms)))


async def reach_store(fleet: SimulatedFleet, name: str) -> None:
    """Let a call of a router arrive at the store, or time out."""
    fleet.store.n_calls += 1
    await travel(fleet)
    if fleet.store.silent or name in fleet.store.cut_off:
        await asyncio.sleep(to_seconds(CALL_TIMEOUT_MS))
        raise TimedOut("no answer in time", step="store")


def connect(fleet: SimulatedFleet, name: str) -> StoreClient:
    """Return a router's calls to the simulated store."""
    store = fleet.store

    async def read_all():
        await reach_store(fleet, name)
        items = tuple(store.items.values())
        changes = Changes(tuple(map(decode_item, items)), store.revision, store.era)
        await travel(fleet)
        return Changes(changes.entries, changes.revision, changes.era, items)

    async def read_endpoints():
        found = await read_all()
        entries = [one for one in found.entries if isinstance(one, Endpoint)]
        return Changes(tuple(entries), found.revision, found.era)

    async def read_revision():
        await reach_store(fleet, name)
        found = Changes((), store.revision, store.era)
        await travel(fleet)
        return found

    async def watch(revision, wait_ms, hear_answer):
        await reach_store(fleet, name)
        end_ms = fleet.clock.now_ms() + wait_ms
        era = store.era
        while True:
            if store.era != era or not store.oldest <= revision <= store.revision:
                return HISTORY_LOST
            items = [] if store.deaf else find_changes(store, revision)
            if items or fleet.clock.now_ms() >= end_ms:
                break
            await asyncio.sleep(to_seconds(5))
        found = store.revision, store.era
        await travel(fleet)
        hear_answer()
        await travel(fleet)
        entries = tuple(await decode_items(items))
        return Changes(entries, *found, tuple(items))

    return StoreClient(
        read_all=read_all,
        read_endpoints=read_endpoints,
        watch=watch,
        grant_lease=None,
        renew_lease=None,
        announce=None,
        report_crashes=None,
        read_revision=read_revision,
        decode=decode_items,
        move=None,
    )


def find_changes(store: SimulatedStore, revision: int) -> list[StoredItem]:
    return [item for item in store.history if item.revision > revision]


async def ask(fleet: SimulatedFleet, asker: SimulatedRouter, entry: RouterEntry, after):
    """Ask another router, as over a connection whose parts may be slow or cut."""

    async def exchange():
        await travel(fleet)
        target = fleet.routers.get(entry.name)
        if target is None or (asker.name, entry.name) in fleet.cuts:
            await asyncio.Event().wait()
        if target.key != entry.key:
            raise RelayRefused(403, entry.name)
        read_ms = target.clock.now_ms()
        answer = await wait_for_changes(target.view, TIMES, after, read_ms)
        await travel(fleet)
        if (entry.name, asker.name) in fleet.cuts:
            await asyncio.Event().wait()
        if answer is None:
            is_failing = target.view.failing_since_ms is not None
            raise RelayRefused(STORE_AWAY_STATUS if is_failing else 409, entry.name)
        return decode_answer(encode_answer(answer))

    try:
        async with asyncio.timeout(to_seconds(ASK_TIMEOUT_MS)):
            return await exchange()
    except TimeoutError as error:
        raise TimedOut("no answer in time", step="follow") from error


def start_router(fleet: SimulatedFleet, name: str) -> None:
    """Start a router, or start it again; its clock differs from all others."""
    stop_router(fleet, name)
    fleet.n_starts += 1
    offset_ms = fleet.random.randrange(10**9)
    clock = Clock(lambda: fleet.clock.now_ms() + offset_ms)
    centre = find_centre(fleet, name)
    router = SimulatedRouter(
        name,
        f"key-{fleet.n_starts}",
        clock,
        make_view(clock),
        disturbed_ms=fleet.clock.now_ms(),
    )
    watchers = Watchers(
        Member(name, centre), lambda entry, after: ask(fleet, router, entry, after)
    )
    following = follow_store(
        connect(fleet, name),
        router.view,
        clock,
        IN_FORCE_MS,
        watchers if fleet.share else None,
    )
    router.task = asyncio.get_running_loop().create_task(following)
    fleet.routers[name] = router
    fleet.store.put(ROUTER_PREFIX + name, f"{centre} {router.key}".encode())


def make_view(clock: Clock) -> FleetView:
    """Return what a router knows as it starts; its tasks wake in a fixed order."""
    return FleetView(
        clock,
        changed=OrderedSignal(),
        confirmed=OrderedSignal(),
        restored=OrderedSignal(),
    )


def find_centre(fleet: SimulatedFleet, name: str) -> str:
    """Return the data centre of a router."""
    return f"centre-{sum(name.encode()) % fleet.n_centres}"


def stop_router(fleet: SimulatedFleet, name: str) -> None:
    """End a router; its entry stays."""
    router = fleet.routers.pop(name, None)
    if router is not None:
        router.task.cancel()


def check_promises(fleet: SimulatedFleet) -> None:
    """Raise PromiseBroken if a router does what it may not do at this moment."""
    now_ms = fleet.clock.now_ms()
    note_disturbance(fleet, now_ms)
    due_removed = newest_version(fleet.store, now_ms - REVOKE_MS)
    due_in_force = newest_version(fleet.store, now_ms - IN_FORCE_MS)
    for router in fleet.routers.values():
        configuration = router.view.configuration
        version = 0 if configuration is None else configuration.version
        if version < router.highest:
            raise PromiseBroken(f"{router.name} went back to {version}")
        router.highest = version
        age_ms = configuration_age_ms(router.view)
        accepts = age_ms is not None and age_ms <= REVOKE_MS * TOKEN_AGE_SHARE
        if accepts and version < due_removed:
            raise PromiseBroken(
                f"{router.name} accepts tokens of {version} at {now_ms}, "
                f"{due_removed} took them away"
            )
        calm_ms = now_ms - max(fleet.disturbed_ms, router.disturbed_ms)
        if calm_ms > SETTLED_MS and version < due_in_force:
            raise PromiseBroken(f"{router.name} has {version}, not {due_in_force}")
        if calm_ms > SETTLED_MS and not accepts:
            raise PromiseBroken(f"{router.name} accepts no tokens in calm times")
        if router.view.n_restores >= fleet.store.era:
            raise PromiseBroken(f"{router.name} saw restores that did not happen")


def note_disturbance(fleet: SimulatedFleet, now_ms: int) -> None:
    """Record what disturbs all routers, or one, at this moment."""
    store = fleet.store
    if store.silent or store.deaf or fleet.max_delay_ms > USUAL_DELAY_MS:
        fleet.disturbed_ms = now_ms
    for name in store.cut_off & fleet.routers.keys():
        fleet.routers[name].disturbed_ms = now_ms


def newest_version(store: SimulatedStore, at_ms: int) -> int:
    """Return the newest version that was acknowledged at a time and not lost."""
    versions = (version for time_ms, version in store.acknowledged if time_ms <= at_ms)
    return max(versions, default=0)
