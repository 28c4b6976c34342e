"""Steps with completions that the engine does not continue after a pause."""

import asyncio
import json
from unittest.mock import patch

from behave import then, when
from pauses import has_not_crashed, make_grant, make_open

from pulley_agent import pauses
from pulley_agent.answers import Answer
from pulley_agent.engines import Engine
from pulley_http import Client

LIMIT_S = 5
LIMIT_BYTES = 10_000
EVENT = (
    b"data: "
    + json.dumps({"id": "1", "choices": [{"delta": {"content": "ash"}}]}).encode()
    + b"\n\n"
)
FIRST_HEAD = (
    b"HTTP/1.1 200 x\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
ERROR = b'{"error": "out of memory"}'


def encode_answer(status: int, media_type: str, body: bytes) -> bytes:
    """Return a whole answer with a length."""
    lines = [
        f"HTTP/1.1 {status} x",
        f"content-type: {media_type}",
        f"content-length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


NEXT_PARTS = {
    "an error": encode_answer(500, "application/json", ERROR),
    "a success with an error's text": encode_answer(200, "application/json", ERROR),
    "a success with no body": encode_answer(200, "application/json", b""),
    "a part of an event": encode_answer(200, "text/event-stream", EVENT[:-9]),
}


@when("a completion is paused and the engine's next part is {next_part}")
def pause_and_fail(context, next_part):
    async def run():
        parts = [
            FIRST_HEAD + b"%x\r\n%s\r\n" % (len(EVENT), EVENT),
            NEXT_PARTS[next_part],
        ]

        async def answer_part(reader, writer):
            await reader.read(LIMIT_BYTES)
            writer.write(parts.pop(0))
            await writer.drain()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer_part, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        engine = Engine(Client(), f"{host}:{port}", has_not_crashed)
        opened = make_open()
        grant, context.answer = make_grant(opened), Answer(LIMIT_BYTES)
        context.answer.watchers.add(
            lambda: context.answer.held and grant.pause_requested.set()
        )
        await asyncio.wait_for(
            pauses.run_pausable(engine, opened, grant, context.answer, ignore_failure),
            LIMIT_S,
        )
        server.close()

    with patch.object(pauses, "wait_to_resume", resume_at_once):
        asyncio.run(run())


async def ignore_failure(failure):
    """Report no failure."""


async def resume_at_once(grant):
    """Resume a paused completion without a wait for a slot."""
    grant.partial.n_pauses += 1
    grant.pause_requested.clear()


@then("the answer has the events of the first part alone, and it has failed")
def check_failed(context):
    answer = context.answer
    assert answer.failure is not None and not answer.complete, answer
    assert bytes(answer.held) == EVENT, answer
