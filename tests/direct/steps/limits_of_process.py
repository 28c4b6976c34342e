"""Steps about settings, silent connections, late bodies and late words of the store."""

import asyncio
import socket
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when
from pulley_platform_standins.stores import put_document, start_store
from raw_endpoints import Script, add_raw_endpoints, encode_head
from scenes import HOST, ORDER, TOKEN, call, configuration, start_fixture

from pulley_base import Clock, ConnectionLost, PulleyError
from pulley_direct.app import reload_settings
from pulley_direct.requests import answer_ends
from pulley_direct.state.counters import RESTARTED, Counters
from pulley_direct.state.fleet_views import FleetView
from pulley_direct.state.models import Endpoint
from pulley_direct.store.endpoint_guards import guard_endpoints
from pulley_direct.store.store_calls import Changes
from pulley_http import Client, close_client, close_server, fetch
from pulley_policy.watchers import derive_times

LIMIT_S = 10
POLL_S = 0.02
IN_FORCE_MS = 200


@given("a router and its store")
def prepare(context):
    context.reload = {}


@when("the settings name another store, which holds version {version:d}")
def move_store(context, version):
    async def run():
        async with asyncio.timeout(LIMIT_S), start_fixture() as fixture:
            other = await start_store()
            document = configuration(version, [TOKEN])
            put_document(other, "op/config", document)
            settings = replace(fixture.router.settings, store_address=other.address)
            reload_settings(fixture.running, lambda: settings)
            context.unapplied = fixture.router.unapplied_settings
            view = fixture.router.fleet_view
            while view.configuration.version != version:
                await asyncio.sleep(POLL_S)
            context.version = view.configuration.version
            close_server(other.server)

    asyncio.run(run())


@then("version {version:d} comes into force")
def check_version(context, version):
    assert context.version == version


@then("the log of the reload names no setting that needs a restart")
def check_applied(context):
    assert context.unapplied == [], context.unapplied


@when("the settings name another address for callers")
def move_callers(context):
    async def run():
        async with asyncio.timeout(LIMIT_S), start_fixture() as fixture:
            settings = replace(fixture.router.settings, callers_address="127.0.0.1:9")
            reload_settings(fixture.running, lambda: settings)
            context.unapplied = fixture.router.unapplied_settings
            context.answer = await call(fixture, ORDER)

    asyncio.run(run())


@then("callers are served at the old address")
def check_served(context):
    assert context.answer.status == 200, context.answer


@then("the status page names callers_address as not applied")
def check_unapplied(context):
    assert context.unapplied == ["callers_address"], context.unapplied


@given("a client with {n:d} idle connections to a server that has gone silent on them")
def make_silent(context, n):
    context.n_idle = n


@when("it sends a request that times out")
def time_out(context):
    async def run():
        silent = set()

        async def serve(reader, writer):
            while line := await reader.readline():
                if line == b"\r\n" and writer not in silent:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                if line == b"\r\n":
                    context.writers.add(writer)

        context.writers = set()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client, peer = Client(), f"{host}:{port}"
        calls = (fetch(client, peer, "GET", "/") for _ in range(context.n_idle))
        await asyncio.gather(*calls)
        silent |= context.writers
        try:
            await fetch(client, peer, "GET", "/", timeout_ms=100)
            context.first = "answered"
        except PulleyError as error:
            context.first = type(error).__name__
        answer = await fetch(client, peer, "GET", "/", timeout_ms=1_000)
        context.second = answer.status
        close_client(client)
        server.close()

    asyncio.run(run())


@then("the next request is answered on a new connection")
def check_next(context):
    assert (context.first, context.second) == ("TimedOut", 200)
    assert len(context.writers) == context.n_idle + 1


@when("a caller that waits {timeout_ms:d} ms sends half of an order's body")
def send_half(context, timeout_ms):
    async def run():
        async with asyncio.timeout(LIMIT_S), start_fixture() as fixture:
            host, port = fixture.running.caller_server.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"POST {ORDER}x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: late\r\n"
                f"Deadline-Ms: {timeout_ms}\r\nAuthorization: Bearer {TOKEN}\r\n"
                "Content-Length: 200\r\n\r\n"
            )
            writer.write(head.encode() + b"x" * 100)
            context.line = await reader.readline()
            context.runs = sum(one.runs.total() for one in fixture.endpoints)
            writer.close()

    asyncio.run(run())


@then("the order is refused with 408 as not run, and has not run")
def check_late(context):
    assert b" 408 " in context.line and not context.runs, context.line


@given("a router whose endpoint answers so")
def prepare_answers(context):
    pass


@when("a request to {path} is sent")
def send_request(context, path):
    async def run():
        async with asyncio.timeout(LIMIT_S), start_fixture(0) as fixture:

            async def answer(request, writer):
                lines = "Server-Stamp: stamp", "Content-Length: 0"
                writer.write(encode_head(request, *lines, status=503))
                await writer.drain()

            await add_raw_endpoints(fixture, "shop", 1, Script([answer]))
            context.answer = await call(fixture, path)

    asyncio.run(run())


@then("its caller gets {status:d}")
def check_status(context, status):
    assert context.answer.status == status, context.answer


@given("an unframed answer that ended as its endpoint accepts connections")
def end_unframed(context):
    context.paused = False
    context.listed_ms = 100


@when("the router had stood still meanwhile")
def stand_still(context):
    context.paused = True


@when("the endpoint is listed with a later start")
def list_later(context):
    context.listed_ms = 200


@then("the answer counts as broken off")
def check_broken(context):
    context.end = None
    with socket.create_server(("127.0.0.1", 0)) as listening:
        host, port = listening.getsockname()
        asyncio.run(confirm(context, f"{host}:{port}"))
    assert context.end == RESTARTED, context.end


async def confirm(context, address):
    """Confirm the end of an answer, and keep what is counted of it."""
    endpoint = Endpoint("e", "shop", address, started_ms=100)
    clock = Clock()
    view = FleetView(clock)
    view.endpoints["e"] = replace(endpoint, started_ms=context.listed_ms)
    router = SimpleNamespace(
        fleet_view=view, counters=Counters(), clock=clock, stops_at_ms=None
    )
    exchange = SimpleNamespace(
        router=router,
        endpoint=endpoint,
        channel=SimpleNamespace(address=address),
        status=200,
        finished=True,
    )
    job = SimpleNamespace(
        has_paused=context.paused,
        deadline_ms=clock.deadline_ms(5_000),
        call=SimpleNamespace(request_id="one"),
    )
    try:
        await answer_ends.confirm_end(exchange, job)
    except ConnectionLost:
        context.end = next(iter(router.counters.unframed_ends))


@given("a router that waits for a read of everything")
def wait_for_read(context):
    context.failing_since_ms = None


@given("a router whose store fails")
def fail_store(context):
    context.failing_since_ms = 1


@when("an endpoint is said to leave")
@when("the bound on changes passes several times")
def guard(context):
    ready = Endpoint("e", "shop", "10.0.0.1:80", started_ms=100, revision=1)
    context.n_reads = 0

    async def read_endpoints():
        context.n_reads += 1
        if context.n_reads <= getattr(context, "n_failing_reads", 0):
            raise ConnectionLost("closed", step="fetch", peer="store")
        return Changes((replace(ready, draining=True, revision=2),), 2)

    async def run():
        clock = Clock()
        view = FleetView(clock, confirmed_ms=clock.now_ms())
        view.endpoints["e"] = ready
        view.failing_since_ms = context.failing_since_ms
        follower = SimpleNamespace(
            store=SimpleNamespace(read_endpoints=read_endpoints),
            fleet_view=view,
            clock=clock,
            times=derive_times(IN_FORCE_MS),
            in_force_ms=IN_FORCE_MS,
            progress=SimpleNamespace(era=None),
        )
        guarding = asyncio.create_task(guard_endpoints(follower))
        fails_for_s = getattr(context, "failing_share", 0) * IN_FORCE_MS / 1_000
        await asyncio.sleep(fails_for_s)
        if fails_for_s:
            view.failing_since_ms = None
        await asyncio.sleep(IN_FORCE_MS / 1_000 - fails_for_s)
        context.leaving = set(view.leaving)
        guarding.cancel()

    asyncio.run(run())


@then("the router knows it within the time that changes may take")
def check_known(context):
    assert context.leaving == {"e"} and context.n_reads, context.n_reads


@then("the endpoints were not read by themselves")
def check_unread(context):
    assert not context.n_reads
