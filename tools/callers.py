"""Seeded callers that send returning chats and plain requests and check answers."""

import asyncio
import json
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import aclosing
from dataclasses import dataclass, field
from random import Random

from pulley_base import PulleyError
from pulley_http import Client, Response, fetch, find_header, send_request

COMPLETIONS_PATH = "/v1/chat/completions"
END_OF_STREAM_EVENT = b"data: [DONE]\n\n"
EVENT_PREFIX = b"data: "
WORDS = "handle hoe ash olive spade saw glue tin shelf joint label price".split()
ANSWER_TIMEOUT_MS = 120_000


@dataclass(slots=True)
class Chat:
    """A chat: its name, its team and its messages so far."""

    name: str
    team: str
    messages: list[dict] = field(default_factory=list)


@dataclass(slots=True)
class Answer:
    """The result of one request; ``complete`` is True only for a complete answer.

    ``ttft_us`` is in microseconds since the request was sent; ``gaps_us`` are the
    intervals between token arrivals, in microseconds.
    """

    status: int = 0
    complete: bool = False
    reason: str = ""
    outcome: str = ""
    error: str = ""
    ttft_us: int = 0
    gaps_us: list[int] = field(default_factory=list)
    n_tokens: int = 0
    n_prompt_tokens: int = 0
    n_cached_tokens: int = 0
    n_answer_tokens: int = 0
    text: str = ""
    body: bytes = b""
    engine: str = ""
    retry_after_s: float = 0.0


def make_text(random: Random, n_words: int) -> str:
    """Return ``n_words`` random words, joined by spaces, as a customer's question."""
    return " ".join(random.choices(WORDS, k=n_words))


def make_chats(random: Random, n_chats: int, teams: list[str]) -> Iterator[Chat]:
    """Yield ``n_chats`` chats without messages, each of a randomly chosen team."""
    for _number in range(n_chats):
        yield Chat(f"chat-{random.getrandbits(64):016x}", random.choice(teams))


def ask(chat: Chat, question: str) -> None:
    """Append the user's next message to a chat."""
    chat.messages.append({"role": "user", "content": question})


def make_chat_headers(chat: Chat) -> list[tuple[bytes, bytes]]:
    """Return the request headers that identify a chat and its team."""
    return [
        (b"content-type", b"application/json"),
        (b"pulley-team", chat.team.encode()),
        (b"pulley-chat", chat.name.encode()),
    ]


def ignore_token_count(n_tokens: int) -> None:
    """Do nothing; the default token callback."""


async def complete_chat(
    client: Client,
    address: str,
    prefix: str,
    chat: Chat,
    on_tokens: Callable[[int], None] = ignore_token_count,
    **fields,
) -> Answer:
    """Stream the chat's next answer and append it as the assistant's message.

    ``prefix`` is ``"/consiglio"`` at a router and empty at an engine;
    ``on_tokens`` is called with the number of tokens in each chunk as it arrives;
    ``fields`` are added to the request (``max_tokens``, ``ignore_eos``,
    ``priority``). A partial answer is not appended.
    """
    document = {
        "model": "standin",
        "messages": chat.messages,
        "stream": True,
        "stream_options": {"include_usage": True},
        **fields,
    }
    body = json.dumps(document).encode()
    answer = await stream_answer(
        client,
        address,
        prefix + COMPLETIONS_PATH,
        make_chat_headers(chat),
        body,
        on_tokens,
    )
    if answer.complete:
        chat.messages.append({"role": "assistant", "content": answer.text})
    return answer


async def stream_answer(
    client: Client,
    address: str,
    target: str,
    headers,
    body: bytes,
    on_tokens: Callable[[int], None] = ignore_token_count,
) -> Answer:
    """POST a streaming completion and return its answer; never raises PulleyError."""
    answer = Answer()
    started_ns = time.perf_counter_ns()
    try:
        response = await send_request(
            client, address, "POST", target, headers=headers, body=body
        )
        note_head(answer, response)
        async with aclosing(response.body) as body_chunks:
            await read_events(answer, body_chunks, started_ns, on_tokens)
    except PulleyError as error:
        answer.error = str(error)
        answer.complete = False
    read_usage(answer)
    return answer


def note_head(answer: Answer, response: Response) -> None:
    """Copy the status, reason, outcome, engine and Retry-After from the response."""
    answer.status = response.status
    headers = response.headers
    answer.reason = (find_header(headers, b"pulley-reason") or b"").decode()
    answer.outcome = (find_header(headers, b"pulley-outcome") or b"").decode()
    answer.engine = (find_header(headers, b"standin-engine") or b"").decode()
    retry_after = find_header(headers, b"retry-after") or b""
    answer.retry_after_s = float(retry_after) if retry_after.isdigit() else 0.0


async def read_events(
    answer: Answer,
    body_chunks: AsyncIterator[bytes],
    started_ns: int,
    on_tokens: Callable[[int], None],
) -> None:
    """Read the stream's body and record when each token arrived."""
    received = []
    last_ns = 0
    try:
        async for body_chunk in body_chunks:
            received.append(body_chunk)
            now_ns = time.perf_counter_ns()
            n_tokens = body_chunk.count(b'"content":')
            if not n_tokens:
                continue
            if last_ns == 0:
                answer.ttft_us = (now_ns - started_ns) // 1_000
            else:
                answer.gaps_us.append((now_ns - last_ns) // 1_000)
            last_ns = now_ns
            answer.n_tokens += n_tokens
            on_tokens(n_tokens)
    finally:
        answer.body = b"".join(received)
    is_complete_stream = (
        answer.body.endswith(END_OF_STREAM_EVENT) and b"event: error" not in answer.body
    )
    answer.complete = answer.status == 200 and is_complete_stream


def read_usage(answer: Answer) -> None:
    """Parse the text and token usage of a complete stream; skip a partial one."""
    if not answer.complete:
        return
    texts = []
    for event in answer.body.split(b"\n\n")[:-2]:
        chunk = json.loads(event.removeprefix(EVENT_PREFIX))
        for choice in chunk["choices"]:
            texts.append(choice["delta"].get("content", ""))
        usage = chunk.get("usage")
        if usage:
            answer.n_prompt_tokens = usage["prompt_tokens"]
            answer.n_answer_tokens = usage["completion_tokens"]
            details = usage["prompt_tokens_details"]
            answer.n_cached_tokens = details["cached_tokens"]
    answer.text = "".join(texts)


async def post_once(
    client: Client, address: str, target: str, team: str, key: str, document: dict
) -> Answer:
    """POST a non-idempotent request with an Idempotency-Key."""
    headers = [
        (b"content-type", b"application/json"),
        (b"pulley-team", team.encode()),
        (b"idempotency-key", key.encode()),
    ]
    return await call_service(
        client, address, "POST", target, headers, json.dumps(document).encode()
    )


async def look_up(client: Client, address: str, target: str, team: str) -> Answer:
    """GET ``target`` from a plain service; the request has no side effects."""
    headers = [(b"pulley-team", team.encode())]
    return await call_service(client, address, "GET", target, headers, b"")


async def call_service(client, address, method, target, headers, body) -> Answer:
    """Send one request and return its answer; never raises PulleyError.

    Here ``ttft_us`` is the time until the whole answer arrived.
    """
    answer = Answer()
    started_ns = time.perf_counter_ns()
    try:
        response = await fetch(
            client,
            address,
            method,
            target,
            headers=headers,
            body=body,
            timeout_ms=ANSWER_TIMEOUT_MS,
        )
        note_head(answer, response)
        answer.body = response.body
        answer.complete = 200 <= response.status < 300
    except PulleyError as error:
        answer.error = str(error)
    answer.ttft_us = (time.perf_counter_ns() - started_ns) // 1_000
    return answer


async def sleep_until(start_s: float, offset_s: float) -> None:
    """Sleep until ``offset_s`` after ``start_s``, a ``time.monotonic`` reading."""
    await asyncio.sleep(max(0.0, start_s + offset_s - time.monotonic()))
