"""Gossip among the agents of one service: loads, and which chats are warm where.

All messages are datagrams and may be lost; each is sent again later.
"""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count

from pulley_base import Clock, Sentinel, log_event, to_seconds
from pulley_fleet.members import Members, usable_endpoints
from pulley_fleet.ports import Reply
from pulley_policy.gates import find_pointer, is_full, set_peers
from pulley_policy.means import EXCHANGE_INTERVAL_MS, choose_partners
from pulley_policy.placement import Candidate, find_homes
from pulley_policy.pointers import (
    Notice,
    find_handover_notices,
    find_pending_notices,
    join_digests,
    split_digests,
)
from pulley_rules import is_drained
from pulley_wire import DatagramPort, Frame
from pulley_wire.messages import Mean, PointerAnswer, PointerAsk, Pointers

from .admission import Admission, process_queue
from .counters import NOTICES, POINTER_ASKS

LOOKUP_TIMEOUT_MS = 150
FIRST_LIST_TIMEOUT_MS = 500
JOIN_PERIOD_MS = 10_000
POINTER_REFRESH_INTERVAL_MS = 1_000
N_REFRESHED_CHATS = 8
MEMBERS_CHECK_INTERVAL_MS = 1_000
LOAD_CHANGE_SHARE = 0.1
TICK_INTERVAL_MS = 50
MAX_CACHED_HOMES = 10_000

COLD = Sentinel("cold", "no peer that was asked knows the chat")
UNANSWERED = Sentinel("unanswered", "not every peer answered before the timeout")

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Gossip:
    """State of one agent's gossip with the other agents of its service.

    ``pending_lookups`` holds the queues that wait for a PointerAnswer, by sequence
    number. ``load_sent_share`` is the load last sent to other agents, as a share of
    capacity. ``home_candidates`` are the endpoints among which a chat's homes are
    chosen. ``cached_homes`` holds the homes of chats for the candidates
    ``cached_homes_candidates``; ``seen_state`` is the state at the last check of the
    members.
    """

    admission: Admission
    members: Members
    data_centre: str
    clock: Clock
    address: str = ""
    datagrams: DatagramPort | None = None
    started_ms: int = 0
    pointers_refreshed_ms: int = 0
    load_sent_ms: int = 0
    load_sent_share: float = 0.0
    load_sent_full: bool = False
    sequences: count = field(default_factory=lambda: count(1))
    pending_lookups: dict[int, asyncio.Queue] = field(default_factory=dict)
    home_candidates: tuple[str, ...] = ()
    seen_state: tuple[int, int, bool] | None = None
    members_checked_ms: int = 0
    cached_homes: dict[bytes, tuple[str, ...]] = field(default_factory=dict)
    cached_homes_candidates: tuple[str, ...] = ()


def start_gossip(gossip: Gossip, address: str, datagrams: DatagramPort) -> None:
    """Start to take part in the gossip under ``address``."""
    gossip.address = address
    gossip.datagrams = datagrams
    gossip.started_ms = gossip.clock.now_ms()
    gossip.admission.gate.endpoint = address
    gossip.admission.look_up_chat = lambda chat: look_up_chat(gossip, chat)


async def run_gossip(gossip: Gossip) -> None:
    """Exchange loads and pointers until cancelled."""
    interval_s = to_seconds(TICK_INTERVAL_MS)
    while True:
        update_members(gossip)
        now_ms = gossip.clock.now_ms()
        if is_load_due(gossip, now_ms):
            send_load(gossip, now_ms)
        notify_homes(gossip, now_ms)
        await asyncio.sleep(interval_s * gossip.admission.random.uniform(0.8, 1.2))


def is_load_due(gossip: Gossip, now_ms: int) -> bool:
    """Check whether to send this agent's load now.

    It is due at fixed intervals, and earlier after a large change.
    """
    if now_ms - gossip.load_sent_ms >= EXCHANGE_INTERVAL_MS:
        return True
    if is_full(gossip.admission.gate) != gossip.load_sent_full:
        return True
    return abs(current_load_share(gossip) - gossip.load_sent_share) >= LOAD_CHANGE_SHARE


def current_load_share(gossip: Gossip) -> float:
    """Return the engine's load as a share of its capacity."""
    load = gossip.admission.gate.load
    return load.load() / load.capacity


def update_members(gossip: Gossip) -> None:
    """Update the members that take work; hand pointers over after a change.

    Returns without a check if nothing has changed since the last one and less than
    ``MEMBERS_CHECK_INTERVAL_MS`` has passed.
    """
    gate = gossip.admission.gate
    revision = gossip.admission.follower.rules.revision
    state = (gossip.members.table.version, revision, gate.draining)
    now_ms = gossip.clock.now_ms()
    if (
        state == gossip.seen_state
        and now_ms - gossip.members_checked_ms < MEMBERS_CHECK_INTERVAL_MS
    ):
        return
    gossip.seen_state, gossip.members_checked_ms = state, now_ms
    update_drained_by_rule(gossip)
    others = list_other_endpoints(gossip)
    peers = frozenset(member.name for member in others)
    local = frozenset(
        member.name for member in others if member.data_centre == gossip.data_centre
    )
    own = () if gate.draining or gate.drained_by_rule else (gossip.address,)
    names = tuple(sorted((*local, *own)))
    if peers == gate.peers and names == gossip.home_candidates:
        return
    set_peers(gate, peers, local)
    gossip.home_candidates = names
    log_event(logger, "peers_changed", n_peers=len(peers), n_local=len(local))
    send_notices(
        gossip,
        find_handover_notices(gate.pointers, gossip.address, home_finder(gossip)),
    )


def list_other_endpoints(gossip: Gossip) -> list[Candidate]:
    """Return the other endpoints of the service that may get work."""
    rules = gossip.admission.follower.rules
    return [
        member
        for member in usable_endpoints(gossip.members, gossip.admission.service)
        if member.name != gossip.address
        and not is_drained(rules, member.name, member.data_centre)
    ]


def update_drained_by_rule(gossip: Gossip) -> None:
    """Close the gate while a rule drains this endpoint or the list has it leaving."""
    admission = gossip.admission
    listed = gossip.members.endpoints.get(gossip.address)
    rules = admission.follower.rules
    drained_by_rule = is_drained(rules, gossip.address, gossip.data_centre) or (
        listed is not None and listed.leaving
    )
    if drained_by_rule == admission.gate.drained_by_rule:
        return
    log_event(logger, "ruled_out" if drained_by_rule else "ruled_in")
    admission.gate.drained_by_rule = drained_by_rule
    process_queue(admission)


def leave_gossip(gossip: Gossip) -> None:
    """Hand each pointer over to the homes its chat has without this agent."""
    gate = gossip.admission.gate
    gossip.home_candidates = tuple(sorted(gate.local))
    send_notices(
        gossip,
        find_handover_notices(gate.pointers, gossip.address, home_finder(gossip)),
    )


def home_finder(gossip: Gossip):
    """Return a function that maps a chat to its homes among the current members."""
    names = gossip.home_candidates or (gossip.address,)
    homes = gossip.cached_homes
    if gossip.cached_homes_candidates != names or len(homes) > MAX_CACHED_HOMES:
        homes.clear()
        gossip.cached_homes_candidates = names

    def find(chat: bytes) -> tuple[str, ...]:
        if chat not in homes:
            homes[chat] = find_homes(chat, names)
        return homes[chat]

    return find


def send_load(gossip: Gossip, now_ms: int) -> None:
    """Send this agent's load to a few random peers."""
    gate = gossip.admission.gate
    gossip.load_sent_ms = now_ms
    gossip.load_sent_share = current_load_share(gossip)
    gossip.load_sent_full = is_full(gate)
    peers = sorted(gate.peers)
    for peer in choose_partners(peers, gossip.admission.random.random):
        gossip.datagrams.send(peer, Frame(mean=make_mean(gossip, reply=False)))


def make_mean(gossip: Gossip, reply: bool) -> Mean:
    """Build the message that carries this agent's load."""
    gate = gossip.admission.gate
    gate.mean.round += 1
    return Mean(
        service_name=gossip.admission.service,
        load=gate.load.load(),
        capacity=0.0 if gate.engine_down else gate.load.capacity,
        round=gate.mean.round,
        reply=reply or None,
        full=is_full(gate) or None,
    )


def notify_homes(gossip: Gossip, now_ms: int) -> None:
    """Send pointers to homes that may not know which chats are warm here."""
    if gossip.admission.gate.draining:
        return
    warm = gossip.admission.gate.warm
    if now_ms - gossip.pointers_refreshed_ms >= POINTER_REFRESH_INTERVAL_MS:
        gossip.pointers_refreshed_ms = now_ms
        warm.refresh(N_REFRESHED_CHATS)
    send_notices(
        gossip, find_pending_notices(warm, gossip.address, home_finder(gossip))
    )


def send_notices(gossip: Gossip, notices: Iterable[Notice]) -> None:
    """Send pointers to the homes that should hold them."""
    for notice in notices:
        message = Pointers(
            service_name=gossip.admission.service,
            chats=join_digests(notice.chats),
            endpoint=notice.endpoint,
        )
        NOTICES.labels("sent").inc()
        gossip.datagrams.send(notice.home, Frame(pointers=message))


def handle_gossip(gossip: Gossip, peer: str, frame: Frame, reply: Reply) -> None:
    """Process a control frame from another agent."""
    if frame.mean is not None:
        handle_mean(gossip, peer, frame, reply)
    elif frame.pointers is not None:
        handle_pointers(gossip, frame.pointers)
    elif frame.pointer_ask is not None:
        reply(Frame(pointer_answer=answer_lookup(gossip, frame.pointer_ask)))
    elif frame.pointer_answer is not None:
        answers = gossip.pending_lookups.get(frame.pointer_answer.sequence)
        if answers is not None:
            answers.put_nowait(frame.pointer_answer.endpoint or "")


def handle_mean(gossip: Gossip, peer: str, frame: Frame, reply: Reply) -> None:
    """Record another agent's load and reply with this agent's load."""
    mean, gate = frame.mean, gossip.admission.gate
    if mean.service_name != gossip.admission.service:
        return
    if frame.draining:
        gossip.members.table.mark_draining(peer)
        gate.mean.drop(peer)
    else:
        gossip.members.table.mark_open(peer)
    if peer in gate.peers and not frame.draining:
        now_ms = gossip.clock.now_ms()
        full = bool(mean.full)
        gate.mean.add_sample(peer, mean.load, mean.capacity, mean.round, now_ms, full)
    if not mean.reply:
        reply(Frame(mean=make_mean(gossip, reply=True)))
    if gate.queue.n_waiting:
        process_queue(gossip.admission)


def handle_pointers(gossip: Gossip, message: Pointers) -> None:
    """Record where chats are warm, except for chats that are warm here."""
    gate = gossip.admission.gate
    if message.service_name != gossip.admission.service:
        return
    for chat in split_digests(message.chats or b""):
        if message.gone:
            gate.pointers.remove_if(chat, message.endpoint)
        elif message.endpoint != gossip.address:
            gate.pointers.set(chat, message.endpoint)


def answer_lookup(gossip: Gossip, ask: PointerAsk) -> PointerAnswer:
    """Return the endpoint where a chat is warm, as far as this agent knows."""
    gate = gossip.admission.gate
    endpoint = find_pointer(gate, ask.chat or b"")
    if ask.chat in gate.warm.chats and not gate.draining:
        endpoint = gossip.address
    return PointerAnswer(sequence=ask.sequence, endpoint=endpoint or None)


async def look_up_chat(gossip: Gossip, chat: bytes) -> None:
    """Ask the agents that should know where ``chat`` is warm, and record it.

    These are the chat's homes, or its homes before this agent joined. An agent that
    is a home itself asks only in the first ``JOIN_PERIOD_MS`` after its start. A chat
    counts as cold if nobody answers within ``LOOKUP_TIMEOUT_MS``.
    """
    await wait_for_members(gossip)
    others = [name for name in gossip.home_candidates if name != gossip.address]
    joined_ms = gossip.clock.now_ms() - gossip.started_ms
    knows = gossip.address in home_finder(gossip)(chat) and joined_ms > JOIN_PERIOD_MS
    if knows or not others:
        return
    asked = list(find_homes(chat, others))
    endpoint = await ask_peers(gossip, chat, asked)
    POINTER_ASKS.labels(endpoint and "warm" or endpoint.name).inc()
    if endpoint and endpoint != gossip.address:
        gossip.admission.gate.pointers.set(chat, endpoint)


async def wait_for_members(gossip: Gossip) -> None:
    """Wait up to ``FIRST_LIST_TIMEOUT_MS`` for the first instance list."""
    waited_ms = 0
    while not gossip.admission.gate.peers and waited_ms < FIRST_LIST_TIMEOUT_MS:
        if gossip.members.n_reads:
            update_members(gossip)
            return
        waited_ms += TICK_INTERVAL_MS
        await asyncio.sleep(to_seconds(TICK_INTERVAL_MS))


async def ask_peers(gossip: Gossip, chat: bytes, peers: list[str]) -> str | Sentinel:
    """Return the first endpoint that a peer names, or COLD or UNANSWERED if none."""
    answers = asyncio.Queue()
    sequences = [next(gossip.sequences) for _peer in peers]
    for sequence, peer in zip(sequences, peers, strict=True):
        gossip.pending_lookups[sequence] = answers
        ask = PointerAsk(
            sequence=sequence, service_name=gossip.admission.service, chat=chat
        )
        gossip.datagrams.send(peer, Frame(pointer_ask=ask))
    try:
        async with asyncio.timeout(to_seconds(LOOKUP_TIMEOUT_MS)):
            for _peer in peers:
                if endpoint := await answers.get():
                    return endpoint
    except TimeoutError:
        return UNANSWERED
    finally:
        for sequence in sequences:
            del gossip.pending_lookups[sequence]
    return COLD
