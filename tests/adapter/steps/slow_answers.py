"""Steps with a store whose answers take long."""

import asyncio
import json
import time
from unittest.mock import patch

from behave import then, when

from pulley_adapter.stores import connect_store
from pulley_base import PulleyError
from pulley_http import Client, clients, close_client

N_PIECES = 16
REVISION = 9
KEY = "status/one"
ITEM = {"key": KEY, "value": "e30=", "revision": REVISION}
ANSWERS = {
    "range": {"items": [ITEM], "currentRev": REVISION},
    "watch": {"events": [ITEM], "currentRev": REVISION},
}


def cut(call: str) -> list[bytes]:
    """Return the answer to a call as a head and pieces of the body."""
    body = json.dumps(ANSWERS[call]).encode()
    size = -(-len(body) // N_PIECES)
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
    return [head, *(body[at : at + size] for at in range(0, len(body), size))]


async def make_call(context, call: str, send) -> None:
    """Make a call to a store that answers by ``send``; keep what came of it."""

    async def serve(reader, writer):
        serving.append(asyncio.current_task())
        try:
            await reader.readuntil(b"\r\n\r\n")
            await send(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    serving = []
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    client = Client()
    calls = connect_store("%s:%d" % server.sockets[0].getsockname()[:2], client)
    started_s = time.monotonic()
    context.error = context.changes = None
    try:
        if call == "range":
            context.changes = await calls.read_all()
        else:
            context.changes = await calls.watch(1, 10_000, lambda: None)
    except PulleyError as error:
        context.error = error
    context.took_ms = (time.monotonic() - started_s) * 1_000
    close_client(client)
    for task in serving:
        task.cancel()
    server.close()


@when("the store takes {ms:d} ms to send the answer to a {call}, in pieces")
def answer_slowly(context, ms, call):
    async def send(writer):
        for piece in cut(call):
            writer.write(piece)
            await asyncio.sleep(ms / 1_000 / N_PIECES)

    asyncio.run(make_call(context, call, send))


@when("the store sends a part of the answer to a {call}, and then nothing")
def stop_midway(context, call):
    async def send(writer):
        writer.write(b"".join(cut(call)[:3]))
        await asyncio.Event().wait()

    asyncio.run(make_call(context, call, send))


@when("the store sends the answer to a {call} for ever, and {ms:d} ms are the limit")
def answer_for_ever(context, call, ms):
    async def send(writer):
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"1\r\n \r\n")
            await asyncio.sleep(0.02)

    with patch.object(clients, "MAX_SLOW_BODY_MS", ms):
        asyncio.run(make_call(context, call, send))


@then("the call returns what the store holds")
def check_whole(context):
    assert context.error is None, context.error
    assert [item.key for item in context.changes.items] == [KEY], context.changes


@then("the call fails within {ms:d} ms")
def check_failed(context, ms):
    assert context.error is not None and context.took_ms < ms, context.took_ms
