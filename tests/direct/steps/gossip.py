"""Steps with two routers that tell each other of endpoints' loads."""

import asyncio
import socket
from contextlib import asynccontextmanager

from behave import given, then, when
from scenes import (
    CHAT,
    MAX_WAIT_MS,
    find_endpoints,
    send_call,
    start_fixture,
)

from pulley_adapter.headers import HEADER_CODEC, format_retry_after
from pulley_adapter.stores import connect_store
from pulley_base import to_seconds
from pulley_direct.app import close_router, start_router
from pulley_direct.endpoints.departures import usable_endpoints
from pulley_direct.state.counters import DROPPED, RECEIVED, SENT
from pulley_direct.state.models import Bounds, RouterSettings
from pulley_direct.state.signals import wait_until
from pulley_http import Client, close_client

POLL_MS = 10
HOST = "127.0.0.1"
DATAGRAMS = {
    "about an endpoint that nobody lists": b"load model-9 7",
    "with a negative load": b"load model-0 -7",
    "with an enormous load": b"load model-0 1000000000",
    "with a load that is no number": b"load model-0 many",
    "with a start that is no number": b"leaving model-0 now",
    "with a start that is never": b"leaving model-0 " + b"9" * 400,
    "without a load": b"load model-0",
    "of another kind": b"lead model-0 7",
    "of bytes that are no text": b"load \xff\xfe 7",
    "longer than any message": b"load model-0 7" + b" " * 2_000,
}
FROM_STRANGER = "from an address that no router has"


def open_socket(port=0):
    """Return a datagram socket on the loopback, by default on any free port."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind((HOST, port))
    return opened


def find_free_port():
    with open_socket() as opened:
        return opened.getsockname()[1]


@asynccontextmanager
async def start_other(fixture, name, port):
    """Start one more router on the fixture's store, with a port for datagrams."""
    settings = RouterSettings(
        instance=name,
        ip=HOST,
        data_centre="here",
        callers_address=f"{HOST}:0",
        ready_address=f"{HOST}:0",
        peer_ports=(port, port),
        store_address=fixture.store.address,
        bounds=Bounds(configuration_ms=400),
    )
    client = Client()
    calls = connect_store(fixture.store.address, client)
    running = await start_router(settings, HEADER_CODEC, calls, format_retry_after)
    try:
        yield running
    finally:
        close_router(running)
        close_client(client)


async def wait_known(running, names, n_endpoints):
    """Wait until a router knows the other ones, all endpoints and a configuration."""
    view = running.router.fleet_view

    def knows_all():
        known = names <= view.routers.keys() and view.configuration is not None
        return known and len(view.endpoints) >= n_endpoints

    assert await wait_until(view.changed, knows_all, MAX_WAIT_MS)


async def wait_counted(running, event):
    """Wait until a router has counted a datagram."""
    for _ in range(MAX_WAIT_MS // POLL_MS):
        if running.router.counters.gossip[event]:
            return
        await asyncio.sleep(to_seconds(POLL_MS))


@asynccontextmanager
async def start_two(n_endpoints):
    """Start a store, endpoints and two routers that know each other."""
    async with start_fixture(n_endpoints) as fixture:
        ports = [find_free_port(), find_free_port()]
        async with (
            start_other(fixture, "first", ports[0]) as first,
            start_other(fixture, "second", ports[1]) as second,
        ):
            for running in (first, second):
                await wait_known(running, {"first", "second"}, 2 * n_endpoints)
            yield fixture, first, second


async def send_prompt(fixture, running, request_id):
    address = running.caller_server.address
    answer = await send_call(fixture.client, address, CHAT, request_id=request_id)
    assert answer.status == 200, answer


@given("two routers and {n:d} endpoints")
def note_endpoints(context, n):
    context.n_endpoints = n


async def change_home(n_endpoints, change):
    """Let the first router hear how a prompt's home has changed.

    Return the names of the home and of the endpoint that the second one then chooses.
    """
    async with start_two(n_endpoints) as (fixture, first, second):
        endpoints = find_endpoints(fixture, "model")
        await send_prompt(fixture, first, "request-1")
        (home,) = [one for one in endpoints if one.runs["request-1"]]
        change(home)
        await send_prompt(fixture, first, "request-2")
        await wait_counted(second, RECEIVED)
        await send_prompt(fixture, second, "request-3")
        (chosen,) = [one for one in endpoints if one.runs["request-3"]]
        return home.name, chosen.name


@when("the home of a prompt reports {n:d} requests to the first router")
def report_load(context, n):
    def be_busy(home):
        home.n_running += n

    context.home, context.chosen = asyncio.run(
        change_home(context.n_endpoints, be_busy)
    )


@when("the home of a prompt says to the first router that it leaves")
def say_leaving(context):
    def leave(home):
        home.notices = [(b"server-leaving", b"1")]

    context.home, context.chosen = asyncio.run(change_home(context.n_endpoints, leave))


@when("the second router is told that an earlier start of an endpoint leaves")
def tell_earlier_start(context):
    async def run():
        async with start_two(context.n_endpoints) as (_fixture, first, second):
            view = second.router.fleet_view
            target = (HOST, second.router.settings.peer_ports[0])
            started_ms = view.endpoints["model-0"].started_ms
            first.router.gossip.sendto(b"leaving model-0 %d" % (started_ms - 1), target)
            await wait_counted(second, RECEIVED)
            return usable_endpoints(view, "model")

    context.usable = asyncio.run(run())


@then("it still uses all endpoints")
def check_all_used(context):
    assert len(context.usable) == context.n_endpoints, context.usable


@then("the second router sends the prompt to another endpoint")
def check_other(context):
    assert context.chosen != context.home, context.home


@when("the second router gets a datagram {kind}")
def send_datagram(context, kind):
    async def run():
        async with start_two(context.n_endpoints) as (_fixture, first, second):
            target = (HOST, second.router.settings.peer_ports[0])
            if kind == FROM_STRANGER:
                with open_socket() as stranger:
                    stranger.sendto(b"load model-0 7", target)
            else:
                first.router.gossip.sendto(DATAGRAMS[kind], target)
            await wait_counted(second, DROPPED)
            return second.router.counters.gossip, second.router.loads.states

    context.counted, context.states = asyncio.run(run())


@then("it counts the datagram as dropped and knows no load")
def check_dropped(context):
    # It may have asked the other router for its version.
    heard = {event: n for event, n in context.counted.items() if event != SENT}
    assert heard == {DROPPED: 1}, context.counted
    assert not context.states, context.states


@when("a router starts whose port for datagrams is taken")
def start_without_port(context):
    async def run():
        async with start_fixture(2) as fixture:
            with open_socket() as taken:
                port = taken.getsockname()[1]
                async with start_other(fixture, "first", port) as running:
                    await wait_known(running, {"first"}, 4)
                    await send_prompt(fixture, running, "request-1")

    asyncio.run(run())


@then("it answers a request")
def check_answered(context):
    """The request was answered in the step before."""
