"""A store and routers that follow one of them, each with its own way to the store."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

from gossip import HOST
from pulley_platform_standins.processes import reserve_address
from scenes import ORDER, add_endpoint, publish, send_call, start_fixture

from pulley_adapter.headers import HEADER_CODEC, format_retry_after
from pulley_adapter.stores import connect_store
from pulley_base import Clock, ConnectionLost, split_address, to_seconds
from pulley_direct.app import close_router, start_router
from pulley_direct.state.models import Bounds, RouterSettings
from pulley_http import Client, close_client

N_ROUTERS = 6
IN_FORCE_MS = 2_000
REVOKE_MS = 3_000
POLL_MS = 10
LIMIT_MS = 8_000


@dataclass(slots=True)
class Doors:
    """The ways of one router to the store; while ``closed`` every call fails."""

    closed: bool = False


@dataclass(slots=True)
class Fleet:
    """The fixture with the store, its routers, and their ways to the store."""

    fixture: object
    routers: list = field(default_factory=list)
    doors: dict = field(default_factory=dict)


def guard(call, doors):
    """Return a call that fails while its router is cut off the store."""

    async def guarded(*arguments):
        if doors.closed:
            raise ConnectionLost("cut off", step="store")
        return await call(*arguments)

    return guarded


def name_of(running):
    return running.router.settings.instance


async def add_router(fleet, stack, number):
    """Start one more router on the fleet's store."""
    port = split_address(reserve_address())[1]
    settings = RouterSettings(
        instance=f"router-{number}",
        ip=HOST,
        data_centre="here",
        callers_address=f"{HOST}:0",
        ready_address=f"{HOST}:0",
        peer_ports=(port, port),
        store_address=fleet.fixture.store.address,
        bounds=Bounds(configuration_ms=IN_FORCE_MS, revoke_ms=REVOKE_MS),
    )
    client, doors = Client(), Doors()
    calls = connect_store(settings.store_address, client)
    guarded = {
        name: guard(getattr(calls, name), doors)
        for name in calls.__slots__
        if name != "decode"
    }
    running = await start_router(
        settings, HEADER_CODEC, replace(calls, **guarded), format_retry_after
    )
    stack.callback(close_client, client)
    stack.callback(close_router, running)
    fleet.routers.append(running)
    fleet.doors[name_of(running)] = doors


@asynccontextmanager
async def start_fleet():
    """Start a store, an endpoint of each service and routers that follow one."""
    async with start_fixture(0) as fixture, AsyncExitStack() as stack:
        close_router(fixture.running)
        for service in ("shop", "model"):
            await add_endpoint(fixture, f"{service}-0", service)
        fleet = Fleet(fixture)
        for number in range(N_ROUTERS):
            await add_router(fleet, stack, number)
        await wait_for(lambda: is_settled(fleet))
        yield fleet


def is_settled(fleet):
    """Check that one router watches the store and the others follow it."""
    views = [one.router.fleet_view for one in fleet.routers]
    return sum(view.watcher is None for view in views) == 1 and all(
        len(view.routers) >= N_ROUTERS for view in views
    )


async def wait_for(condition, limit_ms=LIMIT_MS):
    """Wait until a condition holds; return how long that took in ms."""
    clock = Clock()
    started_ms = clock.now_ms()
    while not condition():
        assert clock.now_ms() < started_ms + limit_ms, "it did not come to hold"
        await asyncio.sleep(to_seconds(POLL_MS))
    return clock.now_ms() - started_ms


def find_watcher(fleet):
    return next(one for one in fleet.routers if one.router.fleet_view.watcher is None)


def find_follower(fleet):
    return next(one for one in fleet.routers if one.router.fleet_view.watcher)


async def publish_and_wait(fleet, routers):
    """Publish a configuration; return how long the routers took to have it, in ms."""
    version = fleet.fixture.version + 1
    publish(fleet.fixture, version)
    return await wait_for(
        lambda: all(
            one.router.fleet_view.configuration.version == version for one in routers
        )
    )


async def send_order(fleet, running, number):
    """Send an order with a token to a router; return the answer."""
    address = running.caller_server.address
    return await send_call(
        fleet.fixture.client, address, ORDER, request_id=f"request-{number}"
    )


async def order(fleet, running, number):
    """Send an order with a token to a router; return the answer's status."""
    return (await send_order(fleet, running, number)).status


def play(context, scene):
    """Run a scene with a fleet, and keep what it returns."""

    async def run():
        async with start_fleet() as fleet:
            return await scene(fleet)

    context.found = asyncio.run(run())
