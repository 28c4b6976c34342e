"""Steps in which an endpoint's bytes arrive while the event loop is blocked."""

import asyncio
import socket
import time
from unittest.mock import patch

from behave import then, when
from scenes import (
    LOOKUP,
    ONCE,
    ORDER,
    add_endpoint,
    call,
    start_fixture,
    wait_until_synced,
)
from timed_endpoints import answer_head, list_raw_endpoint, start_raw_endpoint

from pulley_direct.state import channels
from pulley_direct.state.loads import get_state
from pulley_direct.transport.waits import read_within
from pulley_http.connections import open_connection

# Longer than the interval at which a silent endpoint is checked.
BLOCK_MS = 200
# Longer than the connect timeout.
CONNECT_BLOCK_MS = 300
PAUSE_S = 0.05
# A wait that expires in a block, and the time in the block at which bytes are due.
WAIT_MS = 100
BYTES_MS = 150
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")


def send_and_block(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send bytes at once and block the loop for ``BLOCK_MS``."""
    writer.write(data)
    time.sleep(BLOCK_MS / 1_000)


async def answer_in_block(writer):
    """Answer a request while the loop is blocked."""
    await asyncio.sleep(PAUSE_S)
    send_and_block(writer, answer_head("content-length: 4\r\n") + b"done")


async def stream_in_block(writer):
    """Answer with a stream, and end it while the loop is blocked."""
    size = sum(map(len, EVENTS))
    writer.write(answer_head(f"content-length: {size}\r\n") + EVENTS[0])
    await asyncio.sleep(PAUSE_S)
    send_and_block(writer, EVENTS[1])


def call_raw_endpoint(context, answer, path, service, n_others=0):
    """Send a request to a raw endpoint; ``n_others`` sound ones look busier."""

    async def run():
        server = await start_raw_endpoint(answer)
        async with start_fixture(n_endpoints=0) as fixture:
            list_raw_endpoint(fixture.store, server, service)
            for number in range(n_others):
                await add_endpoint(fixture, f"{service}-{number}", service)
            await wait_until_synced(fixture)
            for endpoint in fixture.endpoints:
                get_state(fixture.router.loads, endpoint.name).in_flight = 3
            context.answer = await call(fixture, path, timeout_ms=1_000)
            context.n_others = sum(one.runs.total() for one in fixture.endpoints)
        server.close()

    asyncio.run(run())


@when("an endpoint answers an order while the loop is busy")
def answer_order(context):
    call_raw_endpoint(context, answer_in_block, ORDER, "shop")


@when("an endpoint answers a lookup while the loop is busy")
def answer_lookup(context):
    call_raw_endpoint(context, answer_in_block, LOOKUP, "shop", n_others=1)


@when("an endpoint ends a stream while the loop is busy")
def end_stream(context):
    call_raw_endpoint(context, stream_in_block, ONCE, "model")


def send_between_turns(peer: socket.socket) -> None:
    """Block the loop while a wait expires; send bytes before its task resumes."""
    loop = asyncio.get_running_loop()

    def send():
        peer.send(b"HTTP/1.1 200 OK\r\n")
        time.sleep(PAUSE_S)

    loop.call_later(PAUSE_S, time.sleep, BLOCK_MS / 1_000)
    loop.call_later(BYTES_MS / 1_000, loop.call_soon, send)


@when("an endpoint's bytes arrive as a wait for them expires")
def send_as_wait_expires(context):
    async def run():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "%s:%s" % listener.getsockname()[:2]
            connection = await open_connection(address, CONNECT_BLOCK_MS)
            peer, _address = listener.accept()
            with peer:
                send_between_turns(peer)
                context.came = await read_within(connection, WAIT_MS, 0)
            connection.close()

    asyncio.run(run())


@then("the wait reports that bytes came")
def check_came(context):
    assert context.came


@then("the answer is complete, with the status {status:d}")
def check_complete(context, status):
    answer = context.answer
    assert (answer.status, answer.whole) == (status, True), answer


@then("no other endpoint ran it")
def check_no_other_run(context):
    assert context.n_others == 0, context.n_others


@when("the loop is busy while the router connects to an endpoint")
def connect_while_busy(context):
    open_connection = channels.open_connection

    async def open_while_busy(*args):
        asyncio.get_running_loop().call_soon(time.sleep, CONNECT_BLOCK_MS / 1_000)
        return await open_connection(*args)

    async def run():
        async with start_fixture() as fixture:
            with patch.object(channels, "open_connection", open_while_busy):
                context.answer = await call(fixture, ORDER)
            state = get_state(fixture.router.loads, "shop-0")
            context.unreachable = state.unreachable

    asyncio.run(run())


@then("the endpoint does not count as unreachable")
def check_reachable(context):
    assert not context.unreachable
