"""Steps in which another endpoint is asked while the first one is silent."""

import asyncio
from unittest.mock import patch

from behave import then, when
from endpoint_pairs import (
    EARLIER,
    LATER,
    PART_KEY,
    TIMEOUT_MS,
    keep_held,
    read_state,
    run_pair,
    start_first,
    start_pair,
    wait_until_left,
)
from gated_endpoints import add_gated, release, whole_answer
from scenes import wait_until_synced
from timed_endpoints import answer_head

from pulley_direct.endpoints.budgets import get_budget
from pulley_policy.crashes import add_report

MAX_TOOK_MS = 1_500
# Longer than the silence after which another endpoint is asked.
SILENCE_S = 0.6
FIRST_BODY = b"id: 1\ndata: first\n\n"
NEXT_EVENT = b"id: 2\ndata: next\n\n"
SECOND_BODY = b"id: 1\ndata: second\n\n"
HEAD = answer_head(f"content-length: {len(FIRST_BODY)}\r\n")
N_SENT_EARLY = 8
OPENINGS = {
    "nothing": b"",
    "the head of its answer": HEAD,
    "a part of its answer": HEAD + FIRST_BODY[:N_SENT_EARLY],
}
REFUSAL = b"HTTP/1.1 503 x\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n"
ERROR_BODY = b"error\n"
ERROR = b"HTTP/1.1 500 x\r\nattempt-id: request-1\r\ncontent-length: %d\r\n\r\n%s" % (
    len(ERROR_BODY),
    ERROR_BODY,
)
ENDS = {
    "closes the connection": (b"", True),
    "refuses the request": (REFUSAL, False),
    "answers with an error": (ERROR, False),
}


@when("the second endpoint answers a {kind} after the first one sent {opening}")
def answer_at_second(context, kind, opening):
    async def act(pair):
        release(pair.second, whole_answer(SECOND_BODY))
        context.left = await wait_until_left(pair.first)

    run_pair(context, kind, act, opening=OPENINGS[opening])


@when("the second endpoint answers a lookup between two checks of the first one")
def answer_between_checks(context):
    async def run():
        async with start_pair("lookup") as pair:
            with patch("pulley_direct.transport.waits.POLL_INTERVAL_MS", TIMEOUT_MS):
                await asyncio.sleep(SILENCE_S / 2)
                release(pair.second, whole_answer(SECOND_BODY))
                await read_state(context, pair)

    asyncio.run(run())


@when("the first endpoint answers a {kind} of which it had sent {opening}")
def answer_at_first(context, kind, opening):
    async def act(pair):
        answer = whole_answer(FIRST_BODY)
        release(pair.first, answer[len(OPENINGS[opening]) :])
        context.left = await wait_until_left(pair.second)

    run_pair(context, kind, act, opening=OPENINGS[opening])


async def fail_at(endpoint, end, other, body) -> None:
    """Let one endpoint fail, and the other one answer later."""
    data, closes = ENDS[end]
    release(endpoint, data, closes=closes)
    await asyncio.sleep(SILENCE_S / 2)
    release(other, whole_answer(body))


@when("the first endpoint of a {kind} {end} and the second one answers")
def fail_at_first(context, kind, end):
    async def act(pair):
        await fail_at(pair.first, end, pair.second, SECOND_BODY)

    run_pair(context, kind, act)


@when("the second endpoint of a {kind} {end} and the first one answers")
def fail_at_second(context, kind, end):
    async def act(pair):
        await fail_at(pair.second, end, pair.first, FIRST_BODY)

    run_pair(context, kind, act)


@when("the second endpoint of a lookup answers with an error and the first one never")
def never_answer(context):
    async def act(pair):
        release(pair.second, ERROR)

    run_pair(context, "lookup", act)


@when("both endpoints of a {kind} answer at once")
def answer_at_both(context, kind):
    async def act(pair):
        release(pair.first, whole_answer(FIRST_BODY))
        release(pair.second, whole_answer(SECOND_BODY))

    run_pair(context, kind, act)


@when("the caller of a {kind} leaves while both endpoints are at work")
def leave(context, kind):
    async def run():
        async with start_pair(kind) as pair:
            pair.task.cancel()
            await asyncio.wait({pair.task})
            context.left = await wait_until_left(pair.first, pair.second)
            keep_held(context, pair.fixture)
            context.n_open = sum(pair.fixture.router.pool.n_open.values())

    asyncio.run(run())


def read_without_second(context, kind: str, *, n_retries: float | None = None) -> None:
    """Read the first endpoint's late answer while the second one is free.

    ``n_retries`` replaces what is left of the retry budget.
    """

    async def run():
        async with start_first(kind) as pair:
            if n_retries is not None:
                get_budget(pair.fixture.router, "shop").left = n_retries
            await asyncio.sleep(SILENCE_S)
            release(pair.first, whole_answer(FIRST_BODY))
            await read_state(context, pair)
            context.second = pair.second

    asyncio.run(run())


@when("the endpoint of an order is silent while another one is free")
def wait_for_order(context):
    read_without_second(context, "order")


@when("no retry is left while the endpoint of a lookup is silent")
def spend_budget(context):
    read_without_second(context, "lookup", n_retries=0.0)


@when("the second of three endpoints refuses a lookup and the first one answers late")
def refuse_at_second(context):
    async def run():
        async with start_pair("lookup") as pair:
            context.third = await add_gated(pair.fixture, "third", "shop")
            await wait_until_synced(pair.fixture)
            release(pair.second, REFUSAL)
            await asyncio.sleep(SILENCE_S)
            release(pair.first, whole_answer(FIRST_BODY))
            await read_state(context, pair)
            context.n_spent = pair.fixture.router.counters.retries.total()

    asyncio.run(run())


@when("neither endpoint of a lookup answers")
def let_both_pass(context):
    async def act(pair):
        """Release nothing."""

    run_pair(context, "lookup", act)


@when("the first endpoint of a stream crashes while the second one is at work")
def crash_at_first(context):
    async def run():
        async with start_pair("stream", HEAD, earlier_crash=True) as pair:
            pair.first.server.listener.close()
            release(pair.first, b"", closes=True)
            context.left = await wait_until_left(pair.second)
            await read_state(context, pair)
            context.lost = pair.fixture.router.fleet_view.crash_log.own_lost

    asyncio.run(run())


@when("a part of a stream is quarantined while its endpoint is silent")
def quarantine_while_silent(context):
    async def run():
        async with start_first("stream") as pair:
            router = pair.fixture.router
            evidence = router.fleet_view.crash_log.evidence
            for lost in (EARLIER, LATER):
                assert add_report(evidence, lost, router.clock.now_ms())
            await read_state(context, pair)
            assert not pair.second.asked.is_set()

    asyncio.run(run())


@when("a silent stream goes on and another endpoint answers it too late")
def go_on_at_first(context):
    async def run():
        size = 2 * len(FIRST_BODY + NEXT_EVENT)
        opening = answer_head(f"content-length: {size}\r\n") + FIRST_BODY
        async with start_pair("stream", opening) as pair:
            release(pair.first, NEXT_EVENT)
            context.left = await wait_until_left(pair.second)
            release(pair.second, whole_answer(NEXT_EVENT))
            await read_state(context, pair)

    asyncio.run(run())


@then("the caller gets each event once")
def check_events(context):
    assert context.answer.body == FIRST_BODY + NEXT_EVENT, context.answer


@then("the caller gets the {which} endpoint's whole answer")
def check_answer(context, which):
    answer = context.answer
    body = {"first": FIRST_BODY, "second": SECOND_BODY}[which]
    assert (answer.status, answer.whole, answer.body) == (200, True, body), answer


@then("the caller gets it long before the deadline")
def check_time(context):
    assert context.answer.took_ms < MAX_TOOK_MS, context.answer.took_ms


@then("the caller gets one whole answer")
def check_one_answer(context):
    answer = context.answer
    assert (answer.status, answer.whole) == (200, True), answer
    assert answer.body in (FIRST_BODY, SECOND_BODY), answer


@then("the caller gets the second endpoint's error")
def check_error(context):
    answer = context.answer
    assert (answer.status, answer.body) == (500, ERROR_BODY), answer


@then("the caller is told {status:d}, {reason}")
def check_refusal(context, status, reason):
    answer = context.answer
    assert answer.status == status and reason.encode() in answer.body, answer


@then("the other endpoint's connection is closed at once")
@then("both connections are closed at once")
def check_left(context):
    assert context.left


@then("nothing is in flight")
def check_none_in_flight(context):
    assert not any(context.in_flight), context.in_flight


@then("no connection to an endpoint is open")
def check_none_open(context):
    assert context.n_open == 0, context.n_open


@then("the second endpoint got nothing")
def check_second(context):
    assert not context.second.asked.is_set()


@then("the third endpoint got nothing, and one retry was spent")
def check_third(context):
    assert not context.third.asked.is_set()
    assert context.n_spent == 1, context.n_spent


@then("the first endpoint has one bad outcome, and no failure")
def check_late(context):
    state = context.first_state
    assert round(state.record.bad, 1) == 1.0, state
    assert state.record.good == 0.0 and state.n_failures == 0, state


@then("the first endpoint has one bad outcome, and one failure")
def check_silent(context):
    state = context.first_state
    assert round(state.record.bad, 1) == 1.0, state
    assert state.n_failures == 1, state


@then("the first endpoint's crash is held against what was known when it was asked")
def check_lost(context):
    (lost,) = context.lost
    depths = {suspect.key: suspect.depth for suspect in lost.suspects}
    assert depths[PART_KEY] == 1, lost
