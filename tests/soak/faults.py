"""Faults that the soak injects from outside the routers, drawn from a seed.

Each fault takes the ``Fleet`` of ``soak`` and the seeded random generator.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from random import Random

from pulley_platform_standins.endpoints import Behavior, list_endpoint, unlist_endpoint
from pulley_platform_standins.stores import (
    StoreFault,
    compact_history,
    copy_store,
    restore_store,
    write_again,
)

from pulley_base import wall_time_ms
from pulley_standins.relays import (
    block_answers,
    reset_connections,
    resume_connections,
    silence_connections,
)

LEAVING_NOTICE = (b"server-leaving", b"1")

Fault = Callable[["object", Random], Awaitable[None]]


async def delay_relay(fleet, random: Random) -> None:
    """Delay one relay by 20 to 300 ms, for 0.3 to 1.5 s."""
    relay = random.choice(fleet.relays)
    relay.delay_ms = random.randint(20, 300)
    await asyncio.sleep(random.uniform(0.3, 1.5))
    relay.delay_ms = 0


async def reset_relay(fleet, random: Random) -> None:
    """Reset one relay's open connections, and new ones for up to 1.5 s."""
    relay = random.choice(fleet.relays)
    relay.closed = True
    reset_connections(relay)
    await asyncio.sleep(random.uniform(0.0, 1.5))
    relay.closed = False


async def silence_relay(fleet, random: Random) -> None:
    """Stop forwarding on one relay's open connections, both ways or answers only.

    After 0.3 to 2 s they forward again in half of the cases, else stay silent.
    """
    relay = random.choice(fleet.relays)
    random.choice([silence_connections, block_answers])(relay)
    await asyncio.sleep(random.uniform(0.3, 2.0))
    if random.random() < 0.5:
        resume_connections(relay)


async def pause_router(fleet, random: Random) -> None:
    """Pause a router's process by SIGSTOP and resume it after 0.2 to 2 s."""
    slot = random.choice(fleet.slots)
    if slot.restarting:
        return
    slot.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(random.uniform(0.2, 2.0))
    if slot.process.returncode is None:
        slot.process.send_signal(signal.SIGCONT)


async def kill_router(fleet, random: Random) -> None:
    """Kill a router by SIGKILL and restart it."""
    slot = random.choice(fleet.slots)
    if not slot.restarting:
        await fleet.restart(slot, signal.SIGKILL)


async def stop_router(fleet, random: Random) -> None:
    """Stop a router by SIGTERM and restart it."""
    slot = random.choice(fleet.slots)
    if not slot.restarting:
        await fleet.restart(slot, signal.SIGTERM)


async def reload_router(fleet, random: Random) -> None:
    """Make a router reload its settings by SIGHUP."""
    slot = random.choice(fleet.slots)
    if not slot.restarting:
        slot.process.send_signal(signal.SIGHUP)


async def disturb_store(fleet, random: Random) -> None:
    """Make the store refuse calls, not answer, lose answers or stall watches.

    The fault lasts for 0.3 to 3 s.
    """
    faults = [
        StoreFault.REFUSE,
        StoreFault.NO_ANSWER,
        StoreFault.LOSE_REPLIES,
        StoreFault.HANG_WATCHES,
    ]
    fleet.store.fault = random.choice(faults)
    await asyncio.sleep(random.uniform(0.3, 3.0))
    fleet.store.fault = StoreFault.NONE


async def drop_history(fleet, random: Random) -> None:
    """Make the store discard the history of its revisions."""
    compact_history(fleet.store)


async def restore_from_copy(fleet, random: Random) -> None:
    """Restore the store from a copy that is 0.3 to 3 s old, after an outage.

    The operator and the endpoints write again what they had written, up to 1 s later.
    """
    copy = copy_store(fleet.store)
    await asyncio.sleep(random.uniform(0.3, 3.0))
    fleet.store.fault = StoreFault.REFUSE
    await asyncio.sleep(random.uniform(0.0, 1.0))
    restore_store(fleet.store, copy)
    fleet.store.fault = StoreFault.NONE
    await asyncio.sleep(random.uniform(0.0, 1.0))
    write_again(fleet.store)


async def disturb_endpoint(fleet, random: Random) -> None:
    """Make one endpoint misbehave for 0.3 to 1.5 s."""
    endpoint = random.choice(fleet.endpoints)
    endpoint.behavior = random.choice(
        [each for each in Behavior if each is not Behavior.NORMAL]
    )
    await asyncio.sleep(random.uniform(0.3, 1.5))
    endpoint.behavior = Behavior.NORMAL


async def drain_endpoint(fleet, random: Random) -> None:
    """Drain one endpoint, remove it from the instance list and start it again.

    One that says in its answers that it leaves starts again when it has stopped that.
    """
    endpoint = random.choice(fleet.endpoints)
    list_endpoint(fleet.store, endpoint, "draining", fleet.address_of(endpoint))
    await asyncio.sleep(random.uniform(0.2, 1.0))
    unlist_endpoint(fleet.store, endpoint)
    await asyncio.sleep(random.uniform(0.2, 1.0))
    if not endpoint.notices:
        start_again(fleet, endpoint)


def start_again(fleet, endpoint) -> None:
    """List an endpoint with a later start, as a drained one comes back."""
    endpoint.started_ms = max(endpoint.started_ms + 1, wall_time_ms())
    list_endpoint(fleet.store, endpoint, "ready", fleet.address_of(endpoint))


async def leave_unlisted(fleet, random: Random) -> None:
    """Let one endpoint say in its answers alone that it leaves, for 0.5 to 2 s.

    Then it starts again.
    """
    endpoint = random.choice(fleet.endpoints)
    if endpoint.notices:
        return
    n_before = len(endpoint.requests)
    endpoint.notices = [LEAVING_NOTICE]
    await asyncio.sleep(random.uniform(0.5, 2.0))
    fleet.leavings.append((endpoint.name, endpoint.requests[n_before:]))
    endpoint.notices = []
    start_again(fleet, endpoint)


async def revoke_token(fleet, random: Random) -> None:
    """Revoke one token and issue a new one."""
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
    restore_from_copy,
    disturb_endpoint,
    drain_endpoint,
    leave_unlisted,
    revoke_token,
)
