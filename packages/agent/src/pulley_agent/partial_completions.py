"""Completions that can be paused: their request, and the answer of the engine so far.

The engine continues a paused completion from its text so far; the events of a later
part are rewritten, so that the caller sees one answer.
"""

import json
from dataclasses import dataclass, field

from pulley_policy.admission import BATCH_PRIORITY
from pulley_wire.messages import Open

MAX_PAUSES = 4
# A completion with fewer tokens left is not paused.
MIN_TOKENS_LEFT = 8
SSE_DATA_PREFIX = b"data: "
SSE_DONE = b"[DONE]"
TOKEN_LIMIT_FIELDS = ("max_tokens", "max_completion_tokens")
NON_RESUMABLE_FIELDS = frozenset(
    {"tools", "functions", "response_format", "logprobs", "min_tokens", "stop"}
)


@dataclass(slots=True)
class PartialCompletion:
    """A completion's request and the answer of the engine so far.

    ``max_tokens`` is the smallest token limit of the request. ``n_tokens`` counts
    the events with text, as one token each, ``n_tokens_before`` those that came before
    the current part. ``ending`` is True once the answer is about to end.
    """

    document: dict
    max_tokens: int
    text_parts: list[str] = field(default_factory=list)
    n_tokens: int = 0
    n_tokens_before: int = 0
    n_pauses: int = 0
    id: str = ""
    ending: bool = False

    @property
    def can_pause_more(self) -> bool:
        """Whether the completion may be paused once more.

        It may not if its answer is about to end, after ``MAX_PAUSES`` pauses, or with
        fewer than ``MIN_TOKENS_LEFT`` tokens left.
        """
        n_left = self.max_tokens - self.n_tokens
        return (
            not self.ending and self.n_pauses < MAX_PAUSES and n_left >= MIN_TOKENS_LEFT
        )


def parse_pausable(opened: Open) -> PartialCompletion | None:
    """Return the state of a completion that may be paused; None for any other.

    The request must have batch priority, be idempotent, have no idempotency key, have
    arrived with its whole body, and go to a path that ends with ``/chat/completions``.
    Its body must be a JSON object that asks for one streamed choice, has a list of
    messages, does not continue a final message itself, has at least one token limit,
    all of them integers, and none of ``NON_RESUMABLE_FIELDS``.
    """
    if opened.priority != BATCH_PRIORITY or not opened.idempotent:
        return None
    if opened.key is not None or not opened.body_complete:
        return None
    if not opened.target.partition("?")[0].endswith("/chat/completions"):
        return None
    try:
        document = json.loads(opened.body or b"")
    except ValueError:
        return None
    if not isinstance(document, dict) or NON_RESUMABLE_FIELDS & document.keys():
        return None
    limits = [document[name] for name in TOKEN_LIMIT_FIELDS if name in document]
    messages = document.get("messages")
    if document.get("stream") is not True or document.get("n", 1) != 1:
        return None
    if not limits or not all(isinstance(limit, int) for limit in limits):
        return None
    if not isinstance(messages, list) or document.get("continue_final_message"):
        return None
    return PartialCompletion(document, min(limits))


def build_body(partial: PartialCompletion) -> bytes:
    """Build the request body for the next part, starting from the text so far."""
    document = dict(partial.document)
    document["priority"] = BATCH_PRIORITY
    if partial.text_parts:
        answer_so_far = {"role": "assistant", "content": "".join(partial.text_parts)}
        document["messages"] = [*document["messages"], answer_so_far]
        document["continue_final_message"] = True
        document["add_generation_prompt"] = False
        for name in TOKEN_LIMIT_FIELDS:
            if name in document:
                document[name] -= partial.n_tokens
    return json.dumps(document).encode()


def rewrite_event(partial: PartialCompletion, event: bytes) -> bytes:
    """Record one event and return it.

    An event of a later part is rewritten to match the first part.
    """
    data = event.removeprefix(SSE_DATA_PREFIX)
    if not event.startswith(SSE_DATA_PREFIX) or data == SSE_DONE:
        partial.ending = partial.ending or data == SSE_DONE
        return event
    try:
        document = json.loads(data)
    except ValueError:
        return event
    record_choices(partial, document)
    partial.id = partial.id or document.get("id", "")
    if not partial.n_tokens_before:
        return event
    continue_event(partial, document)
    return SSE_DATA_PREFIX + json.dumps(document, separators=(",", ":")).encode()


def record_choices(partial: PartialCompletion, document: dict) -> None:
    """Store the text of an event, and whether the answer is about to end."""
    for choice in document.get("choices", ()):
        content = choice.get("delta", {}).get("content")
        if content:
            partial.text_parts.append(content)
            partial.n_tokens += 1
        if choice.get("finish_reason"):
            partial.ending = True


def continue_event(partial: PartialCompletion, document: dict) -> None:
    """Rewrite a later part's event in place to continue the first part.

    Sets the first part's id and removes the role. The usage becomes that of the whole
    answer: the tokens of earlier parts are moved from the prompt to the completion, and
    the cached tokens are reduced to at most one less than the prompt.
    """
    document["id"] = partial.id
    for choice in document.get("choices", ()):
        choice.get("delta", {}).pop("role", None)
    usage = document.get("usage")
    if usage:
        usage["prompt_tokens"] -= partial.n_tokens_before
        usage["completion_tokens"] += partial.n_tokens_before
        details = usage.get("prompt_tokens_details") or {}
        if "cached_tokens" in details:
            n_cached = min(details["cached_tokens"], usage["prompt_tokens"] - 1)
            details["cached_tokens"] = max(0, n_cached)
