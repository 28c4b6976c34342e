"""Steps that send single requests and check the answers that callers get."""

import asyncio

from behave import then, when
from pulley_platform_standins.endpoints import Behavior
from raw_endpoints import (
    Script,
    add_raw_endpoints,
    call_raw_endpoint,
    encode_framed,
    end_connection,
)
from scenes import (
    CHAT,
    LOOKUP,
    ORDER,
    add_endpoint,
    call,
    find_endpoints,
    start_fixture,
    total_runs,
    wait_until_synced,
)

from pulley_direct.state.loads import get_state

PATHS = {"an order": ORDER, "a lookup": LOOKUP, "a stream": CHAT}
RESERVED = {
    "tenant": "another",
    "hold": "h-1",
    "pin-ms": "1000",
    "kv-backup": "10.0.0.1:1",
    "kv-from": "10.0.0.1:1/h",
    "kv-fetch": "10.0.0.1:1",
    "expect-instance": "another",
    "request-priority": "0",
}


@when("a caller sends headers that are reserved for the fleet")
def send_reserved_headers(context):
    async def run():
        async with start_fixture() as fixture:
            reserved_headers = [
                (name.encode(), value.encode()) for name, value in RESERVED.items()
            ]
            reserved_headers.append((b"x-colour", b"green"))
            await call(fixture, ORDER, headers=reserved_headers)
            return find_endpoints(fixture, "shop")[0].requests[-1]

    context.request = asyncio.run(run())
    context.got = {
        key.decode(): value.decode() for key, value in context.request.headers
    }


@then("the endpoint gets its own name, the team and the remaining time")
def check_fleet_headers(context):
    assert context.got["expect-instance"] == "shop-0", context.got
    assert context.got["tenant"] == "orto", context.got
    assert 900 < int(context.got["deadline-ms"]) <= 1_000, context.got
    assert context.got["attempt-id"] == "request-1", context.got
    assert context.got["x-colour"] == "green", context.got


@then("it gets neither the token nor the reserved headers that the caller sent")
def check_no_reserved_headers(context):
    assert "authorization" not in context.got, context.got
    forwarded_names = {
        name for name, value in RESERVED.items() if context.got.get(name) == value
    }
    assert not forwarded_names, forwarded_names


@when("a caller sends a request to a healthy endpoint")
def send_request_to_healthy(context):
    async def run():
        async with start_fixture() as fixture:
            return await call(fixture, ORDER)

    context.answer = asyncio.run(run())


@then("the caller gets the endpoint's status, body and stamp")
def check_answer_unchanged(context):
    answer = context.answer
    assert (answer.status, answer.body) == (200, b"done\n"), answer
    assert answer.header("server-stamp") == "stamp-of-shop-0", answer
    assert answer.whole


@when("a caller sends {kind} while all endpoints are {behavior}")
def send_while_all_behave_as(context, kind, behavior):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            for endpoint in fixture.endpoints:
                endpoint.behavior = Behavior(behavior)
            answer = await call(fixture, PATHS[kind], timeout_ms=600)
            return answer, total_runs(fixture)

    context.answer, context.n_runs = asyncio.run(run())


@when("a caller sends a lookup while the first endpoint is {behavior}")
def send_lookup_while_first_behaves_as(context, behavior):
    async def run():
        async with start_fixture(n_endpoints=1) as fixture:
            fixture.endpoints[0].behavior = Behavior(behavior)
            await add_endpoint(fixture, "shop-1", "shop")
            await wait_until_synced(fixture)
            # Make the other endpoint look busy, so the first one is chosen.
            get_state(fixture.router.loads, "shop-1").in_flight = 3
            answer = await call(fixture, LOOKUP, timeout_ms=1_500)
            assert fixture.endpoints[0].runs.total() == 1, fixture.endpoints[0]
            return answer, total_runs(fixture)

    context.answer, context.n_runs = asyncio.run(run())


@then('the answer has the status {status:d} and the outcome "{outcome}"')
def check_status_and_outcome(context, status, outcome):
    found = (context.answer.status, context.answer.header("pulley-outcome"))
    assert found == (status, outcome), context.answer


@then('the answer has the status {status:d} and the outcome ""')
def check_status_and_no_outcome(context, status):
    found = (context.answer.status, context.answer.header("pulley-outcome"))
    assert found == (status, ""), context.answer


@then("it ran {n_runs:d} times")
def check_n_runs(context, n_runs):
    assert context.n_runs == n_runs, context.n_runs


@then("the answer's Retry-After is a fraction of a second")
def check_fractional_retry_after(context):
    assert 0 < float(context.answer.header("retry-after")) < 1, context.answer


@then("it arrived before half of the timeout had passed")
def check_early_answer(context):
    assert context.answer.took_ms < 750, context.answer


@when("an endpoint repeats its answer to an earlier request before the next one")
def repeat_earlier_answer(context):
    earlier = []

    async def answer_first(request, writer):
        earlier.append(encode_framed(request, "a length", b"first"))
        writer.write(earlier[0])

    async def answer_second(request, writer):
        writer.write(earlier[0] + encode_framed(request, "a length", b"second"))

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            script = Script([answer_first, answer_second])
            await add_raw_endpoints(fixture, "shop", 1, script)
            await call(fixture, ORDER, request_id="request-1")
            answer = await call(fixture, ORDER, request_id="request-2")
            assert script.n_open == 1, script
            return answer

    context.answer = asyncio.run(run())


@then("the caller gets the answer to its own request")
def check_matching_answer(context):
    assert (context.answer.status, context.answer.body) == (200, b"second"), (
        context.answer
    )


@when("an endpoint ends an answer without a length with a {end}")
def end_answer_without_length(context, end):
    async def answer(request, writer):
        writer.write(encode_framed(request, "nothing", b"all"))
        await end_connection(writer, end)

    context.answer = asyncio.run(call_raw_endpoint(ORDER, "shop", answer))
