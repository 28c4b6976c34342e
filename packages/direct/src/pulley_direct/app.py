"""The router's process: listeners, tasks, startup and shutdown."""

import asyncio
import logging
import signal
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from pulley_base import (
    Clock,
    SettingsError,
    boot_time_ms,
    log_event,
    split_address,
    to_seconds,
)
from pulley_http import (
    Client,
    Request,
    Response,
    Server,
    close_server,
    start_server,
)
from pulley_policy.watchers import FollowTimes, Member, derive_times

from .admin import answer_operator
from .endpoints.departures import forget_gone
from .gossip_receipts import receive
from .peers.gossip import close_gossip, open_gossip
from .peers.relays import ask_watcher, open_relay
from .peers.versions import ask_versions
from .requests.front import handle_request
from .requests.trust import is_ready
from .state.channels import ChannelPool, close_unusable_idle
from .state.counters import UNANSWERED
from .state.fleet_views import FleetView
from .state.loads import LoadTable, remove_unlisted
from .state.models import HeaderCodec, RouterSettings
from .state.rooms import measure_rooms
from .state.routers import Router
from .store.announcements import announce
from .store.crash_reports import publish_reports
from .store.followers import follow_store
from .store.positions import Watchers
from .store.store_calls import StoreClient
from .transport.rotation import LAST_CONNECTIONS_MS, SHUTDOWN_MARGIN_MS

logger = logging.getLogger(__name__)

READY_PATH = "/readyz"
DRAIN_POLL_MS = 50
# A settings file that changes without a signal is reloaded within this time.
SETTINGS_POLL_MS = 1_000
# Settings that are in use since the start of the process.
FIXED_SETTINGS = (
    "instance",
    "ip",
    "data_centre",
    "callers_address",
    "ready_address",
    "peer_ports",
    "metrics_port",
)


@dataclass(slots=True)
class RunningRouter:
    """A running router: its state, its listeners and its tasks.

    ``store_tasks`` are those that call the store; ``start_store_tasks`` starts them.
    """

    router: Router
    store: StoreClient
    start_store_tasks: Callable[[], list[asyncio.Task]]
    store_tasks: list[asyncio.Task]
    caller_server: Server
    ready_server: Server
    admin_server: Server | None
    relay_server: Server | None
    tasks: list[asyncio.Task]


async def run_router(
    settings: RouterSettings,
    header_codec: HeaderCodec,
    store: StoreClient,
    format_retry_after: Callable[[int], bytes],
    reload: Callable[[], RouterSettings],
    modified_ns: Callable[[], int],
) -> int:
    """Serve until SIGTERM, and return the exit status.

    ``reload`` reads the settings again; ``modified_ns`` returns the time at which
    their file was last written.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    running = await start_router(settings, header_codec, store, format_retry_after)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, running, reload)
    running.tasks.append(
        asyncio.create_task(watch_settings(running, reload, modified_ns))
    )
    await stop_requested.wait()
    await drain(running)
    close_router(running)
    log_event(logger, "stopped", n_in_flight=running.router.n_in_flight)
    return 0


async def start_router(
    settings: RouterSettings,
    header_codec: HeaderCodec,
    store: StoreClient,
    format_retry_after: Callable[[int], bytes],
) -> RunningRouter:
    """Start the listeners and the tasks of a router.

    Callers can connect at once, while the router still reads the state of the
    fleet.
    """
    clock = Clock(boot_time_ms)
    fleet_view = FleetView(clock, awaits_versions=True)
    router = Router(
        settings, header_codec, clock, fleet_view, ChannelPool(clock), LoadTable(clock)
    )
    caller_server = await listen(
        settings.callers_address,
        lambda request: handle_request(router, request),
        clock=clock,
        on_unanswered=lambda: router.counters.unfinished.update([UNANSWERED]),
        format_retry_after=format_retry_after,
        max_connections=router.rooms.caller_connections,
        on_turned_away=lambda: count_turned_away(router),
    )
    ready_server = await listen(
        settings.ready_address, lambda request: answer_ready(router, request)
    )
    admin_server = await listen_admin(router)
    await open_gossip(router, partial(receive, router))
    relay_server = await open_relay(router, derive_times(in_force_ms(settings)))
    log_event(logger, "started", instance=settings.instance, at_ms=clock.now_ms())
    if relay_server is None:
        # Nobody could follow this router; it watches the store for itself.
        router.peer_key = ""
    start_tasks = partial(start_store_tasks, store, router)
    tasks = [
        asyncio.create_task(ask_versions(router)),
        asyncio.create_task(run_housekeeping(router, caller_server)),
    ]
    return RunningRouter(
        router,
        store,
        start_tasks,
        start_tasks(),
        caller_server,
        ready_server,
        admin_server,
        relay_server,
        tasks,
    )


def in_force_ms(settings: RouterSettings) -> int:
    """Return the time within which a change in the store must be in force, in ms."""
    return min(settings.bounds.configuration_ms, settings.bounds.drain_ms)


def start_store_tasks(store: StoreClient, router: Router) -> list[asyncio.Task]:
    """Start the tasks that call the store."""
    limit_ms = in_force_ms(router.settings)
    watchers = None
    if router.peer_key:
        watchers = find_watchers(router.settings, derive_times(limit_ms))
    following = follow_store(store, router.fleet_view, router.clock, limit_ms, watchers)
    return [
        asyncio.create_task(following),
        asyncio.create_task(announce(store, router)),
        asyncio.create_task(publish_reports(store, router)),
    ]


def count_turned_away(router: Router) -> None:
    """Count a caller's connection that was closed at once, as there were too many."""
    router.counters.turned_away += 1


def find_watchers(settings: RouterSettings, times: FollowTimes) -> Watchers:
    """Return how this router asks others that watch the store."""
    client = Client(connect_timeout_ms=times.answer_wait_ms)
    link_mbps = settings.limits.link_mbps
    own = Member(settings.instance, settings.data_centre, link_mbps)
    return Watchers(own, partial(ask_watcher, client, times))


def close_router(running: RunningRouter) -> None:
    """Cancel the tasks and close every connection."""
    for task in [*running.tasks, *running.store_tasks]:
        task.cancel()
    close_gossip(running.router)
    servers = (
        running.caller_server,
        running.ready_server,
        running.admin_server,
        running.relay_server,
    )
    for server in filter(None, servers):
        close_server(server)
    close_unusable_idle(running.router.pool, set())


async def listen(address: str, handler, **options) -> Server:
    """Start an HTTP server at IP:port."""
    return await start_server(handler, *split_address(address), **options)


async def listen_admin(router: Router) -> Server | None:
    """Start the server for metrics and status, None if the settings name no port."""
    settings = router.settings
    if not settings.metrics_port:
        return None
    address = f"{settings.ip}:{settings.metrics_port}"
    return await listen(address, lambda request: answer_operator(router, request))


async def answer_ready(router: Router, request: Request) -> Response:
    """Answer the load balancer's readiness check: 200 if ready, otherwise 503."""
    if request.path != READY_PATH:
        return Response(404)
    return Response(200 if is_ready(router) else 503)


async def run_housekeeping(router: Router, caller_server: Server) -> None:
    """Remove the state of unlisted endpoints and apply new limits at each change."""
    while True:
        await router.fleet_view.changed.wait()
        configuration = router.fleet_view.configuration
        if configuration is not None:
            caller_server.limits = replace(configuration.limits)
        listed = set(router.fleet_view.endpoints)
        addresses = {one.address for one in router.fleet_view.endpoints.values()}
        close_unusable_idle(router.pool, addresses)
        remove_unlisted(router.loads, listed)
        forget_gone(router.fleet_view)


async def drain(running: RunningRouter) -> None:
    """Report not ready, finish the requests in flight, and stop listening."""
    router, caller_server = running.router, running.caller_server
    clock = router.clock
    router.stops_at_ms = clock.deadline_ms(router.settings.bounds.grace_ms)
    end_ms = router.stops_at_ms - SHUTDOWN_MARGIN_MS
    caller_server.draining = True
    if running.relay_server is not None:
        # Its followers turn to another watcher before this one is gone.
        close_server(running.relay_server)
    log_event(logger, "draining", n_in_flight=router.n_in_flight)
    await asyncio.sleep(to_seconds(min(LAST_CONNECTIONS_MS, end_ms - clock.now_ms())))
    ends = False
    while caller_server.connections and not ends:
        # The router may have been busy until the end: answers may be there, unread.
        ends = clock.now_ms() >= end_ms
        for connection in list(caller_server.connections):
            connection.close_if_idle()
        await asyncio.sleep(to_seconds(DRAIN_POLL_MS))
    caller_server.listener.close()


async def watch_settings(
    running: RunningRouter,
    reload: Callable[[], RouterSettings],
    modified_ns: Callable[[], int],
) -> None:
    """Reload the settings file when it changes without a signal."""
    known_ns = modified_ns()
    while True:
        await asyncio.sleep(to_seconds(SETTINGS_POLL_MS))
        found_ns = modified_ns()
        if found_ns != known_ns:
            known_ns = found_ns
            reload_settings(running, reload)


def reload_settings(
    running: RunningRouter, reload: Callable[[], RouterSettings]
) -> None:
    """Reload the settings file; an invalid file changes nothing.

    What can't change while the process runs is logged, and shown on the status page.
    """
    router = running.router
    try:
        found = reload()
    except SettingsError as error:
        log_event(logger, "reload_refused", error=str(error))
        return
    old = router.settings
    router.unapplied_settings = list_unapplied(old, found)
    kept = {name: getattr(old, name) for name in FIXED_SETTINGS}
    router.settings = replace(found, **kept)
    apply_limits(running)
    if calls_store_otherwise(old, router.settings):
        restart_store_tasks(running)
    log_event(
        logger,
        "reloaded",
        instance=router.settings.instance,
        store=router.settings.store_address,
        unapplied=",".join(router.unapplied_settings) or None,
    )


def list_unapplied(old: RouterSettings, found: RouterSettings) -> list[str]:
    """Return the settings that have changed and need a restart."""
    return [
        name for name in FIXED_SETTINGS if getattr(found, name) != getattr(old, name)
    ]


def apply_limits(running: RunningRouter) -> None:
    """Divide up what the process may use once more."""
    router = running.router
    router.rooms = measure_rooms(router.settings.limits)
    router.account.capacity_bytes = router.rooms.bodies_bytes
    running.caller_server.max_connections = router.rooms.caller_connections


def calls_store_otherwise(old: RouterSettings, new: RouterSettings) -> bool:
    """Check whether the store has moved, or has to be followed at another pace."""
    if old.store_address != new.store_address:
        return True
    return in_force_ms(old) != in_force_ms(new)


def restart_store_tasks(running: RunningRouter) -> None:
    """Call the store that the settings name, and read all that it holds."""
    for task in running.store_tasks:
        task.cancel()
    running.store.move(running.router.settings.store_address)
    running.store_tasks = running.start_store_tasks()
