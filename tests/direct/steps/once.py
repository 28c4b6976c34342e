"""Steps that send many requests to faulty endpoints and compare both sides' records."""

import asyncio
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from random import Random
from unittest.mock import patch

from behave import given, then, when
from faulty_endpoints import (
    LATE_ANSWER_MS,
    Behavior,
    RequestLog,
    expected_body,
    start_faulty_endpoint,
)
from pulley_platform_standins.endpoints import list_endpoint
from scenes import (
    LOOKUP,
    MAX_ATTEMPTS,
    ORDER,
    Answer,
    call,
    start_fixture,
    wait_until_synced,
)

from pulley_base import Reason
from pulley_direct.requests.bodies import read_whole_body
from pulley_direct.requests.resends import has_attempts_left
from pulley_direct.state.jobs import AttemptFailed, Job
from pulley_http import RequestRefused

N_ENDPOINTS = 4
N_CONCURRENT_CALLERS = 20
TIMEOUT_MS = 300
HANG_UP_SHARE = 0.1
MAX_HANG_UP_S = 0.03
LIMIT_S = 60
NOT_RUN_STATUSES = (429, 503)
ENDPOINT_STATUSES = (200, 500)
ANSWER_TO_OTHER = "answer to another request"


@dataclass(slots=True)
class CallerResult:
    """The answer that one caller got; ``status`` is 0 if it hung up or got none."""

    request_id: str
    path: str
    status: int
    body: bytes


async def send_some(fixture, ids, random, results):
    """Send requests one after the other; some callers hang up."""
    for request_id in ids:
        path = random.choice((ORDER, LOOKUP))
        sending = call(fixture, path, request_id=request_id, timeout_ms=TIMEOUT_MS)
        hangs_up = random.random() < HANG_UP_SHARE
        hang_up_after_s = random.uniform(0.0, MAX_HANG_UP_S) if hangs_up else None
        try:
            answer = await asyncio.wait_for(sending, hang_up_after_s)
        except TimeoutError:
            answer = Answer()
        results.append(CallerResult(request_id, path, answer.status, answer.body))


async def run_requests(n, seed):
    """Return the callers' results, the endpoints' log and the requests in flight."""
    request_log = RequestLog(Random(seed))
    results = []
    async with asyncio.timeout(LIMIT_S), start_fixture(0) as fixture:
        for number in range(N_ENDPOINTS):
            endpoint = await start_faulty_endpoint(
                f"faulty-{number}", "shop", request_log
            )
            fixture.endpoints.append(endpoint)
            list_endpoint(fixture.store, endpoint)
        await wait_until_synced(fixture)
        ids = iter([f"request-{number}" for number in range(n)])
        randoms = [
            Random(seed * 1_000 + caller) for caller in range(N_CONCURRENT_CALLERS)
        ]
        await asyncio.gather(
            *(send_some(fixture, ids, random, results) for random in randoms)
        )
        await asyncio.sleep(LATE_ANSWER_MS / 1_000)
        states = fixture.router.loads.states.values()
        n_in_flight = sum(state.in_flight for state in states)
    return results, request_log, n_in_flight


def find_contradictions(results, request_log):
    """Yield one line for each answer that contradicts what the endpoints ran."""
    for one in results:
        n_runs = request_log.runs[one.request_id]
        n_endpoints = len(set(request_log.sent_to[one.request_id]))
        if one.path == ORDER and n_runs > 1:
            yield f"{one.request_id}: ran more than once"
        if one.status in NOT_RUN_STATUSES and n_runs:
            yield f"{one.request_id}: reported as not run"
        if n_endpoints > MAX_ATTEMPTS[one.path.strip("/")]:
            yield f"{one.request_id}: sent to too many endpoints"
        if one.status in ENDPOINT_STATUSES and one.body != expected_body(
            one.request_id
        ):
            truncated = expected_body(one.request_id).startswith(one.body)
            yield f"{one.request_id}: " + (
                "truncated answer" if truncated else ANSWER_TO_OTHER
            )


def retry_always(router, job, failure):
    return None if has_attempts_left(job) else failure.reason


def refuse_as_not_run(router, job, reason, detail):
    raise RequestRefused(503, Reason.NO_ENDPOINT, detail)


async def read_truncated_body(exchange, job):
    try:
        return await read_whole_body(exchange, job)
    except AttemptFailed:
        exchange.headers = [
            pair for pair in exchange.headers if pair[0] != b"content-length"
        ]
        return expected_body(job.call.request_id)[:-4]


MAY_RETRY_IF_RETRYABLE = property(lambda job: job.route.retryable)
FAULTS = {
    "orders are retried": [("requests.dispatch.retry_denial_reason", retry_always)],
    "every refusal says 503": [
        ("requests.dispatch.fall_back_or_refuse", refuse_as_not_run)
    ],
    "wrong answers passed": [
        ("requests.answer_heads.is_answer_to_job", lambda *others: True)
    ],
    "truncated answers passed": [
        ("requests.dispatch.read_whole_body", read_truncated_body)
    ],
    "unlimited attempts": [("requests.resends.has_attempts_left", lambda job: True)],
}


@given('the fault "{fault}" in the router')
def inject_fault(context, fault):
    context.fault = fault


@when("{n:d} requests are sent with seed {seed:d}")
def send_requests(context, n, seed):
    fault = getattr(context, "fault", None)
    with ExitStack() as stack:
        for name, replacement in FAULTS.get(fault, ()):
            stack.enter_context(patch(f"pulley_direct.{name}", replacement))
        if fault == "unlimited attempts":
            stack.enter_context(patch.object(Job, "may_retry", MAY_RETRY_IF_RETRYABLE))
        context.results, context.request_log, context.n_in_flight = asyncio.run(
            run_requests(n, seed)
        )
    assert len(context.results) == n, len(context.results)


@then("every caller's answer agrees with what the endpoints ran")
def check_agreement(context):
    found = list(find_contradictions(context.results, context.request_log))
    assert not found, found[:10]


@then("every endpoint behavior occurred, and callers got answers of every kind")
def check_coverage(context):
    assert set(context.request_log.behaviors_seen) == set(Behavior), (
        context.request_log.behaviors_seen
    )
    statuses = Counter(one.status for one in context.results)
    assert {0, 200, 500, 502, 503, 504} <= set(statuses), statuses


@then('an answer contradicts what the endpoints ran: "{finding}"')
def check_finding(context, finding):
    found = list(find_contradictions(context.results, context.request_log))
    assert any(finding in line for line in found), found[:10]
