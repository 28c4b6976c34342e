"""One attempt in the agent: its request body and the streaming of its answer."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field

from pulley_wire import Frame, PeerConnection
from pulley_wire.messages import Body, Data, Failed, Head, Open

from .answers import Answer, discard_before, is_finished, read_at

MAX_DATA_BYTES = 64 * 1024


@dataclass(slots=True, eq=False)
class Subscriber:
    """One router's stream that receives an attempt's answer.

    ``sent_offset`` is the offset up to which the answer was sent, ``allowed_offset``
    the offset up to which it may be sent, and ``initial_credit_bytes`` the credit
    granted when the stream was opened.
    """

    connection: PeerConnection
    request: int
    attempt: int
    sent_offset: int = 0
    allowed_offset: int = 0
    initial_credit_bytes: int = 0
    head_sent: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """The state of one attempt.

    ``ran`` is set before the request is sent to the engine, ``body_ended`` once all of
    its body has arrived. ``claim_may_exist`` is True while the store may hold an
    unused claim for it.
    """

    opened: Open
    answer: Answer
    deadline_ms: int
    subscribers: list[Subscriber] = field(default_factory=list)
    pieces: asyncio.Queue[Body] = field(default_factory=asyncio.Queue)
    task: asyncio.Task | None = None
    ran: bool = False
    body_ended: bool = False
    claim_token: bytes = b""
    claim_may_exist: bool = False
    digest: bytes = b""


async def read_body(attempt: Attempt) -> AsyncIterator[bytes]:
    """Yield the request's body as it arrives from the router."""
    if attempt.opened.body:
        yield attempt.opened.body
    while True:
        piece = await attempt.pieces.get()
        if piece.data:
            yield piece.data
        if piece.last:
            attempt.body_ended = True
            return


def add_credit(attempt: Attempt, subscriber: Subscriber, n_bytes: int) -> None:
    """Record that the router consumed ``n_bytes`` and allows as many more."""
    subscriber.allowed_offset += n_bytes
    trim_answer(attempt)
    subscriber.changed.set()


def trim_answer(attempt: Attempt) -> None:
    """Discard the bytes that every router has consumed.

    The answer to a non-idempotent request is kept whole for resends until half of the
    limit is used.
    """
    answer = attempt.answer
    if not attempt.opened.idempotent and len(answer.held) < answer.limit_bytes // 2:
        return
    consumed_offsets = [
        each.allowed_offset - each.initial_credit_bytes for each in attempt.subscribers
    ]
    if consumed_offsets:
        discard_before(answer, min(consumed_offsets))


async def send_answer(attempt: Attempt, subscriber: Subscriber) -> None:
    """Send the answer to a router as it arrives, within the router's credit.

    A piece is sent in the call that appends it. This task sends only what had to wait
    for credit or for the connection, and the last frame.
    """
    answer, connection = attempt.answer, subscriber.connection

    def send_more():
        if not send_ready_frames(answer, subscriber) or is_finished(answer):
            subscriber.changed.set()

    answer.watchers.add(send_more)
    try:
        while True:
            subscriber.changed.clear()
            while not send_ready_frames(answer, subscriber):
                await connection.writable.wait()
            if is_finished(answer) and subscriber.sent_offset == answer.end:
                connection.send(make_last_frame(answer, subscriber))
                return
            await subscriber.changed.wait()
    finally:
        answer.watchers.discard(send_more)


def send_ready_frames(answer: Answer, subscriber: Subscriber) -> bool:
    """Send what may be sent now; return False if the connection's buffer is full."""
    connection = subscriber.connection
    if not connection.writable.is_set():
        return False
    for frame in ready_frames(answer, subscriber):
        connection.send(frame)
        if not connection.writable.is_set():
            return False
    return True


def ready_frames(answer: Answer, subscriber: Subscriber) -> Iterator[Frame]:
    """Yield the frames that may be sent now, marking each as sent."""
    if answer.head is not None and not subscriber.head_sent:
        subscriber.head_sent = True
        yield Frame(head=make_head(answer.head, subscriber))
    while subscriber.sent_offset < min(answer.end, subscriber.allowed_offset):
        n_bytes = min(
            MAX_DATA_BYTES, subscriber.allowed_offset - subscriber.sent_offset
        )
        piece = read_at(answer, subscriber.sent_offset, n_bytes)
        message = make_data(subscriber, piece)
        subscriber.sent_offset += len(piece)
        yield Frame(data=message)


def make_head(head: Head, subscriber: Subscriber) -> Head:
    """Build the answer's head with the subscriber's request and attempt numbers."""
    return Head(
        request=subscriber.request,
        attempt=subscriber.attempt,
        status=head.status,
        headers=head.headers,
        length=head.length,
    )


def make_data(subscriber: Subscriber, piece: bytes, last: bool | None = None) -> Data:
    """Build the message for a piece of the answer."""
    return Data(
        request=subscriber.request,
        attempt=subscriber.attempt,
        offset=subscriber.sent_offset,
        data=piece,
        last=last,
    )


def make_last_frame(answer: Answer, subscriber: Subscriber) -> Frame:
    """Build the frame that ends the answer, complete or failed."""
    if answer.failure is None:
        return Frame(data=make_data(subscriber, b"", True))
    failure = answer.failure
    return Frame(
        failed=Failed(
            request=subscriber.request,
            attempt=subscriber.attempt,
            outcome=failure.outcome,
            reason=failure.reason,
            step=failure.step,
            detail=failure.detail,
        )
    )
