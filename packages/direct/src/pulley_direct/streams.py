"""Event streams: forwarded in whole events, and resumed elsewhere when they break."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from pulley_base import ConnectionLost, PulleyError, Reason, log_event
from pulley_http import Response, drop_hop_by_hop_headers
from pulley_http.connections import ClientConnection, read_more

from .crashes import record_good_answer
from .events import EventBuffer, is_inside_event, take_events, take_rest
from .exchanges import (
    Exchange,
    end_exchange,
    failure_reason,
    read_chunk,
    shows_its_end,
)
from .jobs import AttemptFailed, Job
from .loads import record_success
from .models import Endpoint
from .outcomes import MIN_SILENCE_MS, record_failed_attempt
from .routers import Router
from .waits import AnswerTimeout

logger = logging.getLogger(__name__)

ResumeStream = Callable[[Router, Job, int | None], Awaitable[Exchange | None]]


class EventStream:
    """The body of a streamed answer: whole events, in order, each once."""

    def __init__(
        self, router: Router, job: Job, exchange: Exchange, resume: ResumeStream
    ):
        self.router = router
        self.job = job
        self.exchange = exchange
        self.resume = resume
        self.buffer = EventBuffer(last_id=job.call.last_event_id)
        self.first_events = b""

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        if self.first_events:
            if self.exchange.finished:
                record_good_answer(self.router, self.job)
            chunk, self.first_events = self.first_events, b""
            return chunk
        while True:
            chunk = await self.read_events()
            if chunk is None:
                raise StopAsyncIteration
            if chunk:
                return chunk

    async def read_events(self) -> bytes | None:
        """Return the whole events that are available, None at the stream's end.

        Empty if there is no whole event yet.
        """
        try:
            if self.exchange.finished:
                check_end(self.exchange, self.job, self.buffer)
                record_good_answer(self.router, self.job)
                return take_rest(self.buffer) or None
            chunk = await read_chunk(self.exchange, self.job)
            events = take_events(self.buffer, chunk or b"")
            if events:
                record_good_answer(self.router, self.job)
            return events
        except AnswerTimeout as error:
            if error.before_deadline:
                await self.replace_silent(error)
            else:
                await self.replace_broken(error)
        except PulleyError as error:
            await self.replace_broken(error)
        return b""

    async def replace_silent(self, error: AnswerTimeout) -> None:
        """Continue the stream elsewhere, or wait on if no endpoint takes it over.

        The endpoint may still be at work, so its exchange ends only once another
        endpoint has answered. If it goes on before that, the other attempt ends.
        """
        silent = self.exchange
        record_broken_stream(silent, self.job, failure_reason(error))
        resuming = asyncio.create_task(self.resume_elsewhere(silent.endpoint, error))
        try:
            await wait_for_either(resuming, silent.channel.connection)
        finally:
            resumed = await stop_resuming(resuming)
            if resumed is not None:
                end_exchange(silent)
                self.continue_at(resumed)
        if resuming.cancelled():
            log_event(
                logger,
                "stream_went_on",
                request=self.job.call.request_id,
                endpoint=silent.endpoint.name,
                last_event_id=self.buffer.last_id,
            )

    async def replace_broken(self, error: PulleyError) -> None:
        """Continue the stream elsewhere.

        Raises ConnectionLost if it can't be resumed.
        """
        broken, self.exchange = self.exchange, None
        end_exchange(broken)
        record_broken_stream(broken, self.job, failure_reason(error))
        resumed = await self.resume_elsewhere(broken.endpoint, error)
        if resumed is None:
            raise ConnectionLost(
                "the stream broke off and could not be resumed", step="body"
            ) from error
        self.continue_at(resumed)

    async def resume_elsewhere(
        self, endpoint: Endpoint, error: PulleyError
    ) -> Exchange | None:
        """Resume the stream after its last whole event, at another endpoint.

        Returns None if it can't be resumed.
        """
        self.job.may_have_run = True
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
            kept=resumed is None and self.exchange is not None,
        )
        return resumed

    def continue_at(self, exchange: Exchange) -> None:
        """Read on from a resumed stream."""
        self.exchange = exchange
        self.buffer = EventBuffer(last_id=self.buffer.last_id)

    async def aclose(self) -> None:
        """End the exchange, whether or not it is complete."""
        if self.exchange is not None:
            if self.exchange.finished:
                record_success(self.router.loads, self.exchange.endpoint.name)
            end_exchange(self.exchange)
            self.exchange = None


async def wait_for_either(resuming: asyncio.Task, connection: ClientConnection) -> None:
    """Wait until a task is done or bytes have arrived on a connection."""
    resuming.add_done_callback(lambda _task: connection.wake_reader())
    n_reads = connection.n_reads
    while not resuming.done() and connection.n_reads == n_reads:
        if connection.ended:
            await asyncio.wait({resuming})
        else:
            await read_more(connection, "body")


async def stop_resuming(resuming: asyncio.Task) -> Exchange | None:
    """Cancel a task that is not done; return the exchange of one that is."""
    if not resuming.done():
        resuming.cancel()
        await asyncio.wait({resuming})
    return None if resuming.cancelled() else resuming.result()


def record_broken_stream(exchange: Exchange, job: Job, reason: Reason) -> None:
    """Record a stream that broke off or did not end by its deadline.

    An endpoint that still sent events at the deadline has not failed.
    """
    router = exchange.router
    silent_ms = router.clock.now_ms() - exchange.last_read_ms
    if reason is Reason.DEADLINE and silent_ms < MIN_SILENCE_MS:
        router.counters.failures[reason] += 1
    else:
        record_failed_attempt(router, job, exchange.endpoint, reason)


def check_end(exchange: Exchange, job: Job, buffer: EventBuffer) -> None:
    """Check that a streamed answer that was read to its end is complete.

    Raises ConnectionLost, and marks the exchange as unfinished, if it ended inside
    an event. So does an answer without any event that does not show its end: its
    endpoint may have stopped before the first one.
    """
    peer = exchange.channel.address
    if is_inside_event(buffer):
        exchange.finished = False
        raise ConnectionLost("ended inside an event", step="body", peer=peer)
    if not buffer.has_events and not shows_its_end(exchange, job):
        exchange.finished = False
        raise ConnectionLost("ended before any event", step="body", peer=peer)


async def open_stream(
    router: Router, job: Job, exchange: Exchange, resume: ResumeStream
) -> Response:
    """Read up to the first event and return the streamed answer.

    Raises AttemptFailed if the stream breaks before its first event; the caller
    then ends the exchange.
    """
    stream = EventStream(router, job, exchange, resume)
    try:
        while not stream.first_events and not exchange.finished:
            chunk = await read_chunk(exchange, job)
            stream.first_events = take_events(stream.buffer, chunk or b"")
        if not stream.first_events:
            check_end(exchange, job, stream.buffer)
    except PulleyError as error:
        raise AttemptFailed(
            failure_reason(error), str(error), exchange.endpoint, answer_began=True
        ) from error
    job.streaming = True
    headers = [
        pair
        for pair in drop_hop_by_hop_headers(exchange.headers)
        if pair[0] != b"content-length"
    ]
    return Response(exchange.status, headers, stream)
