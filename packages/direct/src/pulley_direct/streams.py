"""A stream of events passed on whole, and continued elsewhere when it breaks."""

import logging
from collections.abc import Awaitable, Callable

from pulley_base import ConnectionLost, PulleyError, Reason, log_event
from pulley_http import Response, end_to_end

from .attempts import Exchange, end_exchange, read_piece
from .events import EventBuffer, take_events
from .jobs import AttemptFailed, Job
from .loads import note_success
from .outcomes import note_loss
from .routers import Router

logger = logging.getLogger(__name__)

Resume = Callable[[Router, Job, int | None], Awaitable[Exchange | None]]


class EventStream:
    """The body of a streamed answer: whole events, in order, each once."""

    def __init__(self, router: Router, job: Job, exchange: Exchange, resume: Resume):
        self.router = router
        self.job = job
        self.exchange = exchange
        self.resume = resume
        self.buffer = EventBuffer(last_id=job.call.last_event_id)
        self.first = b""

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        if self.first:
            piece, self.first = self.first, b""
            return piece
        while True:
            piece = await self.read_events()
            if piece is None:
                raise StopAsyncIteration
            if piece:
                return piece

    async def read_events(self) -> bytes | None:
        """Give the whole events at hand, None at the stream's end."""
        if self.exchange.finished:
            rest, self.buffer.pending = self.buffer.pending, b""
            return rest or None
        try:
            piece = await read_piece(self.exchange, self.job)
        except PulleyError as error:
            await self.continue_elsewhere(error)
            return b""
        return take_events(self.buffer, piece or b"")

    async def continue_elsewhere(self, error: PulleyError) -> None:
        """Take up the stream after the last whole event; raises where it can't."""
        endpoint = self.exchange.endpoint
        end_exchange(self.exchange)
        self.exchange = None
        self.job.may_have_run = True
        note_loss(self.router, self.job, endpoint, Reason.CONNECTION_LOST)
        resumed = None
        if self.job.route.resumable:
            resumed = await self.resume(self.router, self.job, self.buffer.last_id)
        log_event(
            logger,
            "stream_broken",
            request=self.job.call.request_id,
            endpoint=endpoint.name,
            detail=str(error),
            last_event_id=self.buffer.last_id,
            resumed_at=None if resumed is None else resumed.endpoint.name,
        )
        if resumed is None:
            raise ConnectionLost("the stream is cut", step="body") from error
        self.exchange = resumed
        self.buffer.pending = b""

    async def aclose(self) -> None:
        """End the exchange, complete or not."""
        if self.exchange is not None:
            if self.exchange.finished:
                note_success(self.router.loads, self.exchange.endpoint.name)
            end_exchange(self.exchange)
            self.exchange = None


async def open_stream(
    router: Router, job: Job, exchange: Exchange, resume: Resume
) -> Response:
    """Read up to the first event and give the answer that it begins.

    Raises AttemptFailed where the stream breaks before its first event; the
    caller then ends the exchange.
    """
    stream = EventStream(router, job, exchange, resume)
    while not stream.first and not exchange.finished:
        try:
            piece = await read_piece(exchange, job)
        except PulleyError as error:
            raise AttemptFailed(
                Reason.CONNECTION_LOST, str(error), exchange.endpoint
            ) from error
        stream.first = take_events(stream.buffer, piece or b"")
    job.streaming = True
    headers = [
        pair for pair in end_to_end(exchange.headers) if pair[0] != b"content-length"
    ]
    return Response(exchange.status, headers, stream)
