"""Run a fleet of one service for a trial; add, stop and restart its endpoints.

async with run_stage(Stage(n_engines=5)) as fleet:
    await crash(fleet, fleet.endpoints[0])
"""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

from fleets import (
    HOST,
    Endpoint,
    Fleet,
    publish_list,
    run_fleet,
    start_agent,
    start_endpoint,
)
from plans import FleetPlan, ServicePlan
from processes import end_process

from pulley_standins.lists import View

OWN_PLACEMENT = "home"
DATA_CENTRE = "catania"


@dataclass(frozen=True, slots=True)
class Stage:
    """The configuration of a trial's fleet; engine settings are for the stand-in.

    ``list_lag_ms`` is the delay after which the instance list shows a change.
    """

    service: str = "consiglio"
    placement: str = OWN_PLACEMENT
    n_routers: int = 3
    n_engines: int = 10
    load_multiple: float = 1.5
    n_slots: int = 4
    decode_ms: float = 20
    prefill_tokens_per_s: float = 20_000
    n_cache_tokens: int = 200_000
    n_capacity_tokens: int = 4_000
    batch_share: float = 0.4
    team_names: tuple[str, ...] = ()
    list_lag_ms: int = 0


def format_rules(stage: Stage) -> str:
    """Return the rules text for a stage."""
    lines = [
        f"service {stage.service} load-multiple={stage.load_multiple} deadline=30s "
        f"queue=20s batch-share={stage.batch_share}",
        f"call {stage.service} POST /quick idempotent=yes priority=quick",
        f"call {stage.service} POST /batch idempotent=yes priority=batch",
        *(f"team {name}" for name in stage.team_names),
    ]
    return "".join(f"{line}  # bench: measured\n" for line in lines)


def make_plan(stage: Stage) -> FleetPlan:
    """Return the fleet plan for a stage; only baselines set the placement flag."""
    placement_flags = (
        {} if stage.placement == OWN_PLACEMENT else {"placement": stage.placement}
    )
    engine_flags = {
        "slots": stage.n_slots,
        "decode_ms": stage.decode_ms,
        "prefill_tokens_per_s": stage.prefill_tokens_per_s,
        "cache_tokens": stage.n_cache_tokens,
    }
    agent_flags = {"capacity": stage.n_capacity_tokens, "slots": stage.n_slots}
    agent_flags |= placement_flags
    service = ServicePlan(
        stage.service, "model", stage.n_engines, engine_flags, agent_flags
    )
    router_data_centres = (DATA_CENTRE,) * stage.n_routers
    rules = format_rules(stage)
    return FleetPlan(
        "trial", (DATA_CENTRE,), router_data_centres, (service,), rules, placement_flags
    )


@asynccontextmanager
async def run_stage(stage: Stage) -> AsyncIterator[Fleet]:
    """Start the fleet of a stage, wait until it is ready, and stop it on exit."""
    async with run_fleet(make_plan(stage)) as fleet:
        fleet.instances.views[HOST] = View(stage.list_lag_ms)
        yield fleet


async def join(fleet: Fleet) -> Endpoint:
    """Start one more endpoint and add it to the instance list."""
    number = len(fleet.extras)
    service = fleet.plan.services[0]
    endpoint = await start_endpoint(fleet, service, DATA_CENTRE, number)
    fleet.endpoints.append(endpoint)
    publish_list(fleet)
    return endpoint


async def leave(fleet: Fleet, endpoint: Endpoint) -> int:
    """Stop an endpoint gracefully and return its agent's exit code.

    It is listed as leaving until the agent has exited.
    """
    endpoint.agent.handle.send_signal(signal.SIGTERM)
    endpoint.state = "leaving"
    publish_list(fleet)
    exit_code = await endpoint.agent.handle.wait()
    remove_endpoint(fleet, endpoint)
    await end_process(endpoint.engine)
    return exit_code


async def crash(fleet: Fleet, endpoint: Endpoint) -> None:
    """Kill an engine and its agent with SIGKILL, and remove the endpoint."""
    await asyncio.gather(
        end_process(endpoint.engine, signal.SIGKILL),
        end_process(endpoint.agent, signal.SIGKILL),
    )
    remove_endpoint(fleet, endpoint)


async def restart_agent(fleet: Fleet, endpoint: Endpoint) -> None:
    """Kill an agent and restart it at the same address; its engine keeps running."""
    await end_process(endpoint.agent, signal.SIGKILL)
    service = fleet.plan.services[0]
    flags = {**service.agent_flags, "peer": endpoint.agent.address}
    endpoint.agent = await start_agent(
        fleet,
        replace(service, agent_flags=flags),
        endpoint.data_centre,
        f"restarted-{len(fleet.extras)}",
        endpoint.engine,
    )


def remove_endpoint(fleet: Fleet, endpoint: Endpoint) -> None:
    """Remove an endpoint from the fleet and the instance list."""
    fleet.endpoints.remove(endpoint)
    publish_list(fleet)


def live_endpoints(fleet: Fleet) -> list[Endpoint]:
    """Return the endpoints in state ``live``."""
    return [endpoint for endpoint in fleet.endpoints if endpoint.state == "live"]


def engine_addresses(fleet: Fleet) -> list[str]:
    """Return the addresses of the engines of all current endpoints."""
    return [endpoint.engine.address for endpoint in fleet.endpoints]
