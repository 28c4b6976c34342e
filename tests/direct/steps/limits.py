"""Steps about endpoints that name the rate that they take from all routers."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

from behave import given, then, when
from busy_endpoints import busy
from gossip import find_free_port, start_other, wait_counted, wait_known
from raw_endpoints import Script, add_raw_endpoints, encode_head
from scenes import (
    LOOKUP,
    ORDER,
    call,
    check_refused_at_once,
    find_endpoints,
    send_call,
    start_fixture,
)

from pulley_base import ABSENT, UNKNOWN
from pulley_direct.endpoints.limits import current_limit, hear_limit, limit_left_ms
from pulley_direct.state.counters import RECEIVED
from pulley_direct.state.loads import get_state
from pulley_direct.store.beliefs import apply_entries

WINDOW_S = 4.0
TOLD_S = 0.5


def limit_header(value):
    return [(b"server-limit", str(value).encode())]


@asynccontextmanager
async def start_routers(context):
    """Start the scenario's routers; the endpoint ``shop-0`` names the limit."""
    async with AsyncExitStack() as stack:
        fixture = await stack.enter_async_context(start_fixture(context.n_endpoints))
        limited = find_endpoints(fixture, "shop")[0]
        limited.notices = limit_header(context.limit)
        names = [f"router-{number}" for number in range(2, context.n_routers + 1)]
        others = [
            await stack.enter_async_context(
                start_other(fixture, name, find_free_port())
            )
            for name in names
        ]
        for running in others:
            await wait_known(running, set(names), 2 * context.n_endpoints)
        yield fixture, [fixture.running, *others], limited


@given("{n:d} routers, an endpoint that names a limit of {limit}, and a free one")
def note_limit(context, n, limit):
    context.n_routers, context.limit, context.n_endpoints = n, limit, 2


@given("{n:d} routers and a single endpoint that names a limit of {limit}")
def note_single(context, n, limit):
    context.n_routers, context.limit, context.n_endpoints = n, limit, 1


def listed(running, endpoint):
    return running.router.fleet_view.endpoints[endpoint.name]


@when("callers send {rate:d} requests a second for {duration:d} s")
def send_load(context, rate, duration):
    async def run():
        async with start_routers(context) as (fixture, routers, limited):
            loop = asyncio.get_running_loop()
            arrivals, tasks = [], []

            async def send(number):
                running = routers[number % len(routers)]
                address = running.caller_server.address
                name = f"request-{number}"
                before = limited.runs.total()
                answer = await send_call(
                    fixture.client, address, LOOKUP, request_id=name
                )
                assert limited.runs.total() >= before
                if limited.runs[name]:
                    arrivals.append(loop.time())
                return answer.status

            started = loop.time()
            for number in range(rate * duration):
                tasks.append(asyncio.create_task(send(number)))
                await asyncio.sleep(started + (number + 1) / rate - loop.time())
            statuses = await asyncio.gather(*tasks)
            return statuses, [time - started for time in arrivals]

    context.statuses, context.arrivals = asyncio.run(run())


@then("all are answered")
def check_all_answered(context):
    assert set(context.statuses) == {200}, context.statuses


@then("in no 4 s from half a second on the limited endpoint gets more than {most:d}")
def check_window(context, most):
    late = [time for time in context.arrivals if time >= TOLD_S]
    for first in late:
        found = sum(first <= time < first + WINDOW_S for time in late)
        assert found <= most, (found, late)


@then("from half a second on it gets at least {least:d}")
def check_used(context, least):
    late = [time for time in context.arrivals if time >= TOLD_S]
    assert len(late) >= least, late


@then("the limited endpoint gets {expected}")
def check_amount(context, expected):
    n = len(context.arrivals)
    assert n <= 5 if expected == "almost nothing" else n >= 20, n


@when("three requests are sent at once")
def send_three(context):
    async def run():
        async with start_routers(context) as (fixture, _routers, _limited):
            for number in range(3):
                answer = await call(fixture, ORDER, request_id=f"request-{number}")
            return answer

    context.answer = asyncio.run(run())


@then("the last is refused at once as not run, to come back within two seconds")
def check_refused(context):
    answer = context.answer
    check_refused_at_once(answer)
    assert answer.header("pulley-reason") == "endpoint-closed", answer
    assert 0.2 < float(answer.header("retry-after")) <= 2, answer


async def learn_limit(fixture, running, limited):
    """Send one request to the limited endpoint, which names its limit."""
    others = [one for one in find_endpoints(fixture, "shop") if one is not limited]
    with busy(fixture, others[0].name):
        await call(fixture, LOOKUP, request_id="first")
    endpoint = listed(running, limited)
    assert current_limit(running.router, endpoint) is not None
    return endpoint


@when("the endpoint names none any more in its next answer")
def end_by_answer(context):
    async def run():
        async with start_routers(context) as (fixture, (running,), limited):
            endpoint = await learn_limit(fixture, running, limited)
            hear_limit(running.router, endpoint, 200, ABSENT)
            return current_limit(running.router, endpoint)

    context.found = asyncio.run(run())


@then("its limit has ended")
@then("it has no limit")
def check_no_limit(context):
    assert context.found is None, context.found


ANSWERS = {
    "an error that names none": (500, ABSENT),
    "one with a limit that is no number": (200, UNKNOWN),
}


@when("the endpoint's next answer is {kind}")
def answer_otherwise(context, kind):
    async def run():
        async with start_routers(context) as (fixture, (running,), limited):
            endpoint = await learn_limit(fixture, running, limited)
            hear_limit(running.router, endpoint, *ANSWERS[kind])
            return current_limit(running.router, endpoint)

    context.found = asyncio.run(run())


@then("its limit is still {rate:d}")
def check_limit(context, rate):
    assert context.found.rate_per_s == rate, context.found


@when("a later start of the endpoint is listed")
def start_again(context):
    async def run():
        async with start_routers(context) as (fixture, (running,), limited):
            endpoint = await learn_limit(fixture, running, limited)
            restarted = replace(
                endpoint, started_ms=endpoint.started_ms + 1, revision=0
            )
            apply_entries(running.router.fleet_view, [restarted])
            return current_limit(running.router, listed(running, limited))

    context.found = asyncio.run(run())


@when("only the first router hears the limit")
def hear_at_first(context):
    async def run():
        async with start_two_with_ports(context) as (fixture, first, second, limited):
            hear_limit(first.router, listed(first, limited), 200, float(context.limit))
            await wait_counted(second, RECEIVED)
            return current_limit(second.router, listed(second, limited))

    context.found = asyncio.run(run())


@asynccontextmanager
async def start_two_with_ports(context):
    """Start two routers that hear each other's datagrams."""
    async with start_fixture(context.n_endpoints) as fixture:
        limited = find_endpoints(fixture, "shop")[0]
        async with (
            start_other(fixture, "first", find_free_port()) as first,
            start_other(fixture, "second", find_free_port()) as second,
        ):
            for running in (first, second):
                await wait_known(running, {"first", "second"}, 2 * context.n_endpoints)
            yield fixture, first, second, limited


@then("the second router knows it as well")
def check_known(context):
    assert context.found is not None
    assert context.found.rate_per_s == float(context.limit), context.found


@when("both know the limit and the first router hears that it has ended")
def end_at_first(context):
    async def run():
        async with start_two_with_ports(context) as (fixture, first, second, limited):
            endpoint = listed(second, limited)
            hear_limit(first.router, listed(first, limited), 200, 0.0)
            await wait_counted(second, RECEIVED)
            before = limit_left_ms(second.router, endpoint)
            second.router.counters.gossip.clear()
            hear_limit(first.router, listed(first, limited), 200, ABSENT)
            await wait_counted(second, RECEIVED)
            return before, limit_left_ms(second.router, endpoint)

    context.waits = asyncio.run(run())


@then("the second router may send one request to the endpoint")
def check_one_allowed(context):
    before, after = context.waits
    assert before > 0 and after == 0, context.waits


@when("a misdirected request is rejected with a limit and a load")
def reject_misdirected(context):
    async def answer(request, writer):
        lines = ("content-length: 0", "server-limit: 1", "instance-load: 40,9,8")
        writer.write(encode_head(request, *lines, status=421))

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            await add_raw_endpoints(fixture, "shop", 1, Script([answer]))
            await call(fixture, LOOKUP)
            return get_state(fixture.router.loads, "raw-0")

    context.state = asyncio.run(run())


@then("the endpoint that was asked has no limit and no load")
def check_nothing_learned(context):
    assert context.state.limit is None, context.state
    assert context.state.other_requests == 0, context.state
