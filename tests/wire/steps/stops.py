"""Steps that stop a process with a connection whose peer is idle."""

import asyncio
import socket
import time

from behave import then, when

from pulley_base import Clock, PulleyError
from pulley_wire.connections import (
    CONNECT_TIMEOUT_MS,
    REASON_SILENT,
    SILENCE_TIMEOUT_MS,
    FrameStamp,
    PeerConnection,
    connect_peer,
    listen_peers,
)

STOP_S = SILENCE_TIMEOUT_MS / 1_000 + 0.5
# Enough for a heartbeat and its answer.
WAIT_S = 1.0
CONNECT_BLOCK_S = CONNECT_TIMEOUT_MS / 1_000 + 0.5
MAX_WAIT_S = SILENCE_TIMEOUT_MS / 1_000 + 2


def make_connection(closed: list) -> PeerConnection:
    """Build a connection that appends the reason of its end to ``closed``."""
    return PeerConnection(
        lambda connection, frame: None,
        lambda connection, reason: closed.append(reason),
        stamp=FrameStamp(),
        clock=Clock(),
    )


async def stop_and_wait(address: str, wait_s: float, closed: list) -> None:
    """Connect, stop the process with work in flight, and wait."""
    connection = await connect_peer(address, lambda: make_connection(closed))
    connection.n_in_flight = 1
    await asyncio.sleep(0.05)
    time.sleep(STOP_S)
    end_s = time.monotonic() + wait_s
    while not closed and time.monotonic() < end_s:
        await asyncio.sleep(0.05)
    if not closed:
        connection.close("end")
        closed.clear()


@when("a process with work in flight is stopped for longer than a peer may be silent")
def stop_with_live_peer(context):
    async def run():
        context.closed = []
        server = await listen_peers("127.0.0.1", 0, lambda: make_connection([]))
        host, port = server.sockets[0].getsockname()
        await stop_and_wait(f"{host}:{port}", WAIT_S, context.closed)
        server.close()

    asyncio.run(run())


@when("a process with work in flight is stopped and its peer is silent from then on")
def stop_with_dead_peer(context):
    context.closed = []
    with socket.create_server(("127.0.0.1", 0)) as peer:
        host, port = peer.getsockname()
        asyncio.run(stop_and_wait(f"{host}:{port}", MAX_WAIT_S, context.closed))


@then("its connection to a live peer stays open")
def check_open(context):
    assert context.closed == [], context.closed


@then("its connection is closed for the reason of silence")
def check_closed(context):
    assert context.closed == [REASON_SILENT], context.closed


@when("the loop is busy past the connect timeout while a peer accepts a connection")
def connect_while_busy(context):
    async def run():
        with socket.create_server(("127.0.0.1", 0)) as peer:
            address = "%s:%s" % peer.getsockname()[:2]
            asyncio.get_running_loop().call_soon(time.sleep, CONNECT_BLOCK_S)
            connection = await connect_peer(address, lambda: make_connection([]))
            connection.close("end")

    context.error = None
    try:
        asyncio.run(run())
    except PulleyError as error:
        context.error = error


@then("the connection is open")
def check_connected(context):
    assert context.error is None, repr(context.error)
