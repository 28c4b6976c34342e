"""Faults that are injected into a fleet under load, one after another."""

import asyncio
import signal
import time
from dataclasses import replace

from callers import Chat, ask, complete_chat
from fault_callers import TEAM, Bench, pick_router
from fleets import Endpoint, Fleet, start_agent
from processes import Process, end_process
from progress import show_progress

from pulley_standins.relays import relay_address, silence_connections
from pulley_standins.stores import set_faults

PLACE = "caltagirone"
POISON = "poisonous"
FAULT_FREE_S = 1.0
PAUSE_DURATION_S = 3.5
N_LOST_REPLIES = 20
N_POISON_SENDS = 4


def find_endpoints(fleet: Fleet, service: str) -> list[Endpoint]:
    """Return the endpoints of one service."""
    return [each for each in fleet.endpoints if each.service == service]


async def drive_faults(bench: Bench, outage_s: float) -> None:
    """Inject one fault after another, each followed by a time without faults."""
    faults = {
        "calm": run_without_fault,
        "agent killed": kill_agent,
        "agent paused": pause_agent,
        "agent paused, store unavailable": pause_agent_in_outage,
        "router paused": pause_router,
        "router killed": kill_router,
        "silent connections": silence_service_connections,
        "lost replies": lose_replies,
        "poisonous request": send_poisonous_chat,
    }
    for name, inject in faults.items():
        start_phase(bench, name)
        await inject(bench)
        await asyncio.sleep(FAULT_FREE_S)
    start_phase(bench, "store unavailable")
    await set_faults(bench.fleet.store, {"outage": "refuse"})
    await asyncio.sleep(outage_s)
    await set_faults(bench.fleet.store, {"outage": ""})
    await asyncio.sleep(FAULT_FREE_S)


def start_phase(bench: Bench, name: str) -> None:
    """Start a phase: requests sent from now on count to the fault ``name``."""
    show_progress(name)
    bench.phase = name
    bench.phase_start_s[name] = time.monotonic()


async def run_without_fault(bench: Bench) -> None:
    """Wait without injecting a fault, as a baseline."""
    await asyncio.sleep(FAULT_FREE_S)


async def kill_agent(bench: Bench) -> None:
    """Kill an agent and start another at the same address."""
    endpoint = find_endpoints(bench.fleet, "bottega")[0]
    relay = bench.relays[0]
    await end_process(endpoint.agent, signal.SIGKILL)
    service = bench.fleet.plan.services[1]
    flags = {**service.agent_flags, "peer": relay.target}
    replacement = replace(service, agent_flags=flags)
    endpoint.agent = await start_agent(
        bench.fleet, replacement, PLACE, "again", endpoint.engine
    )
    endpoint.agent.addresses["address"] = relay_address(relay)


async def pause_agent(bench: Bench) -> None:
    """Pause an agent for 3.5 s."""
    await pause_process(find_endpoints(bench.fleet, "bottega")[1].agent)


async def pause_agent_in_outage(bench: Bench) -> None:
    """Pause an agent while the store does not answer: two faults at once."""
    await set_faults(bench.fleet.store, {"outage": "hang"})
    await pause_process(find_endpoints(bench.fleet, "bottega")[2].agent)
    await set_faults(bench.fleet.store, {"outage": ""})


async def pause_router(bench: Bench) -> None:
    """Pause a router for 3.5 s."""
    await pause_process(bench.fleet.routers[0])


async def pause_process(process: Process) -> None:
    """Pause a process for 3.5 s by SIGSTOP and SIGCONT."""
    process.handle.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_DURATION_S)
    process.handle.send_signal(signal.SIGCONT)


async def kill_router(bench: Bench) -> None:
    """Kill a router and remove it from the balancer."""
    router = bench.fleet.routers.pop()
    bench.fleet.extras.append(router)
    bench.killed.add(router)
    await end_process(router, signal.SIGKILL)


async def silence_service_connections(bench: Bench) -> None:
    """Stop forwarding on all open connections to the plain services, permanently."""
    for relay in bench.relays:
        silence_connections(relay)
    await asyncio.sleep(PAUSE_DURATION_S)


async def lose_replies(bench: Bench) -> None:
    """Make the store lose the replies to 20 writes that take effect."""
    await set_faults(bench.fleet.store, {"lose_replies": N_LOST_REPLIES})
    await asyncio.sleep(FAULT_FREE_S)


async def send_poisonous_chat(bench: Bench) -> None:
    """Send a chat that crashes engines 4 times, each through another router."""
    chat = Chat("poison", TEAM)
    ask(chat, f"a {POISON} question")
    router = None
    for _attempt in range(N_POISON_SENDS):
        router = pick_router(bench, router)
        await complete_chat(bench.fleet.client, router.address, "/consiglio", chat)
