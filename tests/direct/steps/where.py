"""Steps about explaining where a request would go."""

import asyncio

from behave import given, then, when
from scenes import CHAT, HOST, call, start_fixture, total_runs

from pulley_direct.explanations import explain_where
from pulley_direct.state.models import EvacuationStarted
from pulley_direct.store.beliefs import apply_entries
from pulley_router.where import format_answer, is_refused

LIMIT_S = 10
PARTS = "aa:100,bb:50"


@given("a router with {n:d} endpoints of each service")
def prepare(context, n):
    context.n = n


def play(context, act):
    async def run():
        async with asyncio.timeout(LIMIT_S), start_fixture(context.n) as fixture:
            await act(fixture)

    asyncio.run(run())


def query(path):
    return f"host={HOST}&path={path}x&parts={PARTS}"


@when("an operator asks where a prompt would go, {n:d} times")
def ask(context, n):
    async def act(fixture):
        router = fixture.router
        context.answers = [explain_where(router, query(CHAT)) for _ in range(n)]
        context.counts = total_runs(fixture), router.counters.answers.total()
        await call(fixture, CHAT, parts=PARTS)
        context.ran = [one.name for one in fixture.endpoints if one.runs]

    play(context, act)


@then("each answer names the endpoint that a prompt then goes to")
def check_home(context):
    chosen = {one["services"][0]["chosen"] for one in context.answers}
    assert list(chosen) == context.ran, (chosen, context.ran)
    assert context.ran[0] in "\n".join(format_answer(context.answers[0]))


@then("the endpoints got no request for the asking, and nothing was counted")
def check_uncounted(context):
    assert context.counts == (0, 0), context.counts


@when("their data centre is evacuated and an operator asks")
def ask_evacuated(context):
    async def act(fixture):
        apply_entries(fixture.router.fleet_view, [EvacuationStarted("here")])
        context.answers = [explain_where(fixture.router, query(CHAT))]

    play(context, act)


@then("the answer says that the request is refused, and that endpoints are evacuated")
def check_evacuated(context):
    answer = context.answers[0]
    assert is_refused(answer), answer
    withheld = {one["withheld"] for one in answer["services"][0]["endpoints"]}
    assert withheld == {"evacuated"}, withheld


@when("an operator asks for a path without a route")
def ask_no_route(context):
    async def act(fixture):
        context.answers = [explain_where(fixture.router, query("/nowhere/"))]

    play(context, act)


@then("the answer says no-route")
def check_no_route(context):
    assert list(format_answer(context.answers[0])) == ["refused: no-route"]
