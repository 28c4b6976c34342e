"""Steps that change the configuration, or keep it from the router."""

import asyncio

from behave import then, when
from pulley_platform_standins.stores import StoreFault, put_document
from scenes import (
    CHAT,
    LOOKUP,
    OPEN,
    ORDER,
    TOKEN,
    call,
    configuration,
    publish,
    start_fixture,
    wait_until_synced,
)

from pulley_adapter.documents import decode_configuration
from pulley_direct.requests.trust import is_ready
from pulley_direct.state.signals import wait_until
from pulley_direct.store.beliefs import install_configuration

# A short request can still be answered in it, and the balancer has seen the stop.
STOPPING_MS = 1_300


@when("the store is silent for longer than tokens are accepted without it")
def silence_store(context):
    async def run():
        async with start_fixture(revoke_ms=1_000) as fixture:
            fixture.store.fault = StoreFault.NO_ANSWER
            await asyncio.sleep(1.2)
            with_token = await call(fixture, ORDER)
            public = await call(fixture, OPEN, token=None)
            return with_token, public, is_ready(fixture.router)

    context.answer, context.public, context.ready = asyncio.run(run())


@then('a request with a token is refused as not run for "{reason}"')
@then('a stream is refused as not run for "{reason}"')
def check_refused_not_run(context, reason):
    answer = context.answer
    assert answer.status == 503, answer
    assert answer.header("pulley-reason") == reason, answer
    assert answer.header("pulley-outcome") == "not-run", answer


@then("a request on a public route is answered")
def check_public_route(context):
    assert context.public.status == 200, context.public


@when("a token is removed while its caller keeps its connection")
def remove_token(context):
    async def run():
        async with start_fixture() as fixture:
            before = await call(fixture, ORDER)
            assert before.status == 200, before
            publish(fixture, 2, tokens=["another-token"])
            await wait_until_synced(fixture)
            return await call(fixture, ORDER, request_id="request-2")

    context.answer = asyncio.run(run())


@then('the next request on that connection is refused for "{reason}"')
def check_token_refused(context, reason):
    answer = context.answer
    assert (answer.status, answer.header("pulley-reason")) == (401, reason), answer


@when("an older configuration is read after a newer one")
def install_older_configuration(context):
    async def run():
        async with start_fixture() as fixture:
            fleet_view = fixture.router.fleet_view
            for version in (9, 4):
                found = decode_configuration(configuration(version, [TOKEN]))
                install_configuration(fleet_view, found)
            return fleet_view.configuration.version

    context.version = asyncio.run(run())


@then("the newer one stays in force")
def check_newer_in_force(context):
    assert context.version == 9, context.version


@when("a router is stopping and the load balancer has removed it")
def send_while_stopping(context):
    async def run():
        async with start_fixture() as fixture:
            long_route = configuration(2, [TOKEN])
            for row in long_route["routes"]:
                row["timeoutMs"] = 12_000 if row["type"] == "stream" else 400
            put_document(fixture.store, "op/config", long_route)
            fixture.version = 2
            await wait_until_synced(fixture)
            clock = fixture.router.clock
            fixture.router.stops_at_ms = clock.now_ms() + STOPPING_MS
            stream = await call(fixture, CHAT, timeout_ms=12_000)
            lookup = await call(fixture, LOOKUP, timeout_ms=12_000)
            return stream, lookup

    context.answer, context.lookup = asyncio.run(run())


@then("a lookup is answered")
def check_lookup_answered(context):
    assert context.lookup.status == 200, context.lookup


@when("a request arrives before the store has answered")
def send_before_configuration(context):
    async def run():
        async with start_fixture(known=False) as fixture:
            task = asyncio.create_task(call(fixture, ORDER, timeout_ms=5_000))
            await asyncio.sleep(0.2)
            publish(fixture, 1)
            return await task

    context.answer = asyncio.run(run())


@then("it is answered after the configuration arrives")
def check_answered_after_configuration(context):
    assert context.answer.status == 200, context.answer


@then("the refusal came within {most_ms:d} ms with a Retry-After of almost zero")
def check_refusal_time(context, most_ms):
    assert context.answer.status == 503, context.answer
    assert context.answer.took_ms < most_ms, context.answer
    assert float(context.answer.header("retry-after")) < 0.1, context.answer


@then("the router is not ready")
def check_not_ready(context):
    assert not context.ready


@when("watches hang while the configuration changes")
def hang_watches(context):
    async def run():
        async with start_fixture(configuration_ms=2_000) as fixture:
            fixture.store.fault = StoreFault.HANG_WATCHES
            await asyncio.sleep(1.2)
            publish(fixture, 2)
            started_ms = fixture.router.clock.now_ms()
            fleet_view = fixture.router.fleet_view
            await wait_until(
                fleet_view.changed, lambda: fleet_view.configuration.version == 2, 5_000
            )
            return fixture.router.clock.now_ms() - started_ms

    context.took_ms = asyncio.run(run())


@then("the change is in force within its time limit")
def check_in_force(context):
    assert context.took_ms < 2_000, context.took_ms
