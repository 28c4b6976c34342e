"""Connections to agents, and the attempts that are open on them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from pulley_base import Clock
from pulley_fleet.counters import DROPPED_FRAMES, PEERS_CLOSED
from pulley_wire import (
    REASON_SILENT,
    Frame,
    FrameStamp,
    PeerConnection,
    Traffic,
    connect_peer,
)
from pulley_wire.messages import Hello

from .streams import AttemptStream, add_lost_event, receive_frame


@dataclass(slots=True)
class Peers:
    """All connections of this router and all open attempts."""

    hello: Hello
    stamp: FrameStamp
    clock: Clock
    traffic: Traffic = field(default_factory=Traffic)
    connections: dict[str, PeerConnection] = field(default_factory=dict)
    connecting: dict[str, asyncio.Task] = field(default_factory=dict)
    streams: dict[int, AttemptStream] = field(default_factory=dict)
    request_ids: count = field(default_factory=lambda: count(1))
    on_draining: Callable[[str], None] = lambda peer: None
    on_lost: Callable[[str], None] = lambda peer: None
    on_control: Callable[[PeerConnection, Frame], None] = lambda connection, frame: None


async def get_connection(peers: Peers, peer: str) -> PeerConnection:
    """Return the open connection to a peer, opening it if there is none.

    Raises ConnectionLost or TimedOut with the step ``connect``.
    """
    connection = peers.connections.get(peer)
    if connection is not None and connection.closed_reason is None:
        return connection
    task = peers.connecting.get(peer)
    if task is None:
        task = asyncio.get_running_loop().create_task(open_connection(peers, peer))
        peers.connecting[peer] = task
        task.add_done_callback(lambda done: peers.connecting.pop(peer, None))
    return await asyncio.shield(task)


async def open_connection(peers: Peers, peer: str) -> PeerConnection:
    """Connect to a peer and send this router's hello."""
    connection = await connect_peer(peer, lambda: make_connection(peers, peer))
    peers.connections[peer] = connection
    connection.send(Frame(hello=peers.hello))
    return connection


def make_connection(peers: Peers, peer: str = "") -> PeerConnection:
    """Build the protocol for a connection of this router."""
    return PeerConnection(
        lambda connection, frame: dispatch_frame(peers, connection, frame),
        lambda connection, reason: handle_connection_end(peers, connection, reason),
        stamp=peers.stamp,
        clock=peers.clock,
        traffic=peers.traffic,
        peer=peer,
    )


def accept_connection(peers: Peers) -> PeerConnection:
    """Build the protocol for a connection that another process opened.

    It carries only control frames; no request is sent over it.
    """
    return make_connection(peers)


def dispatch_frame(peers: Peers, connection: PeerConnection, frame: Frame) -> None:
    """Pass a frame to its attempt, or to the control handler if it has none."""
    if frame.draining:
        peers.on_draining(connection.peer)
    message = (
        frame.data or frame.head or frame.refused or frame.failed or frame.admitted
    )
    if message is None:
        peers.on_control(connection, frame)
        return
    stream = peers.streams.get(message.request)
    if stream is None or stream.connection is not connection:
        DROPPED_FRAMES.labels("crossed").inc()
        return
    receive_frame(stream, frame)


def handle_connection_end(
    peers: Peers, connection: PeerConnection, reason: str
) -> None:
    """Remove a connection and notify the attempts that were open on it."""
    PEERS_CLOSED.labels(reason).inc()
    if peers.connections.get(connection.peer) is connection:
        del peers.connections[connection.peer]
        if not went_silent(connection, reason):
            peers.on_lost(connection.peer)
    for stream in list(peers.streams.values()):
        if stream.connection is connection:
            add_lost_event(stream, reason)


def went_silent(connection: PeerConnection, reason: str) -> bool:
    """Check whether a connection that got a hello has gone silent.

    A new connection is tried in that case; a peer that sends no hello on it is put on
    hold.
    """
    return reason == REASON_SILENT and connection.hello is not None


def register_stream(peers: Peers, stream: AttemptStream) -> None:
    """Register an attempt on its connection."""
    peers.streams[stream.request] = stream
    stream.connection.n_in_flight += 1


def move_stream(
    peers: Peers, stream: AttemptStream, connection: PeerConnection
) -> None:
    """Continue an attempt on another connection."""
    stream.connection.n_in_flight -= 1
    connection.n_in_flight += 1
    stream.connection = connection
    stream.events.clear()
    peers.streams[stream.request] = stream


def release_stream(peers: Peers, stream: AttemptStream) -> None:
    """Close an attempt; frames that still arrive for it are dropped."""
    if stream.closed:
        return
    stream.closed = True
    stream.connection.n_in_flight -= 1
    if peers.streams.get(stream.request) is stream:
        del peers.streams[stream.request]
