"""The engine beside the agent: one HTTP request for each attempt."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass

from pulley_base import (
    ConnectionLost,
    Outcome,
    PulleyError,
    Reason,
    TimedOut,
)
from pulley_http import (
    Client,
    Headers,
    RequestRefused,
    Response,
    drop_hop_by_hop_headers,
    find_header,
    send_request,
    shows_its_end,
)
from pulley_http.models import BODILESS_STATUSES
from pulley_wire.messages import Failed, Head, Header, Open

from .answers import Answer, append_bytes, finish_answer, start_answer

UNKNOWN_LENGTH = -1
STALL_MS = 30_000
CHAT_HEADER = b"pulley-chat-digest"
COMPLETION_PATHS = ("/chat/completions", "/v1/completions")

BeforeFailure = Callable[[Failed], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Engine:
    """The engine beside the agent, and how to find out whether it has crashed."""

    client: Client
    address: str
    has_crashed: Callable[[], Awaitable[bool]]


async def run_on_engine(
    engine: Engine,
    opened: Open,
    body: bytes | AsyncIterator[bytes],
    answer: Answer,
    on_piece: Callable[[bytes], None],
    before_failure: BeforeFailure,
    stall_timeout_ms: int = STALL_MS,
    extra_headers: Headers = (),
) -> None:
    """Send the request to the engine and hold its answer as it arrives.

    ``on_piece`` is called with each piece of the answer. Raises RequestRefused if
    there was no connection to the engine, so that nothing was sent. Any other error
    becomes the answer's failure, after ``before_failure`` has been called with it. An
    engine that sends nothing for ``stall_timeout_ms`` in the middle of an answer has
    failed. ``extra_headers`` are sent with the request.
    """
    if isinstance(body, bytes) and opened.target.partition("?")[0].endswith(
        COMPLETION_PATHS
    ):
        body = set_priority(body, opened.priority or 0)
    try:
        response = await send_request(
            engine.client,
            engine.address,
            opened.method,
            opened.target,
            headers=[*engine_headers(opened), *extra_headers],
            body=body,
            stall_timeout_ms=stall_timeout_ms,
        )
        start_answer(answer, make_answer_head(opened, response))
        async with aclosing(response.body) as pieces:
            async for piece in pieces:
                on_piece(piece)
                await append_bytes(answer, piece)
        await check_end(engine, opened, response)
        finish_answer(answer)
    except PulleyError as error:
        await fail_answer(opened, answer, error, before_failure)


async def check_end(engine: Engine, opened: Open, response: Response) -> None:
    """Check that the engine lives on after an answer that ended with its connection.

    The connections of an engine that crashes end in the same way. Raises ConnectionLost
    if it has crashed.
    """
    if shows_its_end(opened.method, response.status, response.headers):
        return
    if await engine.has_crashed():
        raise ConnectionLost(
            "closed without its end, and the engine has crashed",
            step="body",
            peer=engine.address,
        )


def engine_headers(opened: Open) -> Headers:
    """Return the headers for the engine, including the digest of the chat."""
    headers = [(header.name, header.value) for header in opened.headers or ()]
    if opened.chat:
        headers.append((CHAT_HEADER, opened.chat.hex().encode()))
    return headers


def set_priority(body: bytes, priority: int) -> bytes:
    """Append the priority class to a completion's body, in the field the engine reads.

    It goes last, where it overrides one that the caller wrote.

    >>> set_priority(b'{"model": "m"}', 2)
    b'{"model": "m","priority":2}'
    """
    document = body.rstrip()
    if not document.startswith(b"{") or not document.endswith(b"}"):
        return body
    if document[1:-1].strip() == b"":
        return body
    return document[:-1] + b',"priority":%d}' % priority


async def fail_answer(
    opened: Open, answer: Answer, error: PulleyError, before_failure: BeforeFailure
) -> None:
    """Make ``error`` the answer's failure, after calling ``before_failure`` with it.

    Raises RequestRefused if the engine accepted no connection and nothing has been
    sent to it yet.
    """
    if error.step == "connect" and answer.head is None:
        raise make_unreachable_refusal(error) from error
    failure = failure_for(opened, answer, error)
    await before_failure(failure)
    finish_answer(answer, failure)


def make_unreachable_refusal(error: PulleyError) -> RequestRefused:
    """Build the refusal for an engine that accepted no connection.

    Nothing was sent to the engine.
    """
    return RequestRefused(
        503,
        Reason.ENGINE_UNREACHABLE,
        str(error),
        retry_after_ms=1_000,
        step="engine",
    )


def make_answer_head(opened: Open, response: Response) -> Head:
    """Build the answer's head as the router receives it."""
    length = find_header(response.headers, b"content-length")
    if opened.method == "HEAD" or response.status in BODILESS_STATUSES:
        length = None
    return Head(
        request=opened.request,
        attempt=opened.attempt,
        status=response.status,
        headers=[
            Header(name=name, value=value)
            for name, value in drop_hop_by_hop_headers(response.headers)
        ],
        length=UNKNOWN_LENGTH if length is None else int(length),
    )


def failure_for(opened: Open, answer: Answer, error: PulleyError) -> Failed:
    """Build the failure of an attempt whose engine sent no complete answer."""
    outcome = Outcome.UNKNOWN if answer.head is None else Outcome.PARTIAL
    connection_lost = isinstance(error, ConnectionLost)
    timed_out = isinstance(error, TimedOut)
    timeout_reason = Reason.DEADLINE if answer.head is None else Reason.STALLED
    reason = timeout_reason if timed_out else Reason.ENGINE_UNREACHABLE
    return Failed(
        request=opened.request,
        attempt=opened.attempt,
        outcome=str(outcome),
        reason=str(Reason.ENGINE_CRASHED if connection_lost else reason),
        step=error.step,
        detail=str(error),
    )
