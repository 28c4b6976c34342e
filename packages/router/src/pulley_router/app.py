"""The router process: assembly of its parts, startup and shutdown."""

import asyncio
import logging
import secrets
from random import Random

from pulley_base import Clock, configure_logs, log_event
from pulley_fleet.admin import start_admin
from pulley_fleet.counters import (
    REFUSALS,
    count_store_call,
    publish_traffic,
    sum_by_reason,
)
from pulley_fleet.followers import Follower
from pulley_fleet.members import (
    Members,
    follow_list,
    list_processes,
    mark_leaving,
    record_connection_loss,
    record_hello,
)
from pulley_fleet.ports import (
    ControlHandlers,
    dispatch_connection_control,
    open_peer_port,
)
from pulley_fleet.processes import (
    BackgroundTasks,
    cancel_tasks,
    start_task,
    tune_garbage_collector,
    watch_signals,
)
from pulley_fleet.rules_reads import (
    announce_revision_forever,
    connect_follower,
    follow_rules,
)
from pulley_fleet.settings import digest_fleet, split_address
from pulley_fleet.statuses import answer_status
from pulley_fleet.windows import Window, follow_window
from pulley_http import Client, Limits, Server, drain_server, start_server
from pulley_platform.stores import Store
from pulley_policy.baselines import PLACEMENTS
from pulley_wire import Frame, FrameStamp
from pulley_wire.messages import Hello

from .dispatchers import Dispatcher
from .entry import make_handler, record_refusal
from .peers import Peers, accept_connection
from .settings import RouterSettings

logger = logging.getLogger(__name__)


def route(settings: RouterSettings) -> int:
    """Run a router until it gets a stop signal; return the exit code."""
    configure_logs(settings.log_level)
    return asyncio.run(run_router(settings))


async def run_router(settings: RouterSettings) -> int:
    """Start the router's parts, serve, and shut down gracefully on a signal."""
    clock = Clock()
    stamp = FrameStamp(fleet=digest_fleet(settings.fleet))
    client = Client(clock=clock)
    store = Store(client, (settings.store,), on_call=count_store_call)
    follower = Follower(stamp, clock)
    members = Members(clock)
    window = Window(store)
    peers = Peers(make_hello(settings), stamp, clock)
    peers.on_draining = lambda peer: mark_leaving(members, peer)
    peers.on_lost = lambda peer: record_connection_loss(members, peer)
    control = ControlHandlers(
        [lambda peer, frame, reply: record_agent_hello(members, peer, frame)]
    )
    dispatcher = Dispatcher(
        peers,
        members,
        clock,
        follower,
        window,
        settings.data_centre,
        PLACEMENTS[settings.placement],
    )
    peers.on_control = lambda connection, frame: dispatch_connection_control(
        control, connection, frame
    )
    port = await open_peer_port(
        *split_address(settings.peer),
        lambda: accept_connection(peers),
        control,
        stamp=stamp,
        traffic=peers.traffic,
    )
    peers.hello.sender = port.address
    publish_traffic(peers.traffic)
    background = BackgroundTasks()
    stop, stop_now = watch_signals()
    server = await start_caller_server(settings, follower, dispatcher)

    def status() -> dict:
        return describe(server, follower, members, peers)

    control.handlers.append(
        lambda peer, frame, reply: answer_status(status, frame, reply)
    )
    admin = await start_admin(
        *split_address(settings.admin),
        missing=lambda: missing_parts(follower, members),
        status=status,
    )
    connect_follower(
        follower, control, port, peers.traffic, lambda: list_processes(members)
    )
    start_task(background, follow_rules(follower, store), "rules")
    start_task(
        background,
        follow_window(window, lambda: len(list_processes(members))),
        "window",
    )
    start_task(background, announce_revision_forever(follower), "rules-greetings")
    start_task(
        background,
        follow_list(
            members, client, settings.instances, settings.data_centre, Random()
        ),
        "instances",
    )
    tune_garbage_collector()
    log_event(
        logger,
        "listening",
        address=server.address,
        admin=admin.address,
        peer=port.address,
        data_centre=settings.data_centre,
    )
    await stop.wait()
    stamp.draining = True
    n_cut = await drain(server, settings.drain_ms, stop_now)
    await cancel_tasks(background)
    log_event(logger, "stopped", n_cut=n_cut)
    return 0


def record_agent_hello(members: Members, peer: str, frame: Frame) -> None:
    """Record the hello of an agent on a new connection; ignore other frames."""
    if frame.hello is not None and frame.hello.role == "agent":
        record_hello(members, peer, frame.hello.incarnation or "")


def make_hello(settings: RouterSettings) -> Hello:
    """Build the hello that this router sends on each new connection."""
    return Hello(
        sender=settings.peer,
        role="router",
        data_centre=settings.data_centre,
        incarnation=secrets.token_hex(8),
    )


async def start_caller_server(
    settings: RouterSettings, follower: Follower, dispatcher: Dispatcher
) -> Server:
    """Start the HTTP server for callers."""
    limits = Limits(
        body_bytes=settings.body_bytes,
        head_timeout_ms=settings.head_timeout_ms,
        body_timeout_ms=settings.body_timeout_ms,
    )
    return await start_server(
        make_handler(follower, dispatcher, dispatcher.clock),
        *split_address(settings.listen),
        limits=limits,
        clock=dispatcher.clock,
        on_refused=record_refusal,
    )


async def drain(server: Server, timeout_ms: int, stop_now: asyncio.Event) -> int:
    """Wait until the requests in flight have ended; return how many were cut.

    The wait ends after ``timeout_ms`` or when ``stop_now`` is set.
    """
    draining = asyncio.create_task(drain_server(server, timeout_ms))
    stopping = asyncio.create_task(stop_now.wait())
    await asyncio.wait({draining, stopping}, return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if draining.done():
        return draining.result()
    draining.cancel()
    return len(server.connections)


def missing_parts(follower: Follower, members: Members) -> list[str]:
    """Return the names of what the router needs before it is ready."""
    missing = []
    if follower.rules.revision == 0:
        missing.append("rules")
    if members.n_reads == 0:
        missing.append("instance list")
    if not members.endpoints:
        missing.append("a peer")
    return missing


def describe(
    server: Server, follower: Follower, members: Members, peers: Peers
) -> dict:
    """Return the router's state for the status page."""
    return {
        "role": "router",
        "address": server.address,
        "revision": follower.rules.revision,
        "draining": server.draining,
        "n_endpoints": len(members.endpoints),
        "n_connections": len(peers.connections),
        "n_in_flight": len(peers.streams),
        "refusals": sum_by_reason(REFUSALS),
        "rejected_revision": follower.rules_state.rejected_revision,
    }
