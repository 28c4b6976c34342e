"""Steps with routers that tell each other the version of their configuration."""

import asyncio
from unittest.mock import patch

from behave import then, when
from gossip import HOST, find_free_port, start_other, start_two
from pulley_platform_standins.stores import copy_store, restore_store
from scenes import ORDER, publish, send_call

from pulley_base import to_seconds
from pulley_direct.peers import versions
from pulley_direct.requests.trust import is_ready
from pulley_direct.state.signals import wait_until

NEWER = 7
LIMIT_MS = 3_000
SETTLED_MS = 300
SHORT_WAIT_MS = 500


async def wait_version(running, version):
    """Wait until a router has a version in force."""
    view = running.router.fleet_view

    def has_version():
        found = view.configuration
        return found is not None and found.version == version

    assert await wait_until(view.changed, has_version, LIMIT_MS)


async def order(fixture, running, request_id):
    """Send an order to a router."""
    address = running.caller_server.address
    return await send_call(fixture.client, address, ORDER, request_id=request_id)


async def start_third(n_endpoints, play):
    """Restore the store to an older configuration; play with a router that starts."""
    async with start_two(n_endpoints) as (fixture, first, second):
        copy = copy_store(fixture.store)
        publish(fixture, NEWER)
        for running in (first, second):
            await wait_version(running, NEWER)
        restore_store(fixture.store, copy)
        async with start_other(fixture, "third", find_free_port()) as third:
            await wait_version(third, 1)
            view = third.router.fleet_view
            assert await wait_until(
                view.versions_heard, lambda: view.peer_version == NEWER, LIMIT_MS
            )
            return await play(fixture, third)


@when("the store is restored to an older configuration, and a third router starts")
def restore_and_start(context):
    async def play(fixture, third):
        refused = await order(fixture, third, "request-1")
        ready = is_ready(third.router)
        publish(fixture, NEWER)
        await wait_version(third, NEWER)
        return refused, ready, await order(fixture, third, "request-2")

    found = asyncio.run(start_third(context.n_endpoints, play))
    context.refused, context.ready, context.answer = found


@then("the third router refuses requests as not run, and is not ready")
def check_refused(context):
    refused = context.refused
    found = refused.status, refused.header("pulley-reason")
    assert found == (503, "configuration-stale"), refused
    assert refused.header("pulley-outcome") == "not-run"
    assert not context.ready


@then("it answers once the newer configuration is written again")
@then("the third router goes by the store")
@then("the second one answers requests")
def check_answer(context):
    assert context.answer.status == 200, context.answer


@when("the store keeps an older configuration, and a third router has waited")
def wait_in_vain(context):
    async def play(fixture, third):
        await asyncio.sleep(to_seconds(SHORT_WAIT_MS + SETTLED_MS))
        return await order(fixture, third, "request-1")

    with patch.object(versions, "MAX_WAIT_MS", SHORT_WAIT_MS):
        context.answer = asyncio.run(start_third(context.n_endpoints, play))


@when("a router with a newer configuration asks the second one for its version")
def ask_second(context):
    async def run():
        async with start_two(context.n_endpoints) as (fixture, first, second):
            target = (HOST, second.router.settings.peer_ports[0])
            view = first.router.fleet_view
            n_before = view.n_version_answers
            first.router.gossip.sendto(b"version 9 1", target)
            assert await wait_until(
                view.versions_heard, lambda: view.n_version_answers > n_before, LIMIT_MS
            )
            return await order(fixture, second, "request-1")

    context.answer = asyncio.run(run())
