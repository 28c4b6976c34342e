"""Steps with endpoints that are listed as ready but fail requests."""

import asyncio

from behave import then, when
from pulley_platform_standins.endpoints import Behavior
from scenes import LOOKUP, call, start_fixture


def run_lookups(context, n, n_endpoints, n_failing):
    """Send lookups one after the other, and keep the answers and run counts."""

    async def run():
        async with start_fixture(n_endpoints) as fixture:
            shop = [one for one in fixture.endpoints if one.service == "shop"]
            for endpoint in shop[:n_failing]:
                endpoint.behavior = Behavior.FAILING
            answers = [
                await call(fixture, LOOKUP, request_id=f"request-{number}")
                for number in range(n)
            ]
            return answers, [endpoint.runs.total() for endpoint in shop]

    context.answers, context.n_runs = asyncio.run(run())


@when("{n:d} lookups are sent in turn while the first of {size:d} endpoints fails")
def run_one_failing(context, n, size):
    run_lookups(context, n, size, 1)


@when("{n:d} lookups are sent in turn while all of {size:d} endpoints fail")
def run_all_failing(context, n, size):
    run_lookups(context, n, size, size)


@then("it ran at most {n:d} of them")
def check_few(context, n):
    assert 0 < context.n_runs[0] <= n, context.n_runs


@then("each of them ran at least {n:d}")
def check_all(context, n):
    assert min(context.n_runs) >= n, context.n_runs


@then("every caller got a good answer")
def check_answers(context):
    assert {answer.status for answer in context.answers} == {200}
