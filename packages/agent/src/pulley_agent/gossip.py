"""Gossip among the agents of one service: loads, and which chats are warm where.

All messages are datagrams and may be lost; each is sent again later.
"""

import asyncio

from pulley_base import to_seconds
from pulley_fleet.ports import Reply
from pulley_policy.gates import is_full
from pulley_policy.means import EXCHANGE_INTERVAL_MS, choose_partners
from pulley_policy.pointers import find_pending_notices, split_digests
from pulley_wire import DatagramPort, Frame
from pulley_wire.messages import Mean, Pointers

from .admission import process_queue
from .chat_lookups import answer_lookup, look_up_chat
from .gossip_members import (
    TICK_INTERVAL_MS,
    Gossip,
    home_finder,
    send_notices,
    update_members,
)

POINTER_REFRESH_INTERVAL_MS = 1_000
N_REFRESHED_CHATS = 8
LOAD_CHANGE_SHARE = 0.1


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
