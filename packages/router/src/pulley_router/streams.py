"""One attempt on the wire: its answer in order, with credit-based flow control."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from pulley_base import ConnectionLost, Outcome, ProtocolError
from pulley_fleet.counters import DROPPED_FRAMES
from pulley_http import RequestRefused
from pulley_policy.answers import Assembly, FrameFault, take_piece
from pulley_wire import Frame, PeerConnection
from pulley_wire.messages import Ack, Cancel, Credit, Data, Failed, Head, Refused

INITIAL_CREDIT_BYTES = 256 * 1024
CREDIT_STEP_BYTES = 64 * 1024
UNKNOWN_LENGTH = -1
MAX_RESUMES = 5


@dataclass(slots=True)
class Lost:
    """The end of an attempt's connection; the attempt's own outcome is not known."""

    reason: str


Event = Head | Data | Refused | Failed | Lost


@dataclass(slots=True, eq=False)
class AttemptStream:
    """The router's state of one attempt."""

    request: int
    attempt: int
    nonce: bytes
    connection: PeerConnection
    events: deque[Event] = field(default_factory=deque)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    admitted: asyncio.Event = field(default_factory=asyncio.Event)
    assembly: Assembly = field(default_factory=lambda: Assembly(0))
    unacknowledged_bytes: int = 0
    closed: bool = False


def receive_frame(stream: AttemptStream, frame: Frame) -> None:
    """Process a frame of this attempt; drop it if it is late or of another attempt."""
    message = (
        frame.data or frame.head or frame.refused or frame.failed or frame.admitted
    )
    if message is None or message.attempt != stream.attempt or stream.closed:
        DROPPED_FRAMES.labels("late").inc()
        return
    if message is frame.admitted:
        stream.admitted.set()
        return
    add_event(stream, message)


def add_lost_event(stream: AttemptStream, reason: str) -> None:
    """Queue the end of the attempt's connection as an event."""
    add_event(stream, Lost(reason))


def add_event(stream: AttemptStream, event: Event) -> None:
    """Queue an event for the task that serves the caller."""
    stream.events.append(event)
    stream.arrived.set()


async def next_event(stream: AttemptStream) -> Event:
    """Wait for the attempt's next event and return it."""
    while not stream.events:
        stream.arrived.clear()
        await stream.arrived.wait()
    return stream.events.popleft()


async def peek_event(stream: AttemptStream) -> Event:
    """Wait for the attempt's next event and return it without removing it."""
    event = await next_event(stream)
    stream.events.appendleft(event)
    return event


async def first_event(stream: AttemptStream) -> Head | Refused | Failed | Lost:
    """Return the attempt's first event: an answer's head, a refusal or a failure.

    Raises ProtocolError if data arrives before the head.
    """
    event = await next_event(stream)
    if isinstance(event, Data):
        raise ProtocolError(
            "data before the head", step="answer", peer=stream.connection.peer
        )
    return event


async def read_answer(
    stream: AttemptStream,
    head: Head,
    resume: Callable[[], Awaitable["Event"]] | None = None,
) -> AsyncIterator[bytes]:
    """Yield the answer's bytes, checked for order and length.

    ``resume`` requests the rest if the connection is lost or bytes are missing. Raises
    ConnectionLost, ProtocolError or RequestRefused if the answer can't be completed;
    the caller must then see that it is incomplete.
    """
    assembly = stream.assembly
    n_resumes = 0
    while not assembly.ended:
        event = await next_event(stream)
        accepted = accept_data(stream, event) if isinstance(event, Data) else None
        if accepted is FrameFault.GAP or isinstance(event, Lost):
            n_resumes += 1
            if resume is None or n_resumes > MAX_RESUMES:
                raise ConnectionLost(
                    getattr(event, "reason", "bytes are missing"),
                    step="answer",
                    peer=stream.connection.peer,
                )
            event = await resume()
        if isinstance(event, Lost):
            raise ConnectionLost(
                event.reason, step="answer", peer=stream.connection.peer
            )
        if isinstance(event, Failed | Refused):
            raise early_end_refusal(stream, event)
        if isinstance(accepted, bytes) and accepted:
            yield accepted
            grant_credit(stream, len(accepted))
    check_length(stream, head)


def accept_data(stream: AttemptStream, data: Data) -> bytes | FrameFault:
    """Return the new bytes of a frame, or why there are none, which is counted."""
    accepted = take_piece(
        stream.assembly, data.attempt, data.offset, data.data, bool(data.last)
    )
    if isinstance(accepted, FrameFault):
        DROPPED_FRAMES.labels(str(accepted)).inc()
    return accepted


def early_end_refusal(stream: AttemptStream, event: Failed | Refused) -> RequestRefused:
    """Build the error for an answer that ended after it had begun."""
    return RequestRefused(
        502,
        event.reason,
        event.detail or "the endpoint's answer ended early",
        outcome=Outcome.PARTIAL,
        step="answer",
        peer=stream.connection.peer,
    )


def check_length(stream: AttemptStream, head: Head) -> None:
    """Raise ProtocolError if the answer's length differs from that in its head."""
    n_bytes = stream.assembly.offset
    if head.length != UNKNOWN_LENGTH and head.length != n_bytes:
        raise ProtocolError(
            f"{n_bytes} bytes of {head.length}",
            step="answer",
            peer=stream.connection.peer,
        )


def grant_credit(stream: AttemptStream, n_bytes: int) -> None:
    """Grant the agent credit for bytes that the caller has taken."""
    stream.unacknowledged_bytes += n_bytes
    if stream.unacknowledged_bytes < CREDIT_STEP_BYTES:
        return
    credit = Credit(
        request=stream.request,
        attempt=stream.attempt,
        bytes=stream.unacknowledged_bytes,
    )
    stream.unacknowledged_bytes = 0
    stream.connection.send(Frame(credit=credit))


def acknowledge(stream: AttemptStream) -> None:
    """Acknowledge to the agent that the complete answer has arrived."""
    ack = Ack(request=stream.request, attempt=stream.attempt, nonce=stream.nonce)
    stream.connection.send(Frame(ack=ack))


def cancel(stream: AttemptStream, reason: str) -> None:
    """Notify the agent that the caller no longer waits for the answer."""
    message = Cancel(
        request=stream.request,
        attempt=stream.attempt,
        nonce=stream.nonce,
        reason=reason,
    )
    stream.connection.send(Frame(cancel=message))
