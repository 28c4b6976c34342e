"""Event streams: forwarded in whole events, and resumed elsewhere when they break."""

import logging
from collections.abc import Awaitable, Callable

from pulley_base import ConnectionLost, PulleyError, Reason, log_event
from pulley_http import Response, drop_hop_by_hop_headers

from ..crashes.crashes import (
    hold_loss,
    record_good_stream,
    record_read_parts,
    report_after_end,
)
from ..endpoints.outcomes import MIN_SILENCE_MS, record_failed_attempt
from ..state.jobs import Elsewhere, Job
from ..state.loads import record_success
from ..state.models import Endpoint
from ..state.routers import Router
from ..transport.exchanges import (
    Exchange,
    attempt_failure,
    end_exchange,
    failure_reason,
    is_framed,
    read_chunk,
    stream_head,
)
from ..transport.takeovers import stop_other, take_other_answer
from .answer_ends import confirm_end
from .events import EventBuffer, is_inside_event, take_events, take_rest

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
        self.events_ms = router.clock.now_ms()
        self.longest_pause_ms = 0

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        if self.first_events:
            chunk, self.first_events = self.first_events, b""
            return chunk
        while True:
            chunk = await self.read_events()
            if chunk is None:
                raise StopAsyncIteration
            if chunk:
                self.note_pause()
                return chunk

    def note_pause(self) -> None:
        """Note how long the caller has waited for these events."""
        now_ms = self.router.clock.now_ms()
        self.longest_pause_ms = max(self.longest_pause_ms, now_ms - self.events_ms)
        self.events_ms = now_ms

    async def read_events(self) -> bytes | None:
        """Return the whole events that are available, None at the stream's end.

        Empty if there is no whole event yet.
        """
        try:
            if self.exchange.finished:
                await check_end(self.exchange, self.job, self.buffer)
                record_good_stream(self.router, self.job)
                return take_rest(self.buffer) or None
            chunk = await read_chunk(self.exchange, self.job)
            self.keep_endpoint()
            events = take_events(self.buffer, chunk or b"")
            if events:
                record_read_parts(self.router, self.job)
            return events
        except PulleyError as error:
            await self.continue_elsewhere(error)
        return b""

    def keep_endpoint(self) -> None:
        """Stop an attempt at another endpoint, as this stream goes on here."""
        if self.job.other is None:
            return
        stop_other(self.job)
        log_event(
            logger,
            "stream_went_on",
            request=self.job.call.request_id,
            endpoint=self.exchange.endpoint.name,
            last_event_id=self.buffer.last_id,
        )

    async def continue_elsewhere(self, error: PulleyError) -> None:
        """Continue at the endpoint that was asked meanwhile, or at another one.

        Raises ConnectionLost if the stream can't be resumed.
        """
        broken, self.exchange = self.exchange, None
        end_exchange(broken)
        reason = failure_reason(error)
        if reason is not Reason.STALLED:
            record_broken_stream(broken, self.job, reason)
        resumed = await take_other_answer(self.job)
        if resumed is None:
            resumed = await self.resume_elsewhere(
                self.job, broken.endpoint, detail=str(error)
            )
        if resumed is None:
            raise ConnectionLost(
                "the stream broke off and could not be resumed", step="body"
            ) from error
        self.continue_at(resumed)

    async def resume_elsewhere(
        self, job: Job, endpoint: Endpoint, *, detail: str = "nothing came"
    ) -> Exchange | None:
        """Resume the stream after its last whole event, at another endpoint.

        Returns None if it can't be resumed.
        """
        job.may_have_run = True
        resumed = None
        if job.route.resumable:
            resumed = await self.resume(self.router, job, self.buffer.last_id)
        log_event(
            logger,
            "stream_broken",
            request=job.call.request_id,
            endpoint=endpoint.name,
            detail=detail,
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
        """Close the stream, and report what it has lost."""
        self.close()
        report_after_end(self.router, self.job)

    def close(self) -> None:
        """End the exchange, whether or not it is complete, and any other attempt."""
        stop_other(self.job)
        if self.exchange is not None:
            log_event(
                logger,
                "stream_ended",
                request=self.job.call.request_id,
                endpoint=self.exchange.endpoint.name,
                complete=self.exchange.finished,
                longest_pause_ms=self.longest_pause_ms,
            )
            if self.exchange.finished:
                record_success(self.router.loads, self.exchange.endpoint.name)
            end_exchange(self.exchange)
            self.exchange = None


def record_broken_stream(exchange: Exchange, job: Job, reason: Reason) -> None:
    """Record a stream that broke off or did not end by its deadline.

    It may have been lost in a crash that it caused. An endpoint that still sent events
    at the deadline has not failed.
    """
    router = exchange.router
    if reason is Reason.CONNECTION_LOST:
        hold_loss(router, job, exchange.endpoint)
    silent_ms = router.clock.now_ms() - exchange.last_read_ms
    if reason is Reason.DEADLINE and silent_ms < MIN_SILENCE_MS:
        router.counters.failures[reason] += 1
    else:
        record_failed_attempt(router, job, exchange.endpoint, reason)


async def check_end(exchange: Exchange, job: Job, buffer: EventBuffer) -> None:
    """Check that a streamed answer that was read to its end is complete.

    Raises ConnectionLost, and marks the exchange as unfinished, if it ended inside
    an event. So does an answer that does not show its end if it has no event, as its
    endpoint may have stopped before the first one, or if ``confirm_end`` fails.
    """
    peer = exchange.channel.address
    if is_inside_event(buffer):
        exchange.finished = False
        raise ConnectionLost("ended inside an event", step="body", peer=peer)
    if is_framed(exchange, job):
        return
    if not buffer.has_events:
        exchange.finished = False
        raise ConnectionLost("ended before any event", step="body", peer=peer)
    await confirm_end(exchange, job)


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
            await check_end(exchange, job, stream.buffer)
    except PulleyError as error:
        raise attempt_failure(exchange, error) from error
    job.stream_head = stream_head(exchange)
    job.elsewhere = Elsewhere(stream.resume_elsewhere, end_exchange)
    headers = [
        pair
        for pair in drop_hop_by_hop_headers(exchange.headers)
        if pair[0] != b"content-length"
    ]
    return Response(exchange.status, headers, stream)
