"""Lookups of chats: questions to other agents about where a chat is warm."""

import asyncio

from pulley_base import Sentinel, time_limit, to_seconds
from pulley_policy.gates import find_pointer
from pulley_policy.placement import find_homes
from pulley_wire import Frame
from pulley_wire.messages import PointerAnswer, PointerAsk

from .counters import POINTER_ASKS
from .gossip_members import TICK_INTERVAL_MS, Gossip, home_finder, update_members

LOOKUP_TIMEOUT_MS = 150
FIRST_LIST_TIMEOUT_MS = 500
JOIN_PERIOD_MS = 10_000

COLD = Sentinel("cold", "no peer that was asked knows the chat")
UNANSWERED = Sentinel("unanswered", "not every peer answered before the timeout")


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
        async with time_limit(LOOKUP_TIMEOUT_MS):
            for _peer in peers:
                if endpoint := await answers.get():
                    return endpoint
    except TimeoutError:
        return UNANSWERED
    finally:
        for sequence in sequences:
            del gossip.pending_lookups[sequence]
    return COLD
