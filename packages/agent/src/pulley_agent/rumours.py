"""Suspects told from agent to agent, so that quarantine needs no polling.

An agent that hears of a crash for the first time passes it on to a few others
of its service, once. What a lost datagram leaves out, the store makes up for.
"""

import logging
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from pulley_base import log_event
from pulley_fleet.ports import Reply
from pulley_policy.means import choose_partners
from pulley_policy.pointers import split_digests
from pulley_policy.suspects import DIGEST_BYTES, note_crash
from pulley_wire import DatagramPort, Frame
from pulley_wire.messages import Suspects

from .crashes import CrashWatch
from .gossip import Gossip

FANOUT = 6
MAX_DIGESTS = 64
MAX_HEARD = 1_000

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Rumours:
    """What this agent has heard, the latest last, and whom it tells."""

    watch: CrashWatch
    gossip: Gossip
    datagrams: DatagramPort
    heard: OrderedDict[tuple[str, bytes], None] = field(default_factory=OrderedDict)


def open_rumours(rumours: Rumours) -> None:
    """Let the crash watch spread its reports."""
    peers = rumours.gossip.admission.gate
    rumours.watch.count_agents = lambda: 1 + len(peers.local)
    rumours.watch.spread = lambda crash, digests: spread_crash(rumours, crash, digests)


def spread_crash(rumours: Rumours, crash: str, digests: list[bytes]) -> None:
    """Tell a few others of a crash seen here."""
    for message in make_messages(rumours.watch.service, crash, digests):
        if note_heard(rumours, message):
            tell_others(rumours, message)


def make_messages(service: str, crash: str, digests: list[bytes]) -> Iterator[Suspects]:
    """Yield the messages for one crash, each small enough for a datagram."""
    for start in range(0, len(digests), MAX_DIGESTS):
        batch = b"".join(digests[start : start + MAX_DIGESTS])
        yield Suspects(service_name=service, crash=crash, digests=batch)


def note_heard(rumours: Rumours, message: Suspects) -> bool:
    """Remember a message; False when it was heard before."""
    name = (message.crash, message.digests[:DIGEST_BYTES])
    if name in rumours.heard:
        return False
    rumours.heard[name] = None
    if len(rumours.heard) > MAX_HEARD:
        rumours.heard.popitem(last=False)
    return True


def tell_others(rumours: Rumours, message: Suspects) -> None:
    """Send a message to a few others of the service at random."""
    admission = rumours.gossip.admission
    others = sorted(admission.gate.peers)
    for peer in choose_partners(others, admission.random.random, FANOUT):
        rumours.datagrams.send(peer, Frame(suspects=message))


def hear_suspects(rumours: Rumours, peer: str, frame: Frame, reply: Reply) -> None:
    """Take in another agent's report and pass it on once."""
    message, watch = frame.suspects, rumours.watch
    if message is None or message.service_name != watch.service:
        return
    if not message.crash or not message.digests:
        return
    if not note_heard(rumours, message):
        return
    digests = list(split_digests(message.digests))
    note_crash(watch.suspects, message.crash, digests, watch.clock.now_ms())
    log_event(
        logger, "crash_heard", crash=message.crash, peer=peer, n_suspects=len(digests)
    )
    tell_others(rumours, message)
