"""Steps in which requests arrive while a router stops."""

import asyncio

from behave import then, when
from pulley_platform_standins.endpoints import Behavior
from scenes import (
    CHAT,
    LOOKUP,
    ORDER,
    call,
    check_refused_at_once,
    find_endpoints,
    start_fixture,
)

from pulley_base import to_seconds
from pulley_direct.app import drain

PATHS = {"a lookup": LOOKUP, "an order": ORDER, "a stream": CHAT}
GRACE_MS = 4_300
ARRIVAL_S = 2.6


@when("{kind} of {timeout:d} ms comes {left:d} ms before the end of {grace}")
def send_before_end(context, kind, timeout, left, grace):
    grace_ms = int(grace.split()[-2]) * 1_000

    async def run():
        async with start_fixture(grace_ms=grace_ms) as fixture:
            router = fixture.router
            router.stops_at_ms = router.clock.now_ms() + left
            return await call(fixture, PATHS[kind], timeout_ms=timeout)

    context.answer = asyncio.run(run())


@then("it is answered")
def check_answered(context):
    assert context.answer.status == 200 and context.answer.whole, context.answer


@then("it is refused as not run")
def check_refused(context):
    check_refused_at_once(context.answer)


@when("a lookup waits for its answer as the grace period ends")
def wait_until_end(context):
    async def run():
        async with start_fixture(grace_ms=GRACE_MS) as fixture:
            find_endpoints(fixture, "shop")[0].behavior = Behavior.NO_ANSWER
            stopping = asyncio.create_task(drain(fixture.running))
            await asyncio.sleep(ARRIVAL_S)
            answer = await call(fixture, LOOKUP, timeout_ms=1_900)
            left_ms = fixture.router.stops_at_ms - fixture.router.clock.now_ms()
            await stopping
            return answer, left_ms

    context.answer, context.left_ms = asyncio.run(run())


@then('its caller gets 504 and the outcome "unknown"')
def check_timed_out(context):
    found = context.answer.status, context.answer.header("pulley-outcome")
    assert found == (504, "unknown"), context.answer
    assert to_seconds(context.left_ms) > 0, context.left_ms


@when("a router stops with a grace period of {grace:d} s")
def stop_briefly(context, grace):
    async def run():
        async with start_fixture(grace_ms=grace * 1_000) as fixture:
            await drain(fixture.running)
            return fixture.router.stops_at_ms - fixture.router.clock.now_ms()

    context.left_ms = asyncio.run(run())


@then("its drain ends before the process would be killed")
def check_drain_end(context):
    assert context.left_ms > 0, context.left_ms
