"""The agent process: wiring, housekeeping, drain and status page."""

import asyncio
import logging
import secrets

from pulley_base import Clock, configure_logs, log_event
from pulley_fleet.common_parts import (
    CommonParts,
    build_parts,
    follow_fleet,
    list_missing_parts,
    open_port,
    start_status_pages,
)
from pulley_fleet.counters import REFUSALS, sum_by_reason
from pulley_fleet.followers import Follower
from pulley_fleet.members import Members
from pulley_fleet.ports import dispatch_connection_control
from pulley_fleet.processes import (
    cancel_tasks,
    finish_or_stop,
    start_task,
    tune_garbage_collector,
    watch_signals,
)
from pulley_policy.admission import find_bound
from pulley_policy.answers import HeldAnswers
from pulley_policy.gates import Gate, estimate_mean
from pulley_policy.loads import LoadCount
from pulley_policy.suspects import Suspects
from pulley_wire.messages import Hello

from .admission import DEFAULT_CAPACITY_REQUESTS, Admission
from .claims import Claims, make_write_budget
from .crashes import CrashWatch, describe_quarantine, follow_suspects
from .exports import Exporter, close_exports, export_contexts
from .fencing import Fencing
from .gossip import handle_gossip, run_gossip, start_gossip
from .gossip_members import Gossip, leave_gossip
from .pauses import request_pauses
from .reports import EngineWatch, watch_engine
from .routes import Sessions, evict_held_answers
from .rumours import CrashGossip, attach_crash_gossip, handle_suspects
from .sessions import (
    announce_drain,
    finish_attempts,
    list_running,
    make_connection,
)
from .settings import AgentSettings

HOME_PLACEMENT = "home"
HOUSEKEEPING_INTERVAL_S = 1

logger = logging.getLogger(__name__)


def serve(settings: AgentSettings) -> int:
    """Run an agent until a signal stops it; return the exit code."""
    configure_logs(settings.log_level)
    return asyncio.run(run_agent(settings))


async def run_agent(settings: AgentSettings) -> int:
    """Start the components of the agent, serve, and drain on a signal."""
    parts = build_parts(settings, settings.service)
    members, control, background = parts.members, parts.control, parts.background
    sessions = make_sessions(settings, parts)
    stop, stop_now = watch_signals()
    sessions.on_control = lambda connection, frame: dispatch_connection_control(
        control, connection, frame
    )
    port = await open_port(parts, lambda: make_connection(sessions), sessions.traffic)
    sessions.hello.sender = port.address
    sessions.claims.address = port.address
    gossip = Gossip(sessions.admission, members, settings.data_centre, parts.clock)
    if settings.placement == HOME_PLACEMENT:
        start_gossip(gossip, port.address, port.datagrams)
        control.handlers.append(
            lambda peer, frame, reply: handle_gossip(gossip, peer, frame, reply)
        )
        start_task(background, run_gossip(gossip), "gossip")
    crash_gossip = CrashGossip(sessions.crash_watch, gossip, port.datagrams)
    attach_crash_gossip(crash_gossip)
    control.handlers.append(
        lambda peer, frame, reply: handle_suspects(crash_gossip, peer, frame, reply)
    )
    watch = EngineWatch(sessions.admission, parts.client, settings.engine)
    start_task(background, watch_engine(watch), "engine")
    admin = await start_status_pages(
        parts,
        missing=lambda: list_missing_parts(parts),
        status=lambda: describe_agent(sessions, parts.follower),
    )
    follow_fleet(parts, port, sessions.traffic, settings.claim_window_s)
    start_task(background, follow_suspects(sessions.crash_watch), "suspects")
    start_task(
        background, run_housekeeping(sessions, members, settings), "housekeeping"
    )
    tune_garbage_collector()
    log_event(
        logger,
        "listening",
        address=port.address,
        admin=admin.address,
        service=settings.service,
        engine=settings.engine,
    )
    await stop.wait()
    exporter = Exporter(gossip, parts.client, settings.engine, sessions.hello)
    n_cut = await drain(sessions, settings.drain_ms, stop_now, exporter)
    await cancel_tasks(background)
    log_event(logger, "stopped", n_cut=n_cut)
    return 0


def make_sessions(settings: AgentSettings, parts: CommonParts) -> Sessions:
    """Build the state that the connections of all routers share."""
    clock, window = parts.clock, parts.window
    hello = Hello(
        sender=settings.peer,
        role="agent",
        data_centre=settings.data_centre,
        service_name=settings.service,
        incarnation=secrets.token_hex(8),
        capacity=settings.capacity,
    )
    return Sessions(
        hello,
        parts.stamp,
        clock,
        parts.client,
        settings.engine,
        make_admission(settings, clock, parts.follower),
        settings.held_answer_bytes,
        Claims(
            window,
            clock,
            settings.service,
            make_write_budget(clock, settings.claim_writes_per_s),
        ),
        CrashWatch(
            window.store,
            clock,
            settings.service,
            settings.engine,
            Suspects(settings.quarantine_s * 1_000),
        ),
        HeldAnswers(settings.held_total_bytes, settings.hold_ms),
        Fencing(window.store, clock, settings.service, settings.engine),
    )


async def run_housekeeping(
    sessions: Sessions, members: Members, settings: AgentSettings
) -> None:
    """Evict expired held answers and update this agent's share of claim writes.

    The write budget of the service is divided evenly among its listed agents.
    """
    while True:
        evict_held_answers(sessions)
        listed = members.endpoints.values()
        n_agents = sum(each.service == settings.service for each in listed)
        writes_per_s = settings.claim_writes_per_s / max(1, n_agents)
        sessions.claims.budget.rate_per_s = writes_per_s
        await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)


def make_admission(
    settings: AgentSettings, clock: Clock, follower: Follower
) -> Admission:
    """Build the admission control in front of the engine."""
    gate = Gate(
        settings.peer,
        LoadCount(settings.capacity or DEFAULT_CAPACITY_REQUESTS),
        uses_home_placement=settings.placement == HOME_PLACEMENT,
    )
    return Admission(
        clock,
        settings.service,
        settings.capacity,
        gate,
        follower,
        n_slots=settings.slots,
        preempt=request_pauses,
    )


async def drain(
    sessions: Sessions, timeout_ms: int, stop_now: asyncio.Event, exporter: Exporter
) -> int:
    """Refuse new work, finish running work and return the number of attempts cut.

    A second signal ends the wait.
    """
    announce_drain(sessions)
    finishing = finish_and_export(sessions, timeout_ms, exporter)
    n_cut = await finish_or_stop(finishing, stop_now)
    if n_cut is not None:
        return n_cut
    return len(list_running(sessions)) + len(sessions.routes)


async def finish_and_export(
    sessions: Sessions, timeout_ms: int, exporter: Exporter
) -> int:
    """Finish the running attempts and export contexts; return the number cut."""
    if exporter.gossip.datagrams is None:
        return await finish_attempts(sessions, timeout_ms)
    leave_gossip(exporter.gossip)
    finishing = asyncio.create_task(finish_attempts(sessions, timeout_ms))
    await export_contexts(exporter)
    n_cut = await finishing
    await export_contexts(exporter)
    close_exports(exporter)
    return n_cut


def describe_load(admission: Admission) -> dict:
    """Return the engine's load, its capacity and its bound, in units of work."""
    gate = admission.gate
    mean = estimate_mean(gate, admission.clock.now_ms())
    return {
        "load": round(gate.load.load(), 1),
        "capacity": gate.load.capacity,
        "bound": round(find_bound(mean, gate.limits, gate.load.capacity), 1),
    }


def describe_agent(sessions: Sessions, follower: Follower) -> dict:
    """Return the agent's state for the status page."""
    return {
        "role": "agent",
        "address": sessions.hello.sender,
        "service": sessions.admission.service,
        "engine": sessions.engine,
        "revision": follower.rules.revision,
        "draining": sessions.stamp.draining,
        "n_running": sessions.admission.n_running,
        "n_waiting": sessions.admission.n_waiting,
        "n_connections": len(sessions.connections),
        "n_held": len(sessions.held_answers.by_nonce),
        "quarantined": describe_quarantine(sessions.crash_watch),
        "claim_window": sessions.claims.window.number,
        "store_up": sessions.claims.window.store_up,
        **describe_load(sessions.admission),
        "refusals": sum_by_reason(REFUSALS),
        "rejected_revision": follower.rules_state.rejected_revision,
    }
