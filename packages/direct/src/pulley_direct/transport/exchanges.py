"""An answer whose head was read: its body, its end, and what becomes of its channel."""

import asyncio
from dataclasses import dataclass

import h11

from pulley_base import ConnectionLost, PulleyError, Reason
from pulley_http import Headers, media_type, shows_its_end
from pulley_http.connections import parse_event

from ..state.channels import Channel, close_channel, release_channel
from ..state.jobs import AttemptFailed, Job, StreamHead
from ..state.loads import get_state
from ..state.models import AnswerMetadata, Endpoint
from ..state.routers import Router
from .waits import AnswerTimeout, wait_for_bytes

# Larger than any answer that is buffered whole, and a small part of a router's
# memory.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Pieces of a body that are parsed before other tasks get a turn: some milliseconds
# of work if an endpoint sends very small chunks.
MAX_PIECES_PER_TURN = 256


@dataclass(slots=True)
class Exchange:
    """An answer whose head was read, and the channel that its body arrives on.

    ``last_read_ms`` is the clock reading at which its last bytes were read.
    """

    router: Router
    endpoint: Endpoint
    channel: Channel
    status: int
    headers: Headers
    metadata: AnswerMetadata
    last_read_ms: int
    finished: bool = False


def failure_reason(error: PulleyError) -> Reason:
    """Return why an attempt that reached its endpoint failed."""
    if not isinstance(error, AnswerTimeout):
        return Reason.CONNECTION_LOST
    return Reason.STALLED if error.before_deadline else Reason.DEADLINE


def attempt_failure(exchange: Exchange, error: PulleyError) -> AttemptFailed:
    """Return the failure of an attempt whose answer had begun."""
    return AttemptFailed(
        failure_reason(error), str(error), exchange.endpoint, answer_began=True
    )


async def read_chunk(exchange: Exchange, job: Job) -> bytes | None:
    """Return the bytes of the body that are available, None at its end.

    After ``MAX_PIECES_PER_TURN`` pieces other tasks get a turn.
    Raises ConnectionLost if the body is cut, AnswerTimeout if no bytes arrived in
    time.
    """
    connection = exchange.channel.connection
    chunks = []
    while True:
        event = parse_event(connection, "body")
        if isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
            exchange.last_read_ms = exchange.router.clock.now_ms()
            if len(chunks) == MAX_PIECES_PER_TURN:
                await asyncio.sleep(0)
                return b"".join(chunks)
        elif chunks and event is h11.NEED_DATA:
            return b"".join(chunks)
        elif event is h11.NEED_DATA:
            await wait_for_bytes(exchange.router, job, exchange.endpoint, connection)
        elif isinstance(event, h11.EndOfMessage):
            exchange.finished = True
            return b"".join(chunks) if chunks else None
        else:
            peer = exchange.channel.address
            raise ConnectionLost("closed in mid-answer", step="body", peer=peer)


def is_framed(exchange: Exchange, job: Job) -> bool:
    """Check whether an answer says itself where it ends."""
    return shows_its_end(job.call.method, exchange.status, exchange.headers)


def stream_head(exchange: Exchange) -> StreamHead:
    """Return what the head of a streamed answer says of it."""
    return StreamHead(exchange.status, media_type(exchange.headers))


def end_exchange(exchange: Exchange) -> None:
    """Release the channel of a finished exchange, close that of an incomplete one."""
    state = get_state(exchange.router.loads, exchange.endpoint.name)
    state.in_flight -= 1
    pool = exchange.router.pool
    if exchange.finished:
        release_channel(pool, exchange.channel, exchange.metadata.idle_timeout_ms)
    else:
        close_channel(pool, exchange.channel)
