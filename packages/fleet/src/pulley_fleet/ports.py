"""The port for other processes of the fleet: TCP connections and UDP datagrams."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from pulley_base import split_address
from pulley_wire import (
    DatagramPort,
    Frame,
    FrameStamp,
    PeerConnection,
    Traffic,
    listen_peers,
    open_datagrams,
)

Reply = Callable[[Frame], bool]
ControlHandler = Callable[[str, Frame, Reply], None]


@dataclass(slots=True)
class ControlHandlers:
    """The handlers of control frames; each handler gets every frame.

    A handler is called with the sender's address, the frame, and a function that
    replies over the same connection or by datagram.
    """

    handlers: list[ControlHandler] = field(default_factory=list)


@dataclass(slots=True)
class PeerPort:
    """One port number, open for TCP connections and UDP datagrams."""

    address: str
    listener: asyncio.Server
    datagrams: DatagramPort


def dispatch_control_frame(
    control: ControlHandlers, peer: str, frame: Frame, reply: Reply
) -> None:
    """Pass a control frame to every handler."""
    for handler in control.handlers:
        handler(peer, frame, reply)


def dispatch_connection_control(
    control: ControlHandlers, connection: PeerConnection, frame: Frame
) -> None:
    """Pass a control frame from a connection to every handler.

    The sender is the address that its hello named, else the connection's peer.
    """
    hello = connection.hello
    peer = hello.sender if hello is not None and hello.sender else connection.peer
    dispatch_control_frame(control, peer, frame, connection.send)


async def open_peer_port(
    host: str,
    port: int,
    make_connection: Callable[[], PeerConnection],
    control: ControlHandlers,
    *,
    stamp: FrameStamp,
    traffic: Traffic,
) -> PeerPort:
    """Open ``host:port`` for connections and datagrams.

    Port 0 selects a port that is free for both.
    """
    listener = await listen_peers(host, port, make_connection)
    address = "%s:%s" % listener.sockets[0].getsockname()[:2]
    datagrams = await open_datagrams(
        host,
        split_address(address)[1],
        lambda: DatagramPort(
            lambda peer, frame: dispatch_control_frame(
                control, peer, frame, lambda answer: datagrams.send(peer, answer)
            ),
            stamp=stamp,
            sender=address,
            traffic=traffic,
        ),
    )
    return PeerPort(address, listener, datagrams)
