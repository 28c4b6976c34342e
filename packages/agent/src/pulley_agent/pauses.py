"""Preemption of batch completions: cancelled at the engine, resumed later.

While requests that are not batch wait for a slot, a batch completion that streams its
answer is cancelled. Its text so far is kept. When its turn comes again, the engine
continues from that text, and the caller sees one answer. A completion is paused at
most ``MAX_PAUSES`` times. It waits in the queue for at most ``MAX_PAUSE_MS``; if its
wait is refused or ends without a slot, it resumes without waiting for a free one.
"""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import aclosing, suppress
from dataclasses import replace

from pulley_base import ProtocolError, PulleyError, Sentinel, log_event
from pulley_http import RequestRefused, Response, media_type, send_request
from pulley_policy.admission import BATCH_PRIORITY, MAX_HOPS
from pulley_wire.messages import Head, Open

from .admission import Admission, Grant, record_progress, release_grant, requeue_item
from .answers import Answer, append_bytes, finish_answer, start_answer
from .counters import PAUSES
from .engines import (
    STALL_MS,
    BeforeFailure,
    Engine,
    check_end,
    engine_headers,
    fail_answer,
    make_answer_head,
)
from .partial_completions import build_body, rewrite_event

MAX_PAUSE_MS = 5_000
SSE_EVENT_END = b"\n\n"
PAUSE_REQUESTED = Sentinel(
    "give-way", "a request that is not batch is waiting for the slot"
)

logger = logging.getLogger(__name__)


def request_pauses(admission: Admission) -> None:
    """Ask one batch completion to pause for each waiting request that is not batch.

    Pauses that were requested before and are still to come are subtracted. Does nothing
    if the gate is closed, if there is no slot limit or if a slot is free.
    """
    gate = admission.gate
    if gate.closed_reason or not 0 < gate.limits.n_slots <= len(gate.load.running):
        return
    n_to_pause = sum(item.priority != BATCH_PRIORITY for item in gate.queue.items())
    running = [grant for grant in admission.pausable.values() if not grant.ended]
    n_to_pause -= sum(grant.pause_requested.is_set() for grant in running)
    ready = [grant for grant in running if may_request_pause(grant)]
    for grant in ready[: max(0, n_to_pause)]:
        grant.pause_requested.set()


def may_request_pause(grant: Grant) -> bool:
    """Check whether a completion may be asked now to pause.

    It may not if it has been asked already, if it can't be paused once more, or while
    its prompt is still being processed, as that work would be lost.
    """
    partial = grant.partial
    return (
        not grant.pause_requested.is_set()
        and partial.n_tokens > 0
        and partial.can_pause_more
    )


async def run_pausable(
    engine: Engine,
    opened: Open,
    grant: Grant,
    answer: Answer,
    before_failure: BeforeFailure,
) -> None:
    """Run a completion on the engine, in as many parts as needed.

    Raises RequestRefused if there was no connection to the engine for the first
    part. Any other error becomes the answer's failure, after ``before_failure`` has
    been called with it.
    """
    admission, key = grant.admission, grant.item.key
    admission.pausable[key] = grant
    try:
        while await run_part(engine, opened, grant, answer, before_failure):
            await wait_to_resume(grant)
    finally:
        del admission.pausable[key]


async def run_part(
    engine: Engine,
    opened: Open,
    grant: Grant,
    answer: Answer,
    before_failure: BeforeFailure,
) -> bool:
    """Run one part; return True if it was paused, False if the answer has ended.

    An answer that failed has ended too. ``run_pausable`` names the errors raised.
    """
    partial = grant.partial
    partial.n_tokens_before = partial.n_tokens
    try:
        response = await send_request(
            engine.client,
            engine.address,
            opened.method,
            opened.target,
            headers=engine_headers(opened),
            body=build_body(partial),
            stall_timeout_ms=STALL_MS,
        )
        head = make_answer_head(opened, response)
        if answer.head is None:
            start_answer(answer, head)
        elif not continues(answer.head, head):
            await response.body.aclose()
            raise ProtocolError("not resumed", step="resume")
        if not await copy_events_until_pause(response, grant, answer):
            return True
        await check_end(engine, opened, response)
        finish_answer(answer)
    except PulleyError as error:
        await fail_answer(opened, answer, error, before_failure)
    return False


def continues(first: Head, head: Head) -> bool:
    """Check whether a later part of an answer has the head of a continuation."""
    return (first.status, answer_media_type(first)) == (
        head.status,
        answer_media_type(head),
    )


def answer_media_type(head: Head) -> bytes:
    """Return the media type that an answer's head names."""
    return media_type([(each.name, each.value) for each in head.headers])


async def copy_events_until_pause(
    response: Response, grant: Grant, answer: Answer
) -> bool:
    """Append the events of one part to the answer.

    Returns True if all were copied, False if copying stopped for a pause (the opposite
    of ``run_part``).

    Raises ProtocolError if the answer ends inside an event, unless it has none at all.
    """
    rest = b""
    async with aclosing(response.body) as pieces:
        while (piece := await next_piece(pieces, grant)) is not None:
            if piece is PAUSE_REQUESTED:
                return False
            *events, rest = (rest + piece).split(SSE_EVENT_END)
            for event in events:
                data = rewrite_event(grant.partial, event)
                record_progress(grant, data)
                await append_bytes(answer, data + SSE_EVENT_END)
        if rest and answer.end:
            raise ProtocolError("ended inside an event", step="body")
        if rest:
            await append_bytes(answer, rest)
    return True


async def next_piece(
    pieces: AsyncIterator[bytes], grant: Grant
) -> bytes | Sentinel | None:
    """Return the next piece, None at the end, PAUSE_REQUESTED if a pause was requested.

    A piece that has already arrived is returned first. While the completion can't be
    paused once more, the request is ignored.
    """
    reading = asyncio.ensure_future(anext(pieces, None))
    pausing = asyncio.ensure_future(grant.pause_requested.wait())
    awaited = {reading, pausing} if grant.partial.can_pause_more else {reading}
    try:
        await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
        return reading.result() if reading.done() else PAUSE_REQUESTED
    finally:
        for task in (reading, pausing):
            task.cancel()
            with suppress(asyncio.CancelledError, PulleyError):
                await task


async def wait_to_resume(grant: Grant) -> None:
    """Release the slot and wait in the queue for another, at most ``MAX_PAUSE_MS``.

    If the wait is refused or ends without a slot, the completion counts as running
    without waiting for a free one.
    """
    admission, partial = grant.admission, grant.partial
    PAUSES.inc()
    partial.n_pauses += 1
    release_grant(grant)
    item = replace(
        grant.item,
        work=max(1, partial.max_tokens - partial.n_tokens),
        # It must not be redirected: its partial answer is kept in this process.
        n_hops=MAX_HOPS,
        deadline_ms=admission.clock.deadline_ms(MAX_PAUSE_MS),
        redirect_ms=None,
    )
    try:
        await requeue_item(admission, item)
    except RequestRefused as refusal:
        log_event(logger, "resumed_at_once", reason=refusal.reason)
        admission.gate.load.add(item.key, item.work, item.team, item.priority)
    grant.item = item
    grant.ended = False
    grant.pause_requested.clear()
