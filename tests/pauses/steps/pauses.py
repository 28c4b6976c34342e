"""Steps for batch completions that are paused and resumed."""

import asyncio
import json
from types import SimpleNamespace

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from pulley_agent import partial_completions, pauses
from pulley_agent.admission import Grant
from pulley_agent.answers import Answer
from pulley_agent.engines import Engine
from pulley_agent.partial_completions import parse_pausable
from pulley_base import Clock
from pulley_http import Client, close_client
from pulley_policy.gates import Gate
from pulley_policy.loads import LoadCount
from pulley_policy.queues import WaitingRequest
from pulley_standins.engines import EngineSettings, start_engine
from pulley_wire.messages import Open

N_TOKENS = 40
DOCUMENT = {
    "messages": [{"role": "user", "content": "read this ledger"}],
    "stream": True,
    "stream_options": {"include_usage": True},
    "max_tokens": N_TOKENS,
    "ignore_eos": True,
}


def make_open(document=DOCUMENT, **fields):
    fields = {"priority": 2, "idempotent": True, "body_complete": True} | fields
    body = json.dumps(document).encode()
    target = "/batch/v1/chat/completions"
    return Open(method="POST", target=target, body=body, headers=[], **fields)


def make_grant(opened):
    gate = Gate("10.0.0.1:1", LoadCount(1_000.0))
    admission = SimpleNamespace(
        clock=Clock(), gate=gate, pausable={}, preempt=lambda admission: None
    )
    item = WaitingRequest(b"k", "team", 2, 60, 10**12)
    gate.load.add(b"k", 60, "team", 2)
    return Grant(admission, item, 10, 10, partial=parse_pausable(opened))


async def has_not_crashed():
    return False


async def run_with_pauses(opened, pause_at):
    """Return the events of an answer that is paused at some token counts."""
    address = await start_engine(EngineSettings(decode_ms=1))
    client, answer, grant = Client(), Answer(10**6), make_grant(opened)
    engine = Engine(client, address, has_not_crashed)
    n_paused = 0

    async def resume_at_once(grant):
        nonlocal n_paused
        n_paused += 1
        grant.partial.n_pauses += 1
        grant.pause_requested.clear()

    async def fail(failure):
        raise AssertionError(failure)

    record_choices = partial_completions.record_choices

    def record_and_pause(partial, document):
        record_choices(partial, document)
        if partial.n_tokens in pause_at and partial.can_pause_more:
            grant.pause_requested.set()

    parts = partial_completions
    originals = pauses.wait_to_resume, parts.record_choices
    pauses.wait_to_resume, parts.record_choices = resume_at_once, record_and_pause
    try:
        await pauses.run_pausable(engine, opened, grant, answer, fail)
    finally:
        pauses.wait_to_resume, parts.record_choices = originals
    close_client(client)
    assert answer.complete
    return bytes(answer.held).split(b"\n\n"), n_paused


def summarise(events):
    """Return text, number of roles, ids and usage as a caller reads them."""
    assert events[-2:] == [b"data: [DONE]", b""]
    documents = [json.loads(event.removeprefix(b"data: ")) for event in events[:-2]]
    deltas = [one["choices"][0]["delta"] for one in documents if one["choices"]]
    usage = documents[-1]["usage"]
    return (
        "".join(delta.get("content", "") for delta in deltas),
        sum("role" in delta for delta in deltas),
        {one["id"] for one in documents},
        (usage["prompt_tokens"], usage["completion_tokens"], usage["total_tokens"]),
    )


@given("an engine and a batch completion of 40 tokens")
def given_completion(context):
    context.opened = make_open()


@then("text, id, usage and end are the same after any number of pauses")
def same_answer(context):
    unpaused, n_paused = asyncio.run(run_with_pauses(context.opened, frozenset()))
    expected = summarise(unpaused)
    assert n_paused == 0 and len(expected[0]) == 4 * N_TOKENS
    pause_counts = set()

    @settings(derandomize=True, database=None, max_examples=25, deadline=None)
    @for_all(st.frozensets(st.integers(1, N_TOKENS), max_size=6))
    def check(pause_at):
        events, n = asyncio.run(run_with_pauses(context.opened, pause_at))
        pause_counts.add(n)
        assert summarise(events) == expected

    check()
    assert max(pause_counts) > 1


CHANGES = {
    "priority 0": lambda: make_open(priority=0),
    "an idempotency key": lambda: make_open(key=b"k"),
    "no stated length": lambda: make_open(
        {key: value for key, value in DOCUMENT.items() if key != "max_tokens"}
    ),
    "two choices": lambda: make_open(DOCUMENT | {"n": 2}),
    "tools": lambda: make_open(DOCUMENT | {"tools": []}),
    "no stream": lambda: make_open(DOCUMENT | {"stream": False}),
    "a body that is still arriving": lambda: make_open(body_complete=False),
}


@given("a batch completion with {change}")
def given_changed_completion(context, change):
    context.opened = CHANGES[change]()


@then("it can't be paused")
def not_pausable(context):
    assert parse_pausable(make_open()) is not None
    assert parse_pausable(context.opened) is None


@then("it can be paused until 8 tokens are left or it was paused 4 times")
def pause_bounds(context):
    partial = parse_pausable(context.opened)
    partial.n_tokens = N_TOKENS - 8
    assert partial.can_pause_more
    partial.n_tokens += 1
    assert not partial.can_pause_more
    partial.n_tokens, partial.n_pauses = 5, 4
    assert not partial.can_pause_more
