"""A router's process: its listeners, its tasks, its start and its end."""

import asyncio
import logging
import signal
from collections.abc import Callable
from dataclasses import dataclass, replace

from pulley_base import (
    Clock,
    SettingsError,
    boot_time_ms,
    log_event,
    to_seconds,
)
from pulley_http import Request, Response, Server, start_server

from .admin import answer_admin
from .announcements import announce
from .beliefs import Beliefs
from .channels import ChannelPool, close_idle
from .followers import follow_store
from .front import handle_request
from .loads import LoadTable, forget_missing
from .models import Dialect, RouterSettings
from .rotation import LAST_CALLERS_MS
from .routers import Router
from .store_calls import StoreCalls
from .trust import is_ready

logger = logging.getLogger(__name__)

READY_PATH = "/readyz"
# Time kept for ending what is left before the process is killed.
GRACE_MARGIN_MS = 300
LOOK_MS = 50
# A settings file that changes without a signal is in force after this long.
SETTINGS_LOOK_MS = 1_000


@dataclass(slots=True)
class RunningRouter:
    """A router that serves: its state, its listeners and its tasks."""

    router: Router
    front: Server
    ready: Server
    admin: Server | None
    tasks: list[asyncio.Task]


async def run_router(
    settings: RouterSettings,
    dialect: Dialect,
    store: StoreCalls,
    format_retry_after: Callable[[int], bytes],
    reload: Callable[[], RouterSettings],
    modified_ns: Callable[[], int],
) -> int:
    """Serve until SIGTERM; gives the exit status.

    ``reload`` reads the settings again, ``modified_ns`` tells when their file was
    last written.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    running = await start_router(settings, dialect, store, format_retry_after)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, running.router, reload)
    running.tasks.append(
        asyncio.create_task(watch_settings(running.router, reload, modified_ns))
    )
    await stopped.wait()
    await drain(running)
    close_router(running)
    log_event(logger, "stopped", n_in_flight=running.router.n_in_flight)
    return 0


async def start_router(
    settings: RouterSettings,
    dialect: Dialect,
    store: StoreCalls,
    format_retry_after: Callable[[int], bytes],
) -> RunningRouter:
    """Listen for callers, and learn of the fleet while they already connect."""
    clock = Clock(boot_time_ms)
    beliefs = Beliefs(clock)
    router = Router(
        settings, dialect, clock, beliefs, ChannelPool(clock), LoadTable(clock)
    )
    front = await listen(
        settings.callers_address,
        lambda request: handle_request(router, request),
        clock=clock,
        format_retry_after=format_retry_after,
    )
    ready = await listen(
        settings.ready_address, lambda request: answer_ready(router, request)
    )
    admin = await listen_admin(router)
    log_event(logger, "started", instance=settings.instance, at_ms=clock.now_ms())
    bounds = settings.bounds
    within_ms = min(bounds.configuration_ms, bounds.drain_ms)
    tasks = [
        asyncio.create_task(follow_store(store, beliefs, clock, within_ms)),
        asyncio.create_task(announce(store, router)),
        asyncio.create_task(keep_house(router, front)),
    ]
    return RunningRouter(router, front, ready, admin, tasks)


def close_router(running: RunningRouter) -> None:
    """End the tasks and close every connection."""
    for task in running.tasks:
        task.cancel()
    for server in filter(None, (running.front, running.ready, running.admin)):
        server.listener.close()
        for connection in list(server.connections):
            connection.abort()
    close_idle(running.router.pool, set())


async def listen(address: str, handler, **options) -> Server:
    """Listen on IP:port."""
    host, _, port = address.rpartition(":")
    return await start_server(handler, host, int(port), **options)


async def listen_admin(router: Router) -> Server | None:
    """Listen for metrics and status where the settings name a port."""
    settings = router.settings
    if not settings.metrics_port:
        return None
    address = f"{settings.ip}:{settings.metrics_port}"
    return await listen(address, lambda request: answer_admin(router, request))


async def answer_ready(router: Router, request: Request) -> Response:
    """Answer the balancer's question."""
    if request.path != READY_PATH:
        return Response(404)
    return Response(200 if is_ready(router) else 503)


async def keep_house(router: Router, front: Server) -> None:
    """Forget what is gone, and keep the callers' limits as configured."""
    while True:
        await router.beliefs.changed.wait()
        configuration = router.beliefs.configuration
        if configuration is not None:
            front.limits = replace(configuration.limits)
        listed = set(router.beliefs.endpoints)
        addresses = {one.address for one in router.beliefs.endpoints.values()}
        close_idle(router.pool, addresses)
        forget_missing(router.loads, listed)


async def drain(running: RunningRouter) -> None:
    """Leave the rotation, finish what is in flight, and stop listening."""
    router, front = running.router, running.front
    clock = router.clock
    router.stops_at_ms = clock.deadline_ms(router.settings.bounds.grace_ms)
    end_ms = router.stops_at_ms - GRACE_MARGIN_MS
    front.draining = True
    log_event(logger, "draining", n_in_flight=router.n_in_flight)
    await asyncio.sleep(to_seconds(LAST_CALLERS_MS))
    while front.connections and clock.now_ms() < end_ms:
        for connection in list(front.connections):
            connection.close_if_idle()
        await asyncio.sleep(to_seconds(LOOK_MS))
    front.listener.close()


async def watch_settings(
    router: Router,
    reload: Callable[[], RouterSettings],
    modified_ns: Callable[[], int],
) -> None:
    """Take in the settings file when it changes without a signal."""
    known_ns = modified_ns()
    while True:
        await asyncio.sleep(to_seconds(SETTINGS_LOOK_MS))
        found_ns = modified_ns()
        if found_ns != known_ns:
            known_ns = found_ns
            reload_settings(router, reload)


def reload_settings(router: Router, reload: Callable[[], RouterSettings]) -> None:
    """Take in the settings file again; a bad file changes nothing."""
    try:
        router.settings = reload()
    except SettingsError as error:
        log_event(logger, "reload_refused", error=str(error))
        return
    log_event(logger, "reloaded", instance=router.settings.instance)
