"""Hosts whose endpoints crash and start again, and several routers in front of them."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial

from pulley_platform_standins.endpoints import (
    StandInEndpoint,
    list_endpoint,
    unlist_endpoint,
)
from pulley_platform_standins.processes import reserve_address
from scenes import RouterFixture, age_router, start_fixture, wait_until_synced

from pulley_adapter.headers import HEADER_CODEC, format_retry_after
from pulley_adapter.stores import connect_store
from pulley_base import split_address
from pulley_direct.app import RunningRouter, close_router, start_router
from pulley_http import Client, Request, Response, close_client, start_server

N_ROUTERS = 3
N_ENDPOINTS = 6
RESTART_S = 0.3
LIMIT_S = 30


@dataclass(slots=True)
class Host:
    """A host whose endpoint starts again after each crash."""

    number: int
    port: int = 0
    endpoint: StandInEndpoint | None = None
    n_starts: int = 0
    down: bool = False


@dataclass(slots=True)
class HostScene:
    """The routers and hosts of one scenario, and the times of crashes.

    ``answer`` handles what an endpoint is sent. With ``keeps_names`` endpoints start
    again under the names that they had.
    """

    answer: Callable[["HostScene", Host, Request], Awaitable[Response]]
    fixture: RouterFixture | None = None
    service: str = "model"
    keeps_names: bool = False
    routers: list[RunningRouter] = field(default_factory=list)
    hosts: list[Host] = field(default_factory=list)
    clients: list[Client] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    crashes_s: list[float] = field(default_factory=list)


@asynccontextmanager
async def start_scene(scene: HostScene) -> AsyncIterator[None]:
    """Start a store, hosts whose endpoints may crash, and routers."""
    async with asyncio.timeout(LIMIT_S), start_fixture(0) as fixture:
        scene.fixture = fixture
        scene.routers.append(fixture.running)
        try:
            for number in range(N_ENDPOINTS):
                scene.hosts.append(Host(number))
                await start_host(scene, scene.hosts[-1])
            await wait_until_synced(fixture)
            for _ in range(N_ROUTERS - 1):
                await add_router(scene)
            yield
        finally:
            close_scene(scene)


def close_scene(scene: HostScene) -> None:
    """Cancel the tasks and close what ``start_scene`` opened itself."""
    for task in scene.tasks:
        task.cancel()
    for running in scene.routers[1:]:
        close_router(running)
    for client in scene.clients:
        close_client(client)
    for host in scene.hosts:
        host.endpoint.server.listener.close()
        abort_connections(host.endpoint)


async def start_host(scene: HostScene, host: Host) -> None:
    """Start a host's next endpoint, with a new name unless told, and list it.

    Its port is one that the kernel gives to nobody while the host is down.
    """
    if not host.port:
        host.port = split_address(reserve_address())[1]
    host.n_starts += 1
    n_names = 1 if scene.keeps_names else host.n_starts
    name = f"{scene.service}-{host.number}-{n_names}"
    endpoint = StandInEndpoint(name, scene.service, slots=50)
    handler = partial(scene.answer, scene, host)
    endpoint.server = await start_server(handler, "127.0.0.1", host.port)
    host.endpoint, host.down = endpoint, False
    list_endpoint(scene.fixture.store, endpoint)


async def add_router(scene: HostScene) -> RunningRouter:
    """Start one more router on the scene's store, and wait until it knows the fleet."""
    first = scene.fixture.router.settings
    settings = replace(first, instance=f"router-{len(scene.routers) + 1}")
    client = Client()
    scene.clients.append(client)
    calls = connect_store(first.store_address, client)
    running = await start_router(settings, HEADER_CODEC, calls, format_retry_after)
    age_router(running)
    scene.routers.append(running)
    await wait_for(lambda: len(running.router.fleet_view.endpoints) >= N_ENDPOINTS)
    return running


async def wait_for(condition, limit_s: float = 5.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.02)


def crash_host(scene: HostScene, host: Host) -> None:
    """End every connection of a host's endpoint, and start the next one later."""
    if host.down:
        return
    loop = asyncio.get_running_loop()
    host.down = True
    scene.crashes_s.append(loop.time())
    host.endpoint.server.listener.close()
    loop.call_soon(abort_connections, host.endpoint)
    scene.tasks.append(asyncio.create_task(restart_host(scene, host)))


def abort_connections(endpoint: StandInEndpoint) -> None:
    """Abort every connection of an endpoint."""
    for connection in list(endpoint.server.connections):
        connection.abort()


async def restart_host(scene: HostScene, host: Host) -> None:
    """Start a host's next endpoint at the same address, after a while."""
    await asyncio.sleep(RESTART_S)
    unlist_endpoint(scene.fixture.store, host.endpoint)
    await start_host(scene, host)
