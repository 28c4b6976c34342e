"""Faults of the simulated fleet: each begins, lasts for a while, and ends."""

import asyncio
from collections.abc import Awaitable, Callable
from random import seed

from fleets import (
    CHECK_INTERVAL_MS,
    DEAF_MS,
    IN_FORCE_MS,
    REVOKE_MS,
    USUAL_DELAY_MS,
    SimulatedFleet,
    SimulatedStore,
    check_promises,
    find_centre,
    start_router,
    stop_router,
)

from pulley_base import Clock, to_seconds

DAY_MS = 40_000
QUIET_END_MS = 3 * IN_FORCE_MS + REVOKE_MS
MAX_ROUTERS = 24


async def wait_ms(duration_ms: float) -> None:
    await asyncio.sleep(to_seconds(duration_ms))


def draw_some(fleet: SimulatedFleet) -> list[str]:
    """Return a third of the routers that run."""
    names = sorted(fleet.routers)
    return fleet.random.sample(names, -(-len(names) // 3))


async def silence_store(fleet: SimulatedFleet) -> None:
    """The store answers nobody."""
    fleet.store.silent = True
    await wait_ms(fleet.random.uniform(200, 6_000))
    fleet.store.silent = False


async def cut_from_store(fleet: SimulatedFleet) -> None:
    """Some routers do not reach the store."""
    names = draw_some(fleet)
    fleet.store.cut_off.update(names)
    await wait_ms(fleet.random.uniform(500, 6_000))
    fleet.store.cut_off.difference_update(names)


async def cut_routers(fleet: SimulatedFleet) -> None:
    """Some routers do not hear others, perhaps one way only."""
    names = sorted(fleet.routers)
    lost = draw_some(fleet)
    both = fleet.random.random() < 0.5
    cuts = {(one, other) for one in lost for other in names if one != other}
    cuts |= {(other, one) for one, other in cuts} if both else set()
    fleet.cuts |= cuts
    await wait_ms(fleet.random.uniform(500, 6_000))
    fleet.cuts -= cuts


async def delay_messages(fleet: SimulatedFleet) -> None:
    """Messages are late, each by another time."""
    fleet.max_delay_ms = fleet.random.choice((200, 450, 900))
    await wait_ms(fleet.random.uniform(500, 5_000))
    fleet.max_delay_ms = USUAL_DELAY_MS


async def restart_routers(fleet: SimulatedFleet) -> None:
    """Some or all routers end and start again."""
    names = sorted(fleet.routers)
    share = fleet.random.choice((0.1, 0.5, 1.0))
    lost = fleet.random.sample(names, int(len(names) * share))
    for name in lost:
        stop_router(fleet, name)
    await wait_ms(fleet.random.uniform(0, 2_000))
    for name in lost:
        start_router(fleet, name)


async def add_routers(fleet: SimulatedFleet) -> None:
    """Routers join."""
    for number in range(fleet.random.randint(1, 4)):
        if len(fleet.routers) < MAX_ROUTERS:
            start_router(fleet, f"joined-{fleet.n_starts}-{number}")


async def deafen_watches(fleet: SimulatedFleet) -> None:
    """Watches hear nothing of changes, and the history is dropped."""
    fleet.store.deaf = True
    await wait_ms(DEAF_MS)
    fleet.store.oldest = fleet.store.revision
    fleet.store.history.clear()
    fleet.store.deaf = False


async def restore_store(fleet: SimulatedFleet) -> None:
    """The store goes back to a copy; the operator writes what was lost again."""
    store: SimulatedStore = fleet.store
    items, revision, version = dict(store.items), store.revision, store.version
    await wait_ms(fleet.random.uniform(100, 3_000))
    store.items, store.revision = items, revision
    store.history = [item for item in store.history if item.revision <= revision]
    store.oldest = min(store.oldest, revision)
    store.era += 1
    fleet.disturbed_ms = fleet.clock.now_ms()
    lost = [row for row in store.acknowledged if row[1] > version]
    for row in lost:
        store.acknowledged.remove(row)
    for name, router in fleet.routers.items():
        entry = f"{find_centre(fleet, name)} {router.key}"
        store.put(f"routers/{name}", entry.encode())
    store.publish()


FAULTS: list[Callable[[SimulatedFleet], Awaitable[None]]] = [
    silence_store,
    cut_from_store,
    cut_routers,
    delay_messages,
    restart_routers,
    add_routers,
    deafen_watches,
    restore_store,
]


async def cause_faults(fleet: SimulatedFleet) -> None:
    """Let faults begin, one while others last, until the end of the day."""
    running: set[asyncio.Task] = set()
    end_ms = fleet.clock.now_ms() + DAY_MS
    while fleet.clock.now_ms() < end_ms:
        await wait_ms(fleet.random.uniform(100, 6_000))
        fault = fleet.random.choice(FAULTS)
        running.add(asyncio.get_running_loop().create_task(fault(fleet)))
    if running:
        await asyncio.wait(running)


async def publish_often(fleet: SimulatedFleet) -> None:
    while True:
        await wait_ms(fleet.random.uniform(100, 2_500))
        fleet.store.publish()


async def check_often(fleet: SimulatedFleet) -> None:
    while True:
        await wait_ms(CHECK_INTERVAL_MS)
        check_promises(fleet)


async def play_day(random, n_routers: int) -> SimulatedFleet:
    """Play one day; raises PromiseBroken if a router broke a promise."""
    # The product draws its own delays from the shared generator.
    seed(random.random())
    loop = asyncio.get_running_loop()
    clock = Clock(lambda: int(loop.time() * 1_000))
    fleet = SimulatedFleet(random, clock, SimulatedStore(clock))
    fleet.store.publish()
    for number in range(n_routers):
        start_router(fleet, f"router-{number}")
    checking = loop.create_task(check_often(fleet))
    publishing = loop.create_task(publish_often(fleet))
    faults = loop.create_task(cause_faults(fleet))
    await asyncio.wait({checking, faults}, return_when=asyncio.FIRST_COMPLETED)
    if faults.done():
        faults.result()
        await asyncio.wait({checking}, timeout=to_seconds(QUIET_END_MS))
    publishing.cancel()
    if checking.done():
        checking.result()
    checking.cancel()
    return fleet
