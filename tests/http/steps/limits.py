"""Steps that replace a server's limits while a connection is open."""

import asyncio
from dataclasses import replace

from behave import then, when
from raw_callers import connect_raw, read_status

from pulley_http import (
    Client,
    Limits,
    Response,
    find_header,
    read_all,
    send_request,
    start_server,
)

OLD_IDLE_TIMEOUT_MS = 300
NEW_IDLE_TIMEOUT_MS = 3_000
ANNOUNCED_IDLE_MS = 2_000
SHORT_IDLE_TIMEOUT_MS = 200
OLD_HEAD_BYTES = 1_000
NEW_HEAD_BYTES = 8_000
PART_PAUSE_S = 0.1
HEAD_START = b"GET / HTTP/1.1\r\nhost: a\r\n"


async def answer_empty(request):
    return Response(200)


async def send_under_new_limits(old: Limits, new: Limits, parts, pause_ms) -> str:
    """Replace the limits of an idle connection and send a request in parts."""
    server = await start_server(answer_empty, "127.0.0.1", 0, limits=old)
    async with connect_raw(server) as caller:
        await asyncio.sleep(0.05)
        server.limits = new
        await asyncio.sleep(pause_ms / 1_000)
        for part in parts:
            caller.send(part)
            await asyncio.sleep(PART_PAUSE_S)
        status = await read_status(caller)
    server.listener.close()
    return status


@when("a request arrives after the old idle timeout and before the new one")
def send_after_old_idle_timeout(context):
    old = Limits(idle_timeout_ms=OLD_IDLE_TIMEOUT_MS, idle_grace_ms=0)
    new = replace(old, idle_timeout_ms=NEW_IDLE_TIMEOUT_MS)
    parts = [HEAD_START + b"\r\n"]
    pause_ms = 2 * OLD_IDLE_TIMEOUT_MS
    context.status = asyncio.run(send_under_new_limits(old, new, parts, pause_ms))


@when("a request arrives after the idle timeout and within its grace time")
def send_in_grace_time(context):
    limits = Limits(idle_timeout_ms=OLD_IDLE_TIMEOUT_MS)
    parts = [HEAD_START + b"\r\n"]
    pause_ms = 2 * OLD_IDLE_TIMEOUT_MS
    context.status = asyncio.run(send_under_new_limits(limits, limits, parts, pause_ms))


@when("a request arrives within the announced idle time, after a shorter timeout")
def send_within_announced_time(context):
    async def run():
        old = Limits(idle_timeout_ms=ANNOUNCED_IDLE_MS, idle_grace_ms=0)
        server = await start_server(answer_empty, "127.0.0.1", 0, limits=old)
        async with connect_raw(server) as caller:
            caller.send(HEAD_START + b"\r\n")
            await read_status(caller)
            server.limits = replace(old, idle_timeout_ms=SHORT_IDLE_TIMEOUT_MS)
            await asyncio.sleep(4 * SHORT_IDLE_TIMEOUT_MS / 1_000)
            caller.send(HEAD_START + b"\r\n")
            status = await read_status(caller)
        server.listener.close()
        return status

    context.status = asyncio.run(run())


@when("a caller reads an answer of a server with an idle timeout of 15 s")
def read_answer(context):
    async def run():
        limits = Limits(idle_timeout_ms=15_000)
        server = await start_server(answer_empty, "127.0.0.1", 0, limits=limits)
        answer = await send_request(Client(), server.address, "GET", "/")
        await read_all(answer.body)
        server.listener.close()
        return answer.headers

    context.headers = asyncio.run(run())


@then('the answer has the header "{name}: {value}"')
def check_header(context, name, value):
    found = find_header(context.headers, name.encode())
    assert found == value.encode(), context.headers


@when("the head limit grows and a longer head arrives in two parts")
def send_longer_head(context):
    old = Limits(head_bytes=OLD_HEAD_BYTES)
    new = replace(old, head_bytes=NEW_HEAD_BYTES)
    filler = b"x: %s\r\n" % (b"y" * 2 * OLD_HEAD_BYTES)
    parts = [HEAD_START + filler, b"\r\n"]
    context.status = asyncio.run(send_under_new_limits(old, new, parts, 0))
