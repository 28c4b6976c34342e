"""Steps that send requests through a fleet of real processes."""

import asyncio
import json
import signal
from random import Random

from behave import given, then, when
from callers import ask, complete_chat, make_chats, make_text, stream_answer
from fleets import read_metrics, run_fleet
from plans import one_place_plan
from processes import end_process

from pulley_base import ConnectionLost
from pulley_http import Client, close_client, find_header, read_all, send_request
from pulley_standins.texts import (
    answer_seed,
    answer_tokens,
    natural_length_tokens,
    render_prompt,
)

SEED = 7
TIMEOUT_S = 60
TARGET = "/v1/chat/completions"
HEADERS = [(b"content-type", b"application/json"), (b"pulley-team", b"sportello")]
INVALID_DATA = (
    b"GET / HTTP/1.1\r\n\r\n",
    b"\xff\xff\xff\xff",
    b"\0\0\0\x08\x3c\x18\xff\xff\xff\xff\x07a",
)


def make_stream_body(**fields) -> bytes:
    messages = [{"role": "user", "content": "the ash is split"}]
    return json.dumps({"messages": messages, "stream": True, **fields}).encode()


def find_expected_text(messages: list[dict]) -> str:
    """Return the text that the stand-in engine generates for a prompt."""
    seed = answer_seed(render_prompt(messages))
    tokens = answer_tokens(seed)
    return "".join(next(tokens) for _number in range(natural_length_tokens(seed)))


def run_on_fleet(context, work):
    """Start the scenario's fleet, await ``work(fleet)`` and stop the fleet.

    Raises TimeoutError if all of it takes longer than twice ``TIMEOUT_S``.
    """

    async def run():
        async with asyncio.timeout(TIMEOUT_S * 2), run_fleet(context.plan) as fleet:
            await work(fleet)

    asyncio.run(run())


@given("a fleet of {n:d} engines")
def plan_fleet(context, n):
    flags = {"slots": 64, "decode_ms": 5, "report_lag_ms": 0}
    context.plan = one_place_plan(
        n, engine_flags=flags, agent_flags={"slots": 64, "capacity": 40_000}
    )


@when("{n:d} callers stream answers at once")
def stream_at_once(context, n):
    random = Random(SEED)
    context.chats = list(make_chats(random, n, ["sportello"]))
    context.expected = []
    for chat in context.chats:
        ask(chat, make_text(random, 30))
        context.expected.append(find_expected_text(chat.messages))

    async def work(fleet):
        client = Client(max_idle=n)
        address = fleet.routers[0].address
        context.answers = await asyncio.gather(
            *(complete_chat(client, address, "/consiglio", c) for c in context.chats)
        )
        close_client(client)

    run_on_fleet(context, work)


@then("every caller got the complete answer to its own question")
def check_own_answers(context):
    for answer, text in zip(context.answers, context.expected, strict=True):
        assert answer.complete, (answer.status, answer.reason, answer.error)
        assert answer.text == text


@when("the same streaming request goes to the engine and to the router")
def send_direct_and_routed(context):
    async def fetch_from(address, target):
        client = Client()
        response = await send_request(
            client, address, "POST", target, headers=HEADERS, body=make_stream_body()
        )
        response.body = await read_all(response.body)
        close_client(client)
        return response

    async def work(fleet):
        context.direct = await fetch_from(fleet.endpoints[0].engine.address, TARGET)
        context.routed = await fetch_from(
            fleet.routers[0].address, "/consiglio" + TARGET
        )

    run_on_fleet(context, work)


@then("both answers have the same status, type and bytes")
def check_same_bytes(context):
    direct, routed = context.direct, context.routed
    assert (direct.status, routed.status) == (200, 200)
    content_types = [find_header(r.headers, b"content-type") for r in (direct, routed)]
    assert content_types[0] == content_types[1] == b"text/event-stream; charset=utf-8"
    assert routed.body == direct.body
    assert direct.body.endswith(b"data: [DONE]\n\n")


@when("a caller disconnects in the middle of a stream")
def disconnect_caller(context):
    async def work(fleet):
        body = make_stream_body(max_tokens=100_000, ignore_eos=True)
        client = Client()
        response = await send_request(
            client,
            fleet.routers[0].address,
            "POST",
            "/consiglio" + TARGET,
            headers=HEADERS,
            body=body,
        )
        await anext(response.body)
        await response.body.aclose()
        engine = fleet.endpoints[0].engine.address
        async with asyncio.timeout(TIMEOUT_S):
            context.metrics = await read_metrics(fleet, engine)
            while context.metrics["vllm:num_requests_running"] > 0:
                await asyncio.sleep(0.05)
                context.metrics = await read_metrics(fleet, engine)

    run_on_fleet(context, work)


@then("the engine runs no request and has cancelled {n:d}")
def check_cancelled(context, n):
    assert context.metrics["vllm:num_requests_running"] == 0
    assert context.metrics["vllm:request_cancelled_total"] == n


@when("the engine is killed in the middle of a stream")
def kill_engine(context):
    async def work(fleet):
        response = await send_request(
            Client(),
            fleet.routers[0].address,
            "POST",
            "/consiglio" + TARGET,
            headers=HEADERS,
            body=make_stream_body(max_tokens=100_000, ignore_eos=True),
        )
        context.received = await anext(response.body)
        await end_process(fleet.endpoints[0].engine, signal.SIGKILL)
        context.error = None
        try:
            async for piece in response.body:
                context.received += piece
        except ConnectionLost as error:
            context.error = error

    run_on_fleet(context, work)


@then("the caller gets an error event and an unfinished body")
def check_error(context):
    assert context.error is not None, "the body ended as if it were complete"
    assert b"\n\nevent: error\ndata: " in context.received
    assert b"[DONE]" not in context.received


@when("invalid data is sent to the peer ports of the router and the agent")
def send_invalid_data(context):
    async def work(fleet):
        addresses = [fleet.routers[0].addresses["peer"]]
        addresses += [fleet.endpoints[0].agent.address]
        context.connection_states = [
            await send_until_closed(address, data)
            for address in addresses
            for data in INVALID_DATA
        ]
        client = Client()
        context.answer = await stream_answer(
            client,
            fleet.routers[0].address,
            "/consiglio" + TARGET,
            HEADERS,
            make_stream_body(),
        )
        close_client(client)

    run_on_fleet(context, work)


async def send_until_closed(address: str, data: bytes) -> str:
    """Send data and wait until the peer closes the connection.

    Returns "closed", or "open" if it is still open after ``TIMEOUT_S``.
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while await reader.read(1_000):
                pass
    except ConnectionResetError:
        pass
    except TimeoutError:
        return "open"
    finally:
        writer.close()
    return "closed"


@then("those connections are closed and a request still gets a complete answer")
def check_closed(context):
    assert context.connection_states == ["closed"] * len(context.connection_states)
    assert context.answer.complete, context.answer
