"""Start and stop a complete fleet on the loopback, as described by a plan.

The key-value service and the instance list run inside the tool's own process,
so that a case can set their faults directly (``fleet.store.faults``,
``fleet.instances.views``); everything else is a separate process. Processes are
ended by their ids.

>>> async with run_fleet(one_place_plan(2)) as fleet:
...     print(fleet.routers[0].address)
"""

import asyncio
import json
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from plans import FleetPlan, ServicePlan
from processes import Process, end_process, start_process

from pulley_base import PulleyError
from pulley_http import Client, close_client, fetch
from pulley_standins.lists import ListStandin, set_groups, start_list, stop_list
from pulley_standins.store_state import encode_base64, put_key
from pulley_standins.stores import StoreStandin, start_store, stop_store

HOST = "127.0.0.1"
RULES_KEY = b"plantainpulley/rules"
READY_TIMEOUT_S = 30
POLL_S = 0.1
N_STARTING_AT_ONCE = 8


@dataclass(slots=True, eq=False)
class Endpoint:
    """An endpoint: the stand-in for its engine, and its agent."""

    service: str
    data_centre: str
    engine: Process
    agent: Process
    state: str = "live"


@dataclass(slots=True, eq=False)
class Fleet:
    """A running fleet.

    ``name`` is unique among the fleets on this machine and stays when the plan changes.
    ``extras`` holds every process that is not in ``routers``: stand-ins, agents
    and those that a case adds.
    """

    name: str
    plan: FleetPlan
    logs: Path
    store: StoreStandin
    instances: ListStandin
    client: Client
    endpoints: list[Endpoint] = field(default_factory=list)
    routers: list[Process] = field(default_factory=list)
    extras: list[Process] = field(default_factory=list)

    @property
    def store_address(self) -> str:
        """The IP:port of the key-value service."""
        return self.store.server.address

    @property
    def list_address(self) -> str:
        """The IP:port of the instance list."""
        return self.instances.server.address


@asynccontextmanager
async def run_fleet(plan: FleetPlan) -> AsyncIterator[Fleet]:
    """Start a fleet, wait until routers and agents are ready, and stop it on exit."""
    with tempfile.TemporaryDirectory(prefix="plantainpulley-") as folder:
        store = await start_store(HOST)
        instances = await start_list(HOST)
        name = f"{plan.name}-{store.server.address}"
        fleet = Fleet(name, plan, Path(folder), store, instances, Client())
        try:
            set_rules(fleet, plan.rules)
            await start_endpoints(fleet)
            await start_routers(fleet)
            await wait_ready(fleet)
            yield fleet
        finally:
            await stop_fleet(fleet)


def set_rules(fleet: Fleet, rules: str) -> None:
    """Write the rules text to the store as a new revision of its key."""
    put = {"key": encode_base64(RULES_KEY), "value": encode_base64(rules.encode())}
    state = fleet.store.state
    put_key(state, put, state.revision + 1)


def publish_list(fleet: Fleet) -> None:
    """Update the instance list to the fleet's current endpoints and routers."""
    groups = [
        make_target_group(
            endpoint.agent.address,
            service=endpoint.service,
            data_centre=endpoint.data_centre,
            state=endpoint.state,
            role="agent",
        )
        for endpoint in fleet.endpoints
    ]
    data_centres = fleet.plan.router_places
    groups += [
        make_target_group(
            router.addresses["peer"], data_centre=data_centre, role="router"
        )
        for router, data_centre in zip(fleet.routers, data_centres, strict=False)
    ]
    set_groups(fleet.instances, groups)


def make_target_group(target: str, **labels: str) -> dict:
    """Return one group of the instance list: one target with its labels."""
    return {"targets": [target], "labels": labels}


async def start_endpoints(fleet: Fleet) -> None:
    """Start all stand-ins and agents, at most ``N_STARTING_AT_ONCE`` at a time."""
    semaphore = asyncio.Semaphore(N_STARTING_AT_ONCE)
    starting = []
    for service in fleet.plan.services:
        for number in range(service.n_endpoints):
            data_centre = fleet.plan.data_centres[number % len(fleet.plan.data_centres)]
            starting.append(
                start_endpoint_limited(semaphore, fleet, service, data_centre, number)
            )
    fleet.endpoints += await asyncio.gather(*starting)
    publish_list(fleet)


async def start_endpoint_limited(
    semaphore, fleet, service, data_centre, number
) -> Endpoint:
    """Start one endpoint once the semaphore allows it."""
    async with semaphore:
        return await start_endpoint(fleet, service, data_centre, number)


async def start_endpoint(
    fleet: Fleet, service: ServicePlan, data_centre: str, number: int
) -> Endpoint:
    """Start one stand-in and its agent, without updating the instance list."""
    name = f"{fleet.plan.name}-{service.name}-{number}"
    kind = "engine" if service.kind == "model" else "service"
    engine = await start_process(
        fleet.logs, name, f"plantainpulley-standin {kind}", **service.flags
    )
    fleet.extras.append(engine)
    agent = await start_agent(fleet, service, data_centre, name, engine)
    return Endpoint(service.name, data_centre, engine, agent)


async def start_agent(
    fleet: Fleet, service: ServicePlan, data_centre: str, name: str, engine: Process
) -> Process:
    """Start the agent of an engine."""
    agent = await start_process(
        fleet.logs,
        f"{name}-agent",
        "plantainpulley-agent",
        service=service.name,
        engine=engine.address,
        store=fleet.store_address,
        instances=fleet.list_address,
        fleet=fleet.name,
        data_centre=data_centre,
        **service.agent_flags,
    )
    fleet.extras.append(agent)
    return agent


async def start_routers(fleet: Fleet) -> None:
    """Start one router for each of the plan's ``router_places``, and list them."""
    for number, data_centre in enumerate(fleet.plan.router_places):
        router = await start_process(
            fleet.logs,
            f"{fleet.plan.name}-router-{number}",
            "plantainpulley route",
            listen=f"{HOST}:0",
            store=fleet.store_address,
            instances=fleet.list_address,
            fleet=fleet.name,
            data_centre=data_centre,
            **fleet.plan.router_flags,
        )
        fleet.routers.append(router)
    publish_list(fleet)


async def wait_ready(fleet: Fleet) -> None:
    """Wait until all routers and agents are ready.

    Raises TimeoutError after ``READY_TIMEOUT_S``.
    """
    unready = [*fleet.routers, *(endpoint.agent for endpoint in fleet.endpoints)]
    async with asyncio.timeout(READY_TIMEOUT_S):
        for process in unready:
            while not await is_ready(fleet, process):
                await asyncio.sleep(POLL_S)


async def is_ready(fleet: Fleet, process: Process) -> bool:
    """Check whether a process answers ``/readyz`` with 200; False if unreachable."""
    try:
        answer = await fetch(fleet.client, process.addresses["admin"], "GET", "/readyz")
    except PulleyError:
        return False
    return answer.status == 200


async def read_json(fleet: Fleet, address: str, path: str):
    """Fetch and parse a JSON document from a process of the fleet."""
    answer = await fetch(fleet.client, address, "GET", path)
    return json.loads(answer.body)


async def read_metrics(fleet: Fleet, address: str) -> dict[str, float]:
    """Fetch a process's metrics: metric name including labels to value."""
    answer = await fetch(fleet.client, address, "GET", "/metrics")
    return dict(parse_metrics(answer.body.decode()))


def parse_metrics(document: str):
    """Yield name (including labels) and value of each sample in a Prometheus text."""
    for line in document.splitlines():
        if line and not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            yield name, float(value)


async def stop_fleet(fleet: Fleet) -> None:
    """Stop all processes, by id, then the store and the instance list."""
    close_client(fleet.client)
    processes = [*fleet.routers, *fleet.extras]
    await asyncio.gather(*(end_process(process) for process in processes))
    stop_store(fleet.store)
    stop_list(fleet.instances)
