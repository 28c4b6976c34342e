"""The agents that take part in gossip, and the homes that hold their pointers."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count

from pulley_base import Clock, log_event
from pulley_fleet.members import Members, usable_endpoints
from pulley_policy.gates import set_peers
from pulley_policy.placement import Candidate, find_homes
from pulley_policy.pointers import Notice, find_handover_notices, join_digests
from pulley_rules import is_drained
from pulley_wire import DatagramPort, Frame
from pulley_wire.messages import Pointers

from .admission import Admission, process_queue
from .counters import NOTICES

MEMBERS_CHECK_INTERVAL_MS = 1_000
TICK_INTERVAL_MS = 50
MAX_CACHED_HOMES = 10_000

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
