"""An outage of the store, after which no router hears another."""

import asyncio
from random import Random, seed

from faults import wait_ms
from fleets import IN_FORCE_MS, SimulatedFleet, SimulatedStore, start_router

from pulley_base import Clock

SETTLE_MS = 3 * IN_FORCE_MS
OUTAGE_MS = (3_000, 6_000)
LIMIT_MS = 4 * IN_FORCE_MS
POLL_MS = 20


async def play_outage(random: Random, n_routers: int, cut_after_ms: int) -> int:
    """Return how long after the store's return the last router is current, in ms.

    A configuration is published as it returns, with its history dropped; no router
    hears another from ``cut_after_ms`` later on. ``LIMIT_MS`` if one is not current.
    """
    seed(random.random())
    loop = asyncio.get_running_loop()
    clock = Clock(lambda: int(loop.time() * 1_000))
    store = SimulatedStore(clock)
    fleet = SimulatedFleet(random, clock, store)
    store.publish()
    for number in range(n_routers):
        start_router(fleet, f"router-{number}")
    await wait_ms(SETTLE_MS)
    store.silent = True
    await wait_ms(random.uniform(*OUTAGE_MS))
    store.publish()
    store.oldest = store.revision
    store.history.clear()
    store.silent = False
    back_ms = clock.now_ms()
    while clock.now_ms() < back_ms + LIMIT_MS:
        if clock.now_ms() >= back_ms + cut_after_ms:
            names = fleet.routers
            fleet.cuts = {(one, other) for one in names for other in names}
        if are_current(fleet):
            break
        await wait_ms(POLL_MS)
    return clock.now_ms() - back_ms


def are_current(fleet: SimulatedFleet) -> bool:
    """Check whether every router has the newest configuration."""
    versions = (one.view.configuration.version for one in fleet.routers.values())
    return min(versions) >= fleet.store.version
