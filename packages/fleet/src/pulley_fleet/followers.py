"""Replication of the rules: a process installs only higher revisions.

Processes gossip new revisions as deltas in datagrams; a process that sees a higher
revision on a frame requests the rules from its sender. Infrequent reads of the store,
at a rate shared by the whole fleet, catch revisions that did not reach a process by
gossip.
"""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from pulley_base import Clock, log_event, warn_event
from pulley_rules import Delta, Edit, Rules
from pulley_rules.following import (
    InstallResult,
    RulesState,
    RulesText,
    answer_request,
    choose_peers,
    install_delta,
    install_text,
    make_latest_delta,
    should_request,
)
from pulley_wire import Frame, FrameStamp
from pulley_wire.messages import RulesAsk, RulesCopy, RulesDelta, RulesEdit

from .counters import RULES_ASKS, RULES_HEARD, RULES_REJECTED, RULES_REVISION

logger = logging.getLogger(__name__)

RULES_KEY = "plantainpulley/rules"
N_GOSSIP_PEERS = 3

Reply = Callable[[Frame], bool]


@dataclass(slots=True)
class Follower:
    """The rules in force in this process, and how it reaches its peers.

    ``list_peers()`` returns the addresses of the other processes. ``send(peer, frame)``
    sends a datagram and returns False if the frame does not fit into one.
    ``fetch(peer)`` requests the rules from a peer over a connection.
    """

    stamp: FrameStamp
    clock: Clock = field(default_factory=Clock)
    rules_state: RulesState = field(default_factory=RulesState)
    random: Random = field(default_factory=Random)
    list_peers: Callable[[], Sequence[str]] = tuple
    send: Callable[[str, Frame], bool] = lambda peer, frame: False
    fetch: Callable[[str], None] = lambda peer: None

    @property
    def rules(self) -> Rules:
        """Return the rules in force."""
        return self.rules_state.rules


def install_rules(
    follower: Follower, text: str, revision: int, way: str
) -> InstallResult:
    """Put a text in force if its revision is higher and it parses.

    ``way`` is the source it came from: ``store``, ``copy`` or ``delta``.
    """
    last_error = follower.rules_state.rejection_error
    result = install_text(follower.rules_state, text, revision)
    if (
        result is InstallResult.REJECTED
        and follower.rules_state.rejection_error is not last_error
    ):
        RULES_REJECTED.inc()
        error = str(follower.rules_state.rejection_error)
        warn_event(logger, "rules_rejected", revision=revision, way=way, error=error)
    record_install(follower, result, way)
    return result


def record_install(follower: Follower, result: InstallResult, way: str) -> None:
    """Count the result; if new rules are in force, log and gossip their revision."""
    RULES_HEARD.labels(way, result).inc()
    if result is not InstallResult.INSTALLED:
        return
    revision = follower.rules.revision
    follower.stamp.revision = revision
    RULES_REVISION.set(revision)
    log_event(logger, "rules_in_force", revision=revision, way=way)
    gossip_revision(follower)


def gossip_revision(follower: Follower) -> None:
    """Send the newest delta to a few random peers.

    Peers get an empty frame, which carries the revision only, if there is no delta or
    it does not fit into a datagram.
    """
    delta = make_latest_delta(follower.rules_state)
    peers = choose_peers(follower.list_peers(), N_GOSSIP_PEERS, follower.random)
    for peer in peers:
        if not (delta and follower.send(peer, Frame(rules_delta=encode_delta(delta)))):
            follower.send(peer, Frame())


def announce_revision(follower: Follower, n_peers: int) -> None:
    """Announce this revision to random peers; those that are ahead send newer rules."""
    for peer in choose_peers(follower.list_peers(), n_peers, follower.random):
        follower.send(peer, Frame())


def request_newer_rules(
    follower: Follower, peer: str, revision: int, reply: Reply
) -> None:
    """Request the rules from a peer whose frame carries a higher revision."""
    if should_request(follower.rules_state, revision, follower.clock.now_ms()):
        RULES_ASKS.labels("newer").inc()
        reply(Frame(rules_ask=RulesAsk(have=follower.rules.revision)))


def handle_rules_frame(
    follower: Follower, peer: str, frame: Frame, reply: Reply
) -> None:
    """Handle a control frame that concerns the rules; ignore all others."""
    if frame.rules_ask is not None:
        send_newer_rules(follower, frame.rules_ask.have or 0, reply)
    elif frame.rules_delta is not None:
        install_received_delta(follower, decode_delta(frame.rules_delta))
    elif frame.rules_copy is not None:
        install_received_copy(follower, peer, frame.rules_copy)
    elif (
        is_revision_announcement(frame)
        and (frame.revision or 0) < follower.rules.revision
    ):
        send_newer_rules(follower, frame.revision or 0, reply)


def is_revision_announcement(frame: Frame) -> bool:
    """Check whether a datagram carries nothing but its sender's revision."""
    others = (
        frame.mean,
        frame.pointers,
        frame.pointer_ask,
        frame.pointer_answer,
        frame.suspects,
    )
    return bool(frame.sender) and all(other is None for other in others)


def send_newer_rules(follower: Follower, have: int, reply: Reply) -> None:
    """Send a process at revision ``have`` what it lacks.

    If the answer is too large for a datagram, only its revision is sent. A process that
    lacks nothing gets an empty frame, which carries this process's revision.
    """
    answer = answer_request(follower.rules_state, have)
    if not answer:
        reply(Frame())
    elif not reply(encode_answer(answer)):
        reply(Frame(rules_copy=RulesCopy(revision=answer.revision)))


def encode_answer(answer: Delta | RulesText) -> Frame:
    """Build the frame that carries a delta or a full copy of the rules."""
    if isinstance(answer, Delta):
        return Frame(rules_delta=encode_delta(answer))
    return Frame(rules_copy=RulesCopy(revision=answer.revision, text=answer.text))


def install_received_delta(follower: Follower, delta: Delta) -> None:
    """Install a delta that arrived.

    A delta that does not fit is only counted; the rules are then requested because its
    sender's revision is higher.
    """
    result = install_delta(follower.rules_state, delta)
    record_install(follower, result, "delta")


def install_received_copy(follower: Follower, peer: str, copy: RulesCopy) -> None:
    """Install a full text, or fetch it if only its revision arrived."""
    revision = copy.revision or 0
    if copy.text is not None:
        install_rules(follower, copy.text, revision, "copy")
    elif revision > follower.rules.revision:
        follower.fetch(peer)


def encode_delta(delta: Delta) -> RulesDelta:
    """Encode a delta as a wire message."""
    edits = [RulesEdit(e.line, e.n_removed, list(e.added)) for e in delta.edits]
    return RulesDelta(delta.base, delta.revision, edits, delta.digest)


def decode_delta(delta: RulesDelta) -> Delta:
    """Decode a delta; an absent field reads as 0 or empty."""
    edits = tuple(
        Edit(edit.line or 0, edit.n_removed or 0, tuple(edit.added or ()))
        for edit in delta.edits or ()
    )
    return Delta(delta.base or 0, delta.revision or 0, edits, delta.digest or b"")
