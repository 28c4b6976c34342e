"""Steps for the engine stand-in, which runs in this process on the loopback."""

import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import dataclass

from behave import then, when

from pulley_http import Client, close_client, fetch, send_request, start_server
from pulley_standins.batches import run_batch
from pulley_standins.engines import (
    Engine,
    EngineSettings,
    build_engine,
    handle_request,
)

FAST_SETTINGS = {"decode_ms": 1, "prefill_tokens_per_s": 10_000_000, "report_lag_ms": 0}
TEST_TIMEOUT_S = 60
PATH = "/v1/chat/completions"


@dataclass
class RunningEngine:
    """A running engine, a client for it, and the engine's address."""

    engine: Engine
    client: Client
    address: str


@asynccontextmanager
async def running_engine(**settings):
    engine = build_engine(EngineSettings(**{**FAST_SETTINGS, **settings}))
    task = asyncio.create_task(run_batch(engine.batch))
    server = await start_server(
        lambda request: handle_request(engine, request), "127.0.0.1", 0
    )
    client = Client()
    try:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            yield RunningEngine(engine, client, server.address)
    finally:
        close_client(client)
        server.listener.close()
        task.cancel()


async def request_completion(running, messages, chat="", **fields) -> bytes:
    """Request a completion of ``messages`` and return the response's body."""
    headers = [(b"pulley-chat", chat.encode())] if chat else []
    body = json.dumps({"messages": messages, **fields}).encode()
    answer = await fetch(
        running.client, running.address, "POST", PATH, headers=headers, body=body
    )
    return answer.body


def user_message(text: str) -> list[dict]:
    return [{"role": "user", "content": text}]


def parse_content(answer: bytes) -> str:
    return json.loads(answer)["choices"][0]["message"]["content"]


def parse_cached_tokens(answer: bytes) -> int:
    return json.loads(answer)["usage"]["prompt_tokens_details"]["cached_tokens"]


def split_events(stream: bytes) -> list[bytes]:
    return [event.removeprefix(b"data: ") for event in stream.split(b"\n\n") if event]


@when('the prompt "{prompt}" is completed as one document and as a stream')
def complete_both_ways(context, prompt):
    async def run():
        async with running_engine() as running:
            whole = await request_completion(running, user_message(prompt))
            options = {"include_usage": True}
            stream = await request_completion(
                running, user_message(prompt), stream=True, stream_options=options
            )
            return whole, stream

    context.whole, context.stream = asyncio.run(run())


@then("both answers contain the same text")
def check_same_text(context):
    chunks = [json.loads(event) for event in split_events(context.stream)[:-1]]
    deltas = [c["choices"][0]["delta"] for c in chunks if c["choices"]]
    streamed = "".join(delta.get("content", "") for delta in deltas)
    assert streamed and streamed == parse_content(context.whole)


@then('the stream ends with its token usage and "[DONE]"')
def check_stream_end(context):
    usage, done = split_events(context.stream)[-2:]
    assert done == b"[DONE]"
    assert json.loads(usage)["usage"]["completion_tokens"] > 0


@when("a chat of {n:d} tokens returns with {n_more:d} more")
def complete_two_turns(context, n, n_more):
    async def run():
        async with running_engine() as running:
            first = user_message("four" * n)
            answer = parse_content(await request_completion(running, first))
            turns = [
                {"role": "assistant", "content": answer},
                *user_message("more" * n_more),
            ]
            context.answer = await request_completion(running, first + turns)

    asyncio.run(run())


@then("at least {n:d} tokens of the second turn's prompt are cached")
def check_cached_tokens(context, n):
    assert parse_cached_tokens(context.answer) >= n, parse_cached_tokens(context.answer)


@when(
    "{n:d} chats of {n_tokens:d} tokens are completed "
    "with a cache of {cache_tokens:d} tokens"
)
def complete_chats(context, n, n_tokens, cache_tokens):
    async def run():
        async with running_engine(cache_tokens=cache_tokens) as running:
            for number in range(n):
                await request_completion(
                    running, user_message(f"{number:04}" * n_tokens), max_tokens=1
                )
            context.answer = await request_completion(
                running, user_message("0000" * n_tokens), max_tokens=1
            )

    asyncio.run(run())


@then("no token of the first chat's next turn is cached")
def check_nothing_cached(context):
    assert parse_cached_tokens(context.answer) == 0


@when("requests of priority 2, 2 and 0 arrive at an engine whose one slot is busy")
def complete_by_priority(context):
    context.order = []

    async def complete_and_record(running, name, priority):
        await request_completion(
            running, user_message(name), priority=priority, max_tokens=2
        )
        context.order.append(name)

    async def run():
        async with running_engine(slots=1) as running:
            busy = asyncio.create_task(complete_and_record(running, "busy", 0))
            while not running.engine.batch.running:
                await asyncio.sleep(0)
            running.engine.batch.responsive.clear()
            rest = [
                asyncio.create_task(complete_and_record(running, n, 2))
                for n in ("a", "b")
            ]
            rest.append(asyncio.create_task(complete_and_record(running, "first", 0)))
            running.engine.batch.responsive.set()
            while len(running.engine.batch.waiting) < 3:
                running.engine.batch.running[0].n_tokens_to_decode = 10**6
                await asyncio.sleep(0.001)
            running.engine.batch.running[0].n_tokens_to_decode = 1
            await asyncio.gather(busy, *rest)

    asyncio.run(run())


@then("the request of priority 0 is answered first")
def check_priority_order(context):
    assert context.order[:2] == ["busy", "first"], context.order


@when("a caller closes the connection during a long stream")
def close_during_stream(context):
    async def run():
        async with running_engine() as running:
            fields = {"stream": True, "max_tokens": 10**6, "ignore_eos": True}
            body = json.dumps({"messages": user_message("long"), **fields}).encode()
            answer = await send_request(
                running.client, running.address, "POST", PATH, body=body
            )
            await anext(answer.body)
            await answer.body.aclose()
            batch = running.engine.batch
            while batch.running:
                await asyncio.sleep(0.01)
            context.batch = batch

    asyncio.run(run())


@then("the engine runs no job and counts {n:d} cancelled")
def check_cancelled(context, n):
    assert context.batch.running == [] and context.batch.n_cancelled == n


@when("an answer is cut after {n:d} characters and continued from there")
def cut_and_continue(context, n):
    async def run():
        async with running_engine() as running:
            context.whole = parse_content(
                await request_completion(running, user_message("q"))
            )
            context.part = context.whole[:n]
            turns = [*user_message("q"), {"role": "assistant", "content": context.part}]
            context.rest = parse_content(
                await request_completion(running, turns, continue_final_message=True)
            )

    asyncio.run(run())


@then("the two parts add up to the whole answer")
def check_parts(context):
    assert context.part + context.rest == context.whole


@when("a chat's cached blocks are exported from one engine and imported into another")
def export_import(context):
    async def run():
        async with running_engine() as old, running_engine() as new:
            await request_completion(
                old, user_message("four" * 200), chat="c1", max_tokens=1
            )
            target = "/kv/export?chat=c1"
            exported = await fetch(old.client, old.address, "GET", target)
            await fetch(
                new.client, new.address, "POST", "/kv/import", body=exported.body
            )
            context.answer = await request_completion(
                new, user_message("four" * 200), chat="c1"
            )

    asyncio.run(run())


@then("the prefix of the chat's next turn is cached in the second engine")
def check_prefix_cached(context):
    assert parse_cached_tokens(context.answer) >= 180


@when("orders with fencing numbers 5 and 4 are sent to an engine that {manner} them")
def send_orders(context, manner):
    async def run():
        async with running_engine(fencing=manner == "checks") as running:
            for number in (b"5", b"4"):
                context.answer = await fetch(
                    running.client,
                    running.address,
                    "POST",
                    "/orders",
                    headers=[(b"fencing-number", number)],
                    body=b'{"load": "m"}',
                )

    asyncio.run(run())


@then("the second answer has status {status:d}")
def check_second_status(context, status):
    assert context.answer.status == status
