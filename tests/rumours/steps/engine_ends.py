"""Steps with engines that close the connection of an answer without a length."""

import asyncio
import json
from functools import partial
from types import SimpleNamespace

from behave import then, when

from pulley_agent.admission import Grant
from pulley_agent.answers import Answer
from pulley_agent.crashes import CrashWatch, has_crashed
from pulley_agent.engines import Engine, run_on_engine
from pulley_agent.partial_completions import parse_pausable
from pulley_agent.pauses import run_pausable
from pulley_base import Clock, Reason
from pulley_http import Client
from pulley_policy.gates import Gate
from pulley_policy.loads import LoadCount
from pulley_policy.queues import WaitingRequest
from pulley_policy.suspects import Suspects
from pulley_wire.messages import Open

SERVICE = "consiglio"
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
EVENT = b'data: {"choices": []}\n\n'
LIMIT_S = 5
LATE_MS = 10**12
LIMIT_BYTES = 1_000
COMPLETION = {"messages": [], "stream": True, "max_tokens": 40}


def run_answer(context, kind, crashes):
    """Run a request on an engine that ends its connection after an event."""

    async def run():
        async def answer_once(reader, writer):
            # The agent's probe sends nothing.
            if await reader.read(LIMIT_BYTES):
                writer.write(HEAD + EVENT)
                await writer.drain()
                if crashes:
                    server.close()
            writer.close()

        server = await asyncio.start_server(answer_once, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = f"{host}:{port}"
        watch = CrashWatch(None, Clock(), SERVICE, address, Suspects(60_000))
        engine = Engine(Client(), address, partial(has_crashed, watch))
        context.answer = Answer(LIMIT_BYTES)
        await asyncio.wait_for(RUNS[kind](engine, context.answer), LIMIT_S)
        server.close()

    asyncio.run(run())


async def ignore_failure(failure):
    """Report no failure."""


async def run_plain(engine, answer):
    opened = Open(method="POST", target="/x", headers=[])
    await run_on_engine(
        engine, opened, b"{}", answer, lambda piece: None, ignore_failure
    )


async def run_completion(engine, answer):
    opened = Open(
        method="POST",
        target="/batch/v1/chat/completions",
        body=json.dumps(COMPLETION).encode(),
        headers=[],
        priority=2,
        idempotent=True,
        body_complete=True,
    )
    gate = Gate("10.0.0.1:1", LoadCount(1_000.0))
    admission = SimpleNamespace(gate=gate, pausable={})
    item = WaitingRequest(b"k", "team", 2, 60, LATE_MS)
    gate.load.add(item.key, item.work, item.team, item.priority)
    grant = Grant(admission, item, 10, 10, partial=parse_pausable(opened))
    await run_pausable(engine, opened, grant, answer, ignore_failure)


RUNS = {"an answer": run_plain, "a completion by events": run_completion}


@when("the engine of {kind} sends a part of it without a length and crashes")
def crash_in_answer(context, kind):
    run_answer(context, kind, crashes=True)


@when("the engine of {kind} sends it without a length and lives on")
def live_on(context, kind):
    run_answer(context, kind, crashes=False)


@then("the answer has failed as its engine crashed")
def check_failed(context):
    assert not context.answer.complete, context.answer
    assert context.answer.failure.reason == Reason.ENGINE_CRASHED, context.answer


@then("the answer is complete")
def check_complete(context):
    assert context.answer.complete, context.answer
    assert bytes(context.answer.held) == EVENT, context.answer
