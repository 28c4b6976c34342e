"""Simulate fleets whose routers follow the store, and print what that costs.

For each size: calls to the store a second at rest; the age of the routers' word at
rest; how soon a change is in force; and both of these again after the watchers of all
data centres have ended. Simulated time, seeded, no network; 600 routers take minutes.

    python tools/followings.py --seed 1
"""

import asyncio
import logging
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random

import defopt

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "following" / "machines"))

from fleets import (  # noqa: E402
    SimulatedFleet,
    SimulatedStore,
    start_router,
    stop_router,
)
from virtual_loops import run_virtually  # noqa: E402

from pulley_base import Clock, to_seconds  # noqa: E402
from pulley_direct.state.fleet_views import configuration_age_ms  # noqa: E402

SIZES = ((6, 3), (46, 4), (68, 6), (600, 26))
SETTLE_MS = 12_000
REST_MS = 10_000
N_CHANGES = 10
CHANGE_INTERVAL_MS = 1_500
SAMPLE_INTERVAL_MS = 20
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Costs:
    """What following costs a fleet; ages and times are those of 99 in 100, in ms."""

    calls_per_s: float
    age_ms: int
    in_force_ms: int
    lost_age_ms: int
    lost_in_force_ms: int


def percentile(values: list[int]) -> int:
    """Return the value that 99 in 100 do not exceed."""
    return sorted(values)[int(0.99 * (len(values) - 1))]


async def wait_ms(duration_ms: float) -> None:
    await asyncio.sleep(to_seconds(duration_ms))


async def sample_ages(fleet: SimulatedFleet, duration_ms: int) -> list[int]:
    """Return the age of each router's word at each of many moments, in ms."""
    ages_ms = []
    for _ in range(duration_ms // SAMPLE_INTERVAL_MS):
        await wait_ms(SAMPLE_INTERVAL_MS)
        ages_ms += [configuration_age_ms(one.view) for one in fleet.routers.values()]
    return ages_ms


async def measure_change(fleet: SimulatedFleet) -> list[int]:
    """Publish a configuration; return how long it took to each router, in ms."""
    fleet.store.publish()
    started_ms, version = fleet.clock.now_ms(), fleet.store.version
    waiting, took_ms = set(fleet.routers), []
    while waiting:
        await wait_ms(SAMPLE_INTERVAL_MS)
        for name in list(waiting):
            if fleet.routers[name].view.configuration.version >= version:
                waiting.discard(name)
                took_ms.append(fleet.clock.now_ms() - started_ms)
    return took_ms


async def measure(n_routers: int, n_centres: int, share: bool, seed: int) -> Costs:
    """Start a fleet and measure it at rest, in change and without its watchers."""
    loop = asyncio.get_running_loop()
    clock = Clock(lambda: int(loop.time() * MS_PER_S))
    store = SimulatedStore(clock)
    fleet = SimulatedFleet(Random(seed), clock, store, n_centres=n_centres, share=share)
    store.publish()
    for number in range(n_routers):
        start_router(fleet, f"router-{number}")
    await wait_ms(SETTLE_MS)
    n_calls = store.n_calls
    ages_ms = await sample_ages(fleet, REST_MS)
    at_rest_per_s = (store.n_calls - n_calls) * MS_PER_S / REST_MS
    changes_ms = []
    for _ in range(N_CHANGES):
        changes_ms += await measure_change(fleet)
        await wait_ms(CHANGE_INTERVAL_MS)
    for name in [name for name, one in fleet.routers.items() if is_watching(one)]:
        if share:
            stop_router(fleet, name)
    lost_changes_ms = await measure_change(fleet)
    lost_ages_ms = await sample_ages(fleet, REST_MS)
    return Costs(
        at_rest_per_s,
        percentile(ages_ms),
        percentile(changes_ms),
        percentile(lost_ages_ms),
        percentile(lost_changes_ms),
    )


def is_watching(router) -> bool:
    return router.view.watcher is None


def render_rows(seed: int, most: int) -> Iterator[str]:
    """Yield the table's rows."""
    yield "| routers, data centres | who watches | calls a second at rest "
    yield "| age | in force | age, watchers lost | in force, watchers lost |\n"
    yield "|---|---|---|---|---|---|---|\n"
    for n_routers, n_centres in filter(lambda size: size[0] <= most, SIZES):
        for share in (False, True):
            costs = run_virtually(measure(n_routers, n_centres, share, seed))
            lost = (
                f"{costs.lost_age_ms} ms | {costs.lost_in_force_ms} ms"
                if share
                else "- | -"
            )
            yield (
                f"| {n_routers}, {n_centres} | {'some' if share else 'all'} "
                f"| {costs.calls_per_s:.1f} "
                f"| {costs.age_ms} ms | {costs.in_force_ms} ms | {lost} |\n"
            )


def main(*, seed: int = 1, most: int = 68) -> None:
    """Print the table.

    Parameters
    ----------
    seed
        Seed of the simulated delays.
    most
        The largest number of routers to simulate, up to 600.
    """
    logging.disable(logging.CRITICAL)
    for row in render_rows(seed, most):
        sys.stdout.write(row)
        sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(main)
