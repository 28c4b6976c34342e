"""Steps about endpoints that ask for a pause with 503 and Retry-After."""

import asyncio

from behave import given, then, when
from busy_endpoints import busy
from pulley_platform_standins.endpoints import Behavior, list_endpoint, unlist_endpoint
from raw_endpoints import Script, add_raw_endpoints, encode_framed, encode_head
from scenes import (
    LOOKUP,
    ORDER,
    add_endpoint,
    call,
    check_refused_at_once,
    find_endpoints,
    start_fixture,
    wait_until_synced,
)

from pulley_base import Clock
from pulley_direct.state.loads import (
    LoadTable,
    close_endpoint,
    closed_left_ms,
    is_closed,
)
from pulley_direct.state.signals import wait_until

SENDING_S = 1.0
INTERVAL_S = 0.05


def rejection(request, value, says_not_run):
    lines = ["content-length: 0", f"retry-after: {value}"]
    if says_not_run:
        lines.append("not-executed: 1")
    return encode_head(request, *lines, status=503)


@given(
    "an endpoint that rejects a request {how} with Retry-After {value}, and a sound one"
)
def note_rejection(context, how, value):
    context.rejection = value, how == "as not run"


@when("requests are sent for a second")
def send_for_a_second(context):
    async def answer_first(request, writer):
        writer.write(rejection(request, *context.rejection))

    async def answer_others(request, writer):
        writer.write(encode_framed(request, "a length", b"ok"))

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            script = Script([answer_first, answer_others])
            await add_raw_endpoints(fixture, "shop", 1, script)
            await call(fixture, LOOKUP, request_id="first")
            assert len(script.requests) == 1, script.requests
            await add_endpoint(fixture, "sound", "shop")
            await wait_until_synced(fixture)
            loop = asyncio.get_running_loop()
            end, statuses = loop.time() + SENDING_S, []
            with busy(fixture, "sound"):
                while loop.time() < end:
                    name = f"request-{len(statuses)}"
                    answer = await call(fixture, LOOKUP, request_id=name)
                    statuses.append(answer.status)
                    await asyncio.sleep(INTERVAL_S)
            return statuses, len(script.requests) - 1

    context.statuses, context.n_first = asyncio.run(run())


@then("all are answered, and none reaches the first endpoint")
def check_closed(context):
    assert set(context.statuses) == {200}, context.statuses
    assert context.n_first == 0, context.n_first


@then("all are answered, and some by the first endpoint")
def check_open(context):
    assert set(context.statuses) == {200}, context.statuses
    assert context.n_first > 0, context.n_first


@when("an endpoint asks for 2 s and then for 0.1 s")
def ask_twice(context):
    context.loads = LoadTable(Clock())
    close_endpoint(context.loads, "shop-0", 2_000)
    close_endpoint(context.loads, "shop-0", 100)


@then("it is closed for more than a second")
def check_closed_on(context):
    assert is_closed(context.loads, "shop-0")
    assert closed_left_ms(context.loads, "shop-0") > 1_000


@given("two endpoints that both ask for a pause of 3 s")
def note_all_closed(context):
    pass


@when("one more request is sent to them")
def send_while_closed(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            endpoints = find_endpoints(fixture, "shop")
            for endpoint in endpoints:
                endpoint.behavior = Behavior.FULL
                endpoint.notices = [(b"retry-after", b"3")]
            await call(fixture, LOOKUP, request_id="first")
            before = [len(one.requests) for one in endpoints]
            answer = await call(fixture, ORDER, request_id="late")
            return answer, before, [len(one.requests) for one in endpoints]

    context.result = asyncio.run(run())


@then("it is refused at once with a Retry-After between 2 and 3 s")
def check_all_refused(context):
    answer, before, after = context.result
    assert before == after == [1, 1], (before, after)
    check_refused_at_once(answer)
    assert 2 < float(answer.header("retry-after")) <= 3, answer


@when("an endpoint asks for a pause, is removed from the list and listed again")
def ask_and_lapse(context):
    async def run():
        async with start_fixture() as fixture:
            (endpoint,) = find_endpoints(fixture, "shop")
            endpoint.behavior = Behavior.FULL
            endpoint.notices = [(b"retry-after", b"3")]
            await call(fixture, LOOKUP)
            view = fixture.router.fleet_view
            unlist_endpoint(fixture.store, endpoint)
            await wait_until(view.changed, lambda: "shop-0" not in view.endpoints, 2000)
            list_endpoint(fixture.store, endpoint)
            await wait_until(view.changed, lambda: "shop-0" in view.endpoints, 2000)
            return fixture.router.loads

    context.loads = asyncio.run(run())
