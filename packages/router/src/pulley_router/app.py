"""The router process: assembly of its parts, startup and shutdown."""

import asyncio
import logging
import secrets

from pulley_base import configure_logs, log_event, split_address
from pulley_fleet.common_parts import (
    CommonParts,
    build_parts,
    follow_fleet,
    list_missing_parts,
    open_port,
    start_status_pages,
)
from pulley_fleet.counters import REFUSALS, sum_by_reason
from pulley_fleet.members import (
    Members,
    mark_leaving,
    record_connection_loss,
    record_hello,
)
from pulley_fleet.ports import dispatch_connection_control
from pulley_fleet.processes import (
    cancel_tasks,
    finish_or_stop,
    tune_garbage_collector,
    watch_signals,
)
from pulley_http import Limits, Server, drain_server, start_server
from pulley_policy.baselines import PLACEMENTS
from pulley_wire import Frame
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
    parts = build_parts(settings)
    members, control = parts.members, parts.control
    peers = Peers(make_hello(settings), parts.stamp, parts.clock)
    peers.on_draining = lambda peer: mark_leaving(members, peer)
    peers.on_lost = lambda peer: record_connection_loss(members, peer)
    peers.on_control = lambda connection, frame: dispatch_connection_control(
        control, connection, frame
    )
    control.handlers.append(
        lambda peer, frame, reply: record_agent_hello(members, peer, frame)
    )
    dispatcher = Dispatcher(
        peers,
        members,
        parts.clock,
        parts.follower,
        parts.window,
        settings.data_centre,
        PLACEMENTS[settings.placement],
    )
    port = await open_port(parts, lambda: accept_connection(peers), peers.traffic)
    peers.hello.sender = port.address
    stop, stop_now = watch_signals()
    server = await start_caller_server(settings, dispatcher)
    admin = await start_status_pages(
        parts,
        missing=lambda: list_missing(parts),
        status=lambda: describe(server, parts, peers),
    )
    follow_fleet(parts, port, peers.traffic)
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
    parts.stamp.draining = True
    n_cut = await drain(server, settings.drain_ms, stop_now)
    await cancel_tasks(parts.background)
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
    settings: RouterSettings, dispatcher: Dispatcher
) -> Server:
    """Start the HTTP server for callers."""
    limits = Limits(
        body_bytes=settings.body_bytes,
        head_timeout_ms=settings.head_timeout_ms,
        body_timeout_ms=settings.body_timeout_ms,
    )
    return await start_server(
        make_handler(dispatcher.follower, dispatcher, dispatcher.clock),
        *split_address(settings.listen),
        limits=limits,
        clock=dispatcher.clock,
        on_refused=record_refusal,
    )


async def drain(server: Server, timeout_ms: int, stop_now: asyncio.Event) -> int:
    """Wait until the requests in flight have ended; return how many were cut.

    The wait ends after ``timeout_ms`` or when ``stop_now`` is set.
    """
    n_cut = await finish_or_stop(drain_server(server, timeout_ms), stop_now)
    return len(server.connections) if n_cut is None else n_cut


def list_missing(parts: CommonParts) -> list[str]:
    """Return the names of what the router needs before it is ready."""
    missing = list_missing_parts(parts)
    if not parts.members.endpoints:
        missing.append("a peer")
    return missing


def describe(server: Server, parts: CommonParts, peers: Peers) -> dict:
    """Return the router's state for the status page."""
    return {
        "role": "router",
        "address": server.address,
        "revision": parts.follower.rules.revision,
        "draining": server.draining,
        "n_endpoints": len(parts.members.endpoints),
        "n_connections": len(peers.connections),
        "n_in_flight": len(peers.streams),
        "refusals": sum_by_reason(REFUSALS),
        "rejected_revision": parts.follower.rules_state.rejected_revision,
    }
