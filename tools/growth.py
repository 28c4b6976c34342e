"""Grow a fleet of one data centre, with engines in the process of the bench."""

import asyncio
from dataclasses import dataclass, replace

from fleets import Endpoint, Fleet, publish_list, start_agent, start_routers, wait_ready
from processes import Process
from stages import DATA_CENTRE

from pulley_standins.engines import EngineSettings, start_engine

N_STARTING_AT_ONCE = 16
REPORT_LAG_MS = 2_000
ROLES = ("agent", "router")


@dataclass(frozen=True, slots=True)
class LocalEngine:
    """An engine stand-in that runs in the process of the bench."""

    address: str


async def grow(fleet: Fleet, n_engines: int, n_routers: int) -> None:
    """Start endpoints and routers until the fleet has the given numbers of each."""
    start_limit = asyncio.Semaphore(N_STARTING_AT_ONCE)
    n_missing = n_engines - len(fleet.endpoints)
    additions = [add_endpoint(fleet, start_limit) for _ in range(n_missing)]
    fleet.endpoints += await asyncio.gather(*additions)
    running = fleet.routers
    fleet.routers = []
    places = (DATA_CENTRE,) * (n_routers - len(running))
    fleet.plan = replace(fleet.plan, name=f"{n_routers}", router_places=places)
    await start_routers(fleet)
    fleet.routers = running + fleet.routers
    fleet.plan = replace(fleet.plan, router_places=(DATA_CENTRE,) * n_routers)
    publish_list(fleet)
    await wait_ready(fleet)


async def add_endpoint(fleet: Fleet, start_limit: asyncio.Semaphore) -> Endpoint:
    """Start an engine in the process of the bench, and an agent for it."""
    settings = EngineSettings(slots=4, report_lag_ms=REPORT_LAG_MS)
    engine = LocalEngine(await start_engine(settings))
    service = fleet.plan.services[0]
    name = f"agent-{engine.address.rpartition(':')[2]}"
    async with start_limit:
        agent = await start_agent(fleet, service, DATA_CENTRE, name, engine)
    return Endpoint(service.name, DATA_CENTRE, engine, agent)


def find_processes(fleet: Fleet, role: str) -> list[Process]:
    """Return the processes of a role, ``agent`` or ``router``."""
    if role == "router":
        return list(fleet.routers)
    return [endpoint.agent for endpoint in fleet.endpoints]
