"""Steps that play many requests at wild endpoints and compare both sides."""

import asyncio
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from random import Random
from unittest.mock import patch

from behave import given, then, when
from pulley_platform_standins.endpoints import list_endpoint
from scenes import LOOKUP, MAX_ATTEMPTS, ORDER, Answer, call, open_scene, settled
from wild import LATE_MS, Ledger, Manner, own_body, start_wild

from pulley_base import Reason
from pulley_direct.dispatch import has_attempts_left, read_whole_body
from pulley_direct.jobs import AttemptFailed, Job
from pulley_http import RequestRefused

N_ENDPOINTS = 4
N_AT_ONCE = 20
TIMEOUT_MS = 300
HANG_UP_SHARE = 0.1
HANG_UP_S = 0.03
LIMIT_S = 60
NOT_RUN = (429, 503)
PASSED_ON = (200, 500)
OTHERS_ANSWER = "another's answer"


@dataclass(slots=True)
class Told:
    """What one caller was told."""

    request_id: str
    path: str
    status: int
    body: bytes


async def send_some(scene, ids, random, told):
    """Send requests one after the other; some callers hang up."""
    for request_id in ids:
        path = random.choice((ORDER, LOOKUP))
        sending = call(scene, path, request_id=request_id, timeout_ms=TIMEOUT_MS)
        hangs_up = random.random() < HANG_UP_SHARE
        patience_s = random.uniform(0.0, HANG_UP_S) if hangs_up else None
        try:
            answer = await asyncio.wait_for(sending, patience_s)
        except TimeoutError:
            answer = Answer()
        told.append(Told(request_id, path, answer.status, answer.body))


async def play_requests(n, seed):
    """Give what the callers were told, the endpoints' ledger, and what is left."""
    ledger = Ledger(Random(seed))
    told = []
    async with asyncio.timeout(LIMIT_S), open_scene(0) as scene:
        for number in range(N_ENDPOINTS):
            endpoint = await start_wild(f"wild-{number}", "shop", ledger)
            scene.endpoints.append(endpoint)
            list_endpoint(scene.store, endpoint)
        await settled(scene)
        ids = iter([f"request-{number}" for number in range(n)])
        randoms = [Random(seed * 1_000 + lane) for lane in range(N_AT_ONCE)]
        await asyncio.gather(
            *(send_some(scene, ids, random, told) for random in randoms)
        )
        await asyncio.sleep(LATE_MS / 1_000)
        states = scene.router.loads.states.values()
        n_in_flight = sum(state.in_flight for state in states)
    return told, ledger, n_in_flight


def find_disagreements(told, ledger):
    """Yield what is false, one line for each caller that it touches."""
    for one in told:
        n_runs = ledger.runs[one.request_id]
        n_endpoints = len(set(ledger.sent_to[one.request_id]))
        if one.path == ORDER and n_runs > 1:
            yield f"{one.request_id}: ran more than once"
        if one.status in NOT_RUN and n_runs:
            yield f"{one.request_id}: said not to have run"
        if n_endpoints > MAX_ATTEMPTS[one.path.strip("/")]:
            yield f"{one.request_id}: sent to too many endpoints"
        if one.status in PASSED_ON and one.body != own_body(one.request_id):
            cut = own_body(one.request_id).startswith(one.body)
            yield f"{one.request_id}: " + ("a cut answer" if cut else OTHERS_ANSWER)


def send_again(router, job, failure):
    return None if has_attempts_left(job) else failure.reason


def refuse_as_not_run(router, job, reason, detail):
    raise RequestRefused(503, Reason.NO_ENDPOINT, detail)


async def read_what_came(exchange, job):
    try:
        return await read_whole_body(exchange, job)
    except AttemptFailed:
        return own_body(job.call.request_id)[:-4]


ALWAYS = property(lambda job: job.route.repeatable)
FAULTS = {
    "orders are sent again": [("dispatch.retry_denial_reason", send_again)],
    "every refusal says 503": [("dispatch.fall_back_or_refuse", refuse_as_not_run)],
    "another's answer passed": [("attempts.is_answer_to_job", lambda *others: True)],
    "cut answers passed": [("dispatch.read_whole_body", read_what_came)],
    "attempts unbounded": [("dispatch.has_attempts_left", lambda job: True)],
}


@given('the fault "{fault}" in the router')
def plant(context, fault):
    context.fault = fault


@when("{n:d} requests are played with seed {seed:d}")
def play(context, n, seed):
    fault = getattr(context, "fault", None)
    with ExitStack() as stack:
        for name, planted in FAULTS.get(fault, ()):
            stack.enter_context(patch(f"pulley_direct.{name}", planted))
        if fault == "attempts unbounded":
            stack.enter_context(patch.object(Job, "may_retry", ALWAYS))
        context.told, context.ledger, context.n_in_flight = asyncio.run(
            play_requests(n, seed)
        )
    assert len(context.told) == n, len(context.told)


@then("every caller's answer agrees with what the endpoints ran")
def check_agreement(context):
    found = list(find_disagreements(context.told, context.ledger))
    assert not found, found[:10]


@then("every manner was met, and callers got answers of every kind")
def check_met(context):
    assert set(context.ledger.met) == set(Manner), context.ledger.met
    statuses = Counter(one.status for one in context.told)
    assert {0, 200, 500, 502, 503, 504} <= set(statuses), statuses


@then('an answer disagrees with what the endpoints ran: "{finding}"')
def check_finding(context, finding):
    found = list(find_disagreements(context.told, context.ledger))
    assert any(finding in line for line in found), found[:10]
