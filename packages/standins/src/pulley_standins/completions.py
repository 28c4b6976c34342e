"""OpenAI chat completions: validate the request and encode the response."""

import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from itertools import islice

from pydantic import BaseModel, ConfigDict, Field

from .batches import Batch, Job, generate
from .caches import CHARACTERS_PER_TOKEN, count_tokens
from .texts import (
    answer_seed,
    answer_tokens,
    message_text,
    natural_length_tokens,
    render_prompt,
)

CREATED_S = 1_700_000_000


class StreamOptions(BaseModel):
    """Options of a stream, as in the OpenAI API."""

    include_usage: bool = False


class CompletionRequest(BaseModel):
    """The fields of a chat completion request that this engine supports.

    Other fields are ignored.
    """

    model_config = ConfigDict(extra="ignore")

    model: str = "standin"
    messages: list[dict] = Field(min_length=1)
    stream: bool = False
    stream_options: StreamOptions = StreamOptions()
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)
    priority: int = 0
    ignore_eos: bool = False
    continue_final_message: bool = False


@dataclass(slots=True)
class Completion:
    """A completion in progress: its job and the metadata of its response."""

    job: Job
    id: str
    model: str
    ends_at_limit: bool
    include_usage: bool


def open_completion(request: CompletionRequest, chat: str) -> Completion:
    """Build the completion for a request of ``chat``, which may be empty.

    With ``continue_final_message`` the last message is the assistant's partial
    answer, and the tokens are those that follow it.
    """
    messages = request.messages
    partial = ""
    if request.continue_final_message and messages[-1].get("role") == "assistant":
        partial = message_text(messages[-1])
        messages = messages[:-1]
    prompt = render_prompt(messages)
    seed = answer_seed(prompt)
    n_done_tokens, n_partial_characters = divmod(len(partial), CHARACTERS_PER_TOKEN)
    max_tokens = request.max_completion_tokens or request.max_tokens
    n_natural_tokens = max(1, natural_length_tokens(seed) - n_done_tokens)
    n_tokens_to_decode = (
        max_tokens
        if max_tokens and request.ignore_eos
        else min(n_natural_tokens, max_tokens or 10**6)
    )
    tokens = answer_tokens(seed, n_done_tokens)
    if n_partial_characters:
        tokens = trim_first_token(tokens, n_partial_characters)
    job = Job(chat, prompt + partial, tokens, n_tokens_to_decode, request.priority)
    return Completion(
        job,
        f"chatcmpl-{seed.hex()}",
        request.model,
        n_tokens_to_decode < n_natural_tokens or request.ignore_eos,
        request.stream_options.include_usage,
    )


def trim_first_token(tokens, n_characters: int):
    """Yield tokens; drop the first ``n_characters`` of the first one."""
    for token in islice(tokens, 1):
        yield token[n_characters:]
    yield from tokens


def usage_document(job: Job) -> dict:
    """Return the ``usage`` object of a finished job."""
    n_prompt_tokens = count_tokens(job.prompt)
    return {
        "prompt_tokens": n_prompt_tokens,
        "completion_tokens": len(job.generated),
        "total_tokens": n_prompt_tokens + len(job.generated),
        "prompt_tokens_details": {"cached_tokens": job.n_cached_tokens},
    }


def finish_reason(completion: Completion) -> str:
    """Return why the answer ended: ``length`` or ``stop``."""
    return "length" if completion.ends_at_limit else "stop"


def encode_event(completion: Completion, choices: list, **extra) -> bytes:
    """Return one server-sent event of a stream; ``extra`` adds fields to it."""
    chunk = {
        "id": completion.id,
        "object": "chat.completion.chunk",
        "created": CREATED_S,
        "model": completion.model,
        "choices": choices,
        **extra,
    }
    return b"data: " + json.dumps(chunk, separators=(",", ":")).encode() + b"\n\n"


def delta_choice(delta: dict, reason: str | None = None) -> list[dict]:
    """Return the ``choices`` of one chunk."""
    return [{"index": 0, "delta": delta, "finish_reason": reason}]


async def stream_events(batch: Batch, completion: Completion) -> AsyncIterator[bytes]:
    """Yield the answer as server-sent events, the last of them ``[DONE]``."""
    role = {"role": "assistant"}
    tokens = generate(batch, completion.job)
    try:
        async for token in tokens:
            yield encode_event(completion, delta_choice({**role, "content": token}))
            role = {}
    finally:
        await tokens.aclose()
    yield encode_event(completion, delta_choice({}, finish_reason(completion)))
    if completion.include_usage:
        yield encode_event(completion, [], usage=usage_document(completion.job))
    yield b"data: [DONE]\n\n"


async def complete(batch: Batch, completion: Completion) -> bytes:
    """Return the whole answer as one JSON document."""
    tokens = generate(batch, completion.job)
    try:
        content = "".join([token async for token in tokens])
    finally:
        await tokens.aclose()
    document = {
        "id": completion.id,
        "object": "chat.completion",
        "created": CREATED_S,
        "model": completion.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": finish_reason(completion),
            }
        ],
        "usage": usage_document(completion.job),
    }
    return json.dumps(document, separators=(",", ":")).encode()
