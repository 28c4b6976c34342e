"""Steps with endpoints that crash in answers of several kinds."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from behave import given, then, when
from pulley_platform_standins.endpoints import make_entry
from pulley_platform_standins.stores import put_document
from scenes import (
    CHAT,
    LOOKUP,
    Answer,
    RouterFixture,
    call,
    configuration,
    start_fixture,
    wait_until_synced,
)

N_ENDPOINTS = 9
LIMIT_S = 30
TIMEOUT_MS = 600
PARTS = "f1:100,dead:20"
END_OF_HEAD = b"\r\n\r\n"


@dataclass(slots=True)
class Scene:
    """What endpoints do, and what became of them and of the prompts."""

    unframed: bool = False
    rejecting: bool = False
    naming: bool = False
    silent: bool = False
    short: bool = False
    full: bool = False
    n_connections: Counter = field(default_factory=Counter)
    n_crashes: int = 0
    n_rejected: int = 0
    n_named: int = 0
    servers: list = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    others: list[Answer] = field(default_factory=list)


@given("endpoints whose answers have neither a length nor chunks")
def leave_length_out(context):
    context.unseen = Scene(unframed=True)


@given("endpoints that answer 400 to a prompt with a crashing part and no model")
def reject_some(context):
    context.unseen = Scene(rejecting=True)


@given("callers that name the part in lookups at the same service")
def name_part(context):
    context.unseen = Scene(naming=True)


@given("endpoints that stay silent after the head and accept no connection")
def stay_silent(context):
    context.unseen = Scene(silent=True)


@given(
    "endpoints that answer in one piece, but for one prompt in two that crashes them"
)
def answer_shortly(context):
    context.unseen = Scene(short=True)


@given("endpoints that break off answers, and reset connections beyond their limit")
def reset_beyond_limit(context):
    context.unseen = Scene(full=True)


@when("{n:d} prompts with a crashing part come, one every {every:d} ms")
def send_prompts(context, n, every):
    scene = context.unseen

    async def run():
        async with asyncio.timeout(LIMIT_S), start_fixture(0) as fixture:
            publish_lookup_at_model(fixture)
            for number in range(N_ENDPOINTS):
                await start_crashing(scene, fixture, number)
            await wait_until_synced(fixture)
            for number in range(n):
                await send_others(scene, fixture, number)
                scene.answers.append(await send_prompt(fixture, number))
                await asyncio.sleep(every / 1_000)
            for server in scene.servers:
                server.close()

    asyncio.run(run())


def publish_lookup_at_model(fixture: RouterFixture) -> None:
    """Let lookups go to the service that answers prompts."""
    document = configuration(2, ["token-of-orto"])
    for route in document["routes"]:
        if route["pathPrefix"] == LOOKUP:
            route["service"] = "model"
    put_document(fixture.store, "op/config", document)
    fixture.version = 2


async def start_crashing(scene: Scene, fixture: RouterFixture, number: int) -> None:
    """Start one endpoint and list it."""
    server = None

    async def serve(reader, writer):
        scene.n_connections[number] += 1
        if scene.full and scene.n_connections[number] % 2 == 0:
            writer.transport.abort()
            return
        try:
            while True:
                head = (await reader.readuntil(END_OF_HEAD)).lower()
                await reader.readexactly(len(b"{}"))
                await answer(scene, server, head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    scene.servers.append(server)
    host, port = server.sockets[0].getsockname()
    document = make_entry("model", f"{host}:{port}", slots=8, born=number)
    put_document(fixture.store, f"servers/model-{number}", document)


async def answer(scene: Scene, server, head: bytes, writer) -> None:
    """Answer a lookup, a rejected or a short prompt; crash at any other."""
    attempt = next(row for row in head.split(b"\r\n") if row.startswith(b"attempt-id"))
    common = attempt + b"\r\nserver-stamp: s\r\n"
    if head.startswith(b"post " + LOOKUP.encode()):
        scene.n_named += 1
        writer.write(b"HTTP/1.1 200 OK\r\n" + common + b"content-length: 0\r\n\r\n")
        return
    if b"bad-prompt" in head:
        scene.n_rejected += 1
        writer.write(b"HTTP/1.1 400 Bad\r\n" + common + b"content-length: 0\r\n\r\n")
        return
    if b"short-prompt" in head:
        event = b"id: 1\ndata: token\n\n"
        length = b"content-length: %d\r\n\r\n" % len(event)
        writer.write(b"HTTP/1.1 200 OK\r\n" + common + length + event)
        return
    framing = b"" if scene.unframed else b"transfer-encoding: chunked\r\n"
    events = b"content-type: text/event-stream\r\n"
    writer.write(b"HTTP/1.1 200 OK\r\n" + common + events + framing + b"\r\n")
    await writer.drain()
    if scene.full:
        raise ConnectionError("broken off")
    scene.n_crashes += 1
    server.close()
    if scene.silent:
        await asyncio.sleep(LIMIT_S)
    raise ConnectionError("crashed")


async def send_others(scene: Scene, fixture: RouterFixture, number: int) -> None:
    """Send what the scenario's callers send beside the prompts."""
    headers = [(b"prompt-prefix", f"{PARTS},{number:x}b:10".encode())]
    if scene.naming:
        path, headers, parts = LOOKUP, headers, ""
    elif scene.rejecting:
        path, headers, parts = CHAT, [(b"x-bad-prompt", b"1")], f"{PARTS},{number:x}b:1"
    elif scene.short:
        path, headers, parts = (
            CHAT,
            [(b"x-short-prompt", b"1")],
            f"{PARTS},{number:x}b:1",
        )
    else:
        return
    scene.others.append(
        await call(
            fixture,
            path,
            request_id=f"other-{number}",
            parts=parts,
            headers=headers,
            timeout_ms=TIMEOUT_MS,
        )
    )


async def send_prompt(fixture: RouterFixture, number: int) -> Answer:
    """Send one prompt with the crashing part."""
    return await call(
        fixture,
        CHAT,
        request_id=f"prompt-{number}",
        parts=f"{PARTS},{number:x}a:10",
        timeout_ms=TIMEOUT_MS,
    )


@then("no caller gets a success")
def check_no_success(context):
    found = [(one.status, one.whole, one.body) for one in context.unseen.answers]
    assert not any(status == 200 and whole for status, whole, _ in found), found


@then("at most {n:d} endpoints crashed")
def check_crashes(context, n):
    scene = context.unseen
    statuses = [one.status for one in scene.answers]
    others = [one.status for one in scene.others]
    assert scene.n_crashes <= n, (scene.n_crashes, statuses, others)


@then("none is refused as quarantined")
def check_none_quarantined(context):
    found = [
        (one.status, one.header("pulley-reason")) for one in context.unseen.answers
    ]
    assert not any(reason == "quarantined" for _, reason in found), found


@then("every other prompt has its whole answer")
def check_others(context):
    found = [
        (one.status, one.whole, one.header("pulley-reason"))
        for one in context.unseen.others
    ]
    assert found == [(200, True, "")] * len(found), found
