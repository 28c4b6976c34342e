"""Crash reports forwarded between agents, in addition to those in the store.

A report names the digests of the requests that were in flight at the crash, the
suspects; a long one is split into several messages. An agent that receives a message
for the first time forwards it once to a few other agents of its service. Agents that
miss it because of lost datagrams learn of the crash from the store.
"""

import logging
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from pulley_base import log_event
from pulley_fleet.ports import Reply
from pulley_policy.means import choose_partners
from pulley_policy.pointers import split_digests
from pulley_policy.suspects import DIGEST_BYTES, record_crash
from pulley_wire import DatagramPort, Frame
from pulley_wire.messages import Suspects

from .crashes import CrashWatch
from .gossip_members import Gossip

N_FORWARD_PEERS = 6
MAX_DIGESTS_PER_MESSAGE = 64
MAX_SEEN_MESSAGES = 1_000

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class CrashGossip:
    """The state that an agent needs to exchange crash reports with other agents.

    ``seen`` holds the crash id and first digest of the messages that this agent sent
    or received, the latest last; the oldest is removed beyond ``MAX_SEEN_MESSAGES``.
    """

    watch: CrashWatch
    gossip: Gossip
    datagrams: DatagramPort
    seen: OrderedDict[tuple[str, bytes], None] = field(default_factory=OrderedDict)


def attach_crash_gossip(crash_gossip: CrashGossip) -> None:
    """Make the crash watch announce crashes and count agents through this gossip.

    The count is this agent and the service's other agents in its data centre.
    """
    gate = crash_gossip.gossip.admission.gate
    crash_gossip.watch.count_agents = lambda: 1 + len(gate.local)
    crash_gossip.watch.announce = lambda crash, digests: announce_crash(
        crash_gossip, crash, digests
    )


def announce_crash(crash_gossip: CrashGossip, crash: str, digests: list[bytes]) -> None:
    """Send the suspects of a crash seen here to a few other agents."""
    for message in make_messages(crash_gossip.watch.service, crash, digests):
        if mark_seen(crash_gossip, message):
            forward_message(crash_gossip, message)


def make_messages(service: str, crash: str, digests: list[bytes]) -> Iterator[Suspects]:
    """Yield the messages for one crash, each small enough for a datagram."""
    for start in range(0, len(digests), MAX_DIGESTS_PER_MESSAGE):
        batch = b"".join(digests[start : start + MAX_DIGESTS_PER_MESSAGE])
        yield Suspects(service_name=service, crash=crash, digests=batch)


def mark_seen(crash_gossip: CrashGossip, message: Suspects) -> bool:
    """Record a message; return False if it was seen before."""
    message_id = (message.crash, message.digests[:DIGEST_BYTES])
    if message_id in crash_gossip.seen:
        return False
    crash_gossip.seen[message_id] = None
    if len(crash_gossip.seen) > MAX_SEEN_MESSAGES:
        crash_gossip.seen.popitem(last=False)
    return True


def forward_message(crash_gossip: CrashGossip, message: Suspects) -> None:
    """Send a message to a few random agents of the service."""
    admission = crash_gossip.gossip.admission
    peers = sorted(admission.gate.peers)
    for peer in choose_partners(peers, admission.random.random, N_FORWARD_PEERS):
        crash_gossip.datagrams.send(peer, Frame(suspects=message))


def handle_suspects(
    crash_gossip: CrashGossip, peer: str, frame: Frame, reply: Reply
) -> None:
    """Record the suspects of another agent's message and forward it once.

    A message of another service, without content or seen before is ignored.
    """
    message, watch = frame.suspects, crash_gossip.watch
    if message is None or message.service_name != watch.service:
        return
    if not message.crash or not message.digests:
        return
    if not mark_seen(crash_gossip, message):
        return
    digests = list(split_digests(message.digests))
    record_crash(watch.suspects, message.crash, digests, watch.clock.now_ms())
    log_event(
        logger, "crash_heard", crash=message.crash, peer=peer, n_suspects=len(digests)
    )
    forward_message(crash_gossip, message)
