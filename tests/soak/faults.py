"""Faults that the soak injects from outside the routers, drawn from a seed."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from random import Random

from pulley_platform_standins.endpoints import Manner, list_endpoint, unlist_endpoint
from pulley_platform_standins.stores import Mood, forget_history

from pulley_standins.relays import (
    block_answers,
    reset_connections,
    resume_connections,
    silence_connections,
)

Fault = Callable[["object", Random], Awaitable[None]]


async def delay_relay(fleet, random: Random) -> None:
    """Delay one path for a while."""
    relay = random.choice(fleet.relays)
    relay.delay_ms = random.randint(20, 300)
    await asyncio.sleep(random.uniform(0.3, 1.5))
    relay.delay_ms = 0


async def reset_relay(fleet, random: Random) -> None:
    """Reset one path's connections, and new ones for a while."""
    relay = random.choice(fleet.relays)
    relay.closed = True
    reset_connections(relay)
    await asyncio.sleep(random.uniform(0.0, 1.5))
    relay.closed = False


async def silence_relay(fleet, random: Random) -> None:
    """Make one path's open connections silent, both ways or answers only."""
    relay = random.choice(fleet.relays)
    random.choice([silence_connections, block_answers])(relay)
    await asyncio.sleep(random.uniform(0.3, 2.0))
    if random.random() < 0.5:
        resume_connections(relay)


async def pause_router(fleet, random: Random) -> None:
    """Stop a router's process and let it go on."""
    slot = random.choice(fleet.slots)
    if slot.ending:
        return
    slot.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(random.uniform(0.2, 2.0))
    if slot.process.returncode is None:
        slot.process.send_signal(signal.SIGCONT)


async def kill_router(fleet, random: Random) -> None:
    """Kill a router and start it again."""
    slot = random.choice(fleet.slots)
    if not slot.ending:
        await fleet.replace(slot, signal.SIGKILL)


async def stop_router(fleet, random: Random) -> None:
    """Tell a router to stop, and start it again."""
    slot = random.choice(fleet.slots)
    if not slot.ending:
        await fleet.replace(slot, signal.SIGTERM)


async def reload_router(fleet, random: Random) -> None:
    """Tell a router to read its settings again."""
    slot = random.choice(fleet.slots)
    if not slot.ending:
        slot.process.send_signal(signal.SIGHUP)


async def disturb_store(fleet, random: Random) -> None:
    """Have the store refuse, fall silent, lose answers or hold watches back."""
    moods = [Mood.REFUSING, Mood.SILENT, Mood.LOSING, Mood.DEAF]
    fleet.store.mood = random.choice(moods)
    await asyncio.sleep(random.uniform(0.3, 3.0))
    fleet.store.mood = Mood.WELL


async def drop_history(fleet, random: Random) -> None:
    """Have the store forget its history."""
    forget_history(fleet.store)


async def disturb_endpoint(fleet, random: Random) -> None:
    """Have one endpoint misbehave for a while."""
    endpoint = random.choice(fleet.endpoints)
    endpoint.manner = random.choice([one for one in Manner if one is not Manner.SOUND])
    await asyncio.sleep(random.uniform(0.3, 1.5))
    endpoint.manner = Manner.SOUND


async def drain_endpoint(fleet, random: Random) -> None:
    """Have one endpoint drain, leave the list and come back."""
    endpoint = random.choice(fleet.endpoints)
    list_endpoint(fleet.store, endpoint, "draining", fleet.address_of(endpoint))
    await asyncio.sleep(random.uniform(0.2, 1.0))
    unlist_endpoint(fleet.store, endpoint)
    await asyncio.sleep(random.uniform(0.2, 1.0))
    list_endpoint(fleet.store, endpoint, "ready", fleet.address_of(endpoint))


async def revoke_token(fleet, random: Random) -> None:
    """Take one token away and bring in another."""
    fleet.revoke(random.choice(fleet.tokens))


FAULTS: tuple[Fault, ...] = (
    delay_relay,
    reset_relay,
    silence_relay,
    pause_router,
    kill_router,
    stop_router,
    reload_router,
    disturb_store,
    drop_history,
    disturb_endpoint,
    drain_endpoint,
    revoke_token,
)
