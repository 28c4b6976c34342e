"""Steps that read streams from endpoints that break off, pause or are full."""

import asyncio

from behave import then, when
from pulley_platform_standins.endpoints import Behavior
from scenes import CHAT, ONCE, ORDER, call, find_endpoints, start_fixture, total_runs

from pulley_direct.endpoints.budgets import get_budget

MAX_CANCEL_S = 0.5


@when("a caller reads a resumable stream from an endpoint that breaks off")
def read_breaking_resumable_stream(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            for endpoint in find_endpoints(fixture, "model"):
                endpoint.n_events = 6
                endpoint.n_events_before_cut = 2
                endpoint.behavior = Behavior.CUT_STREAM
            task = asyncio.create_task(call(fixture, CHAT, timeout_ms=3_000))
            while not total_runs(fixture):
                await asyncio.sleep(0)
            for endpoint in find_endpoints(fixture, "model"):
                if not endpoint.runs:
                    endpoint.behavior = Behavior.NORMAL
            return await task, fixture.endpoints

    context.answer, context.endpoints = asyncio.run(run())


@then("it gets every event once and in order, and the stream is complete")
def check_all_events(context):
    lines = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 7)]
    assert context.answer.body == b"".join(lines), context.answer
    assert context.answer.whole


@then("the second endpoint was asked to resume after the last whole event")
def check_resume_position(context):
    second = [one for one in context.endpoints if one.behavior is Behavior.NORMAL]
    (request,) = [r for one in second for r in one.requests if one.service == "model"]
    assert dict(request.headers)[b"last-event-id"] == b"2", request


@when("a caller reads a non-resumable stream from an endpoint that breaks off")
def read_breaking_stream(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            for endpoint in find_endpoints(fixture, "model"):
                endpoint.behavior = Behavior.CUT_STREAM
            return await call(fixture, ONCE, timeout_ms=3_000), total_runs(fixture)

    context.answer, context.n_runs = asyncio.run(run())


@then("the stream ends incomplete")
def check_incomplete_stream(context):
    assert context.answer.status == 200 and not context.answer.whole, context.answer


@then("only one endpoint ran it")
def check_one_run(context):
    assert context.n_runs == 1, context.n_runs


@when("a caller hangs up on a stream")
def hang_up_on_stream(context):
    async def run():
        async with start_fixture() as fixture:
            endpoint = find_endpoints(fixture, "model")[0]
            endpoint.n_events, endpoint.event_ms = 1_000, 20
            task = asyncio.create_task(call(fixture, CHAT, timeout_ms=30_000))
            while not endpoint.n_running:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(MAX_CANCEL_S)
            return endpoint.n_running

    context.n_running = asyncio.run(run())


@then("the endpoint's work is cancelled within half a second")
def check_work_cancelled(context):
    assert context.n_running == 0, context.n_running


@when("an endpoint is silent for a while and no retry is left")
def silence_endpoint(context):
    async def run():
        async with start_fixture(
            n_endpoints=2, retry_slack=0, retry_ratio=0
        ) as fixture:
            for endpoint in find_endpoints(fixture, "model"):
                endpoint.pause_ms = 1_700
            await call(fixture, ORDER)
            get_budget(fixture.router, "model").left = 0.0
            answer = await call(fixture, CHAT, timeout_ms=4_000)
            runs = sum(one.runs.total() for one in find_endpoints(fixture, "model"))
            return answer, runs

    context.answer, context.n_runs = asyncio.run(run())


@then("the stream is complete, and one endpoint ran it")
def check_complete_stream_run_once(context):
    assert context.answer.whole and context.answer.body.count(b"id:") == 5, (
        context.answer
    )
    assert context.n_runs == 1, context.n_runs


@when(
    "{n_callers:d} callers stream at once from an endpoint that accepts 50 connections"
)
def open_many_streams(context, n_callers):
    async def run():
        async with start_fixture() as fixture:
            endpoint = find_endpoints(fixture, "model")[0]
            endpoint.event_ms = 100
            calls = [
                call(fixture, CHAT, request_id=f"request-{number}", timeout_ms=4_000)
                for number in range(n_callers)
            ]
            return await asyncio.gather(*calls), endpoint.runs.total()

    context.answers, context.n_runs = asyncio.run(run())


@then("at most {most:d} of them run, and the others are refused as not run")
def check_channel_share(context, most):
    statuses = [one.status for one in context.answers]
    assert 0 < context.n_runs <= most, context.n_runs
    assert statuses.count(200) == context.n_runs, statuses
    assert statuses.count(503) == len(statuses) - context.n_runs, statuses


@when("a stream breaks off and the other endpoint fails to resume it")
def fail_resume(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            models = find_endpoints(fixture, "model")
            for endpoint in models:
                endpoint.behavior = Behavior.CUT_STREAM
            task = asyncio.create_task(call(fixture, CHAT, timeout_ms=3_000))
            while not total_runs(fixture):
                await asyncio.sleep(0)
            for endpoint in models:
                if not endpoint.runs:
                    endpoint.behavior = Behavior.FAILING
            answer = await task
            states = fixture.router.loads.states.values()
            return answer, sum(state.in_flight for state in states)

    context.answer, context.n_in_flight = asyncio.run(run())


@then("no endpoint counts a request in flight")
def check_in_flight(context):
    assert context.n_in_flight == 0, context.n_in_flight
