"""The run of an attempt: admitted, claimed, sent to the engine, its answer held."""

import asyncio
import logging
from functools import partial

from pulley_base import Reason, log_event
from pulley_fleet.counters import REFUSALS
from pulley_http import RequestRefused
from pulley_wire import Frame
from pulley_wire.messages import Admitted, Failed, Open, Refused

from .admission import Grant, Redirected, admit, get_service_rule, record_progress
from .answers import finish_answer
from .attempts import Attempt, Subscriber, read_body
from .claims import (
    KeyTaken,
    MayHaveRun,
    claim_attempt,
    make_subject,
    needs_claim,
    release_in_background,
    release_unused_claim,
    wait_for_store,
    wait_for_write_budget,
)
from .counters import REDIRECTS
from .crashes import has_crashed, refuse_quarantined, report_crash, run_suspect_alone
from .engines import Engine, run_on_engine
from .fencing import acquire_number, fencing_headers, needs_fencing_number
from .partial_completions import parse_pausable
from .pauses import run_pausable
from .routes import Sessions, end_route, hold_finished_answer, remove_attempt

FINAL_REASONS = frozenset({Reason.KEY_REUSED, Reason.QUARANTINED, Reason.STORE_DOWN})

logger = logging.getLogger(__name__)


async def run_attempt(sessions: Sessions, attempt: Attempt) -> None:
    """Admit an attempt, claim it, run it on the engine and hold its answer."""
    try:
        while not await admit_and_run(sessions, attempt):
            pass
        hold_finished_answer(sessions, attempt)
    except MayHaveRun as refusal:
        finish_answer(attempt.answer, make_failed(refusal))
        remove_attempt(sessions, attempt)
    except RequestRefused as refusal:
        await release_unused_claim(sessions.claims, attempt)
        send_refusal(sessions, attempt, refusal)
        remove_attempt(sessions, attempt)
    except asyncio.CancelledError:
        log_event(logger, "attempt_cancelled", ran=attempt.ran)
        remove_attempt(sessions, attempt)
        if attempt.claim_may_exist and not attempt.ran:
            release_in_background(
                sessions.claims, make_subject(sessions.claims, attempt)
            )


async def admit_and_run(sessions: Sessions, attempt: Attempt) -> bool:
    """Run an attempt once admitted; return False if the store did not answer.

    In that case the slot is released, so that a store outage delays only the attempts
    that need the store.
    """
    admission, opened = sessions.admission, attempt.opened
    refuse_quarantined(sessions.crash_watch, attempt, sessions.clock.now_ms())
    if is_fenced(sessions, opened):
        await acquire_number(sessions.fencing, attempt.deadline_ms)
    if needs_claim(opened):
        await wait_for_store(sessions.claims, attempt.deadline_ms)
        await wait_for_write_budget(sessions.claims, attempt.deadline_ms)
    async with admit(admission, opened, attempt.deadline_ms) as grant:
        async with run_suspect_alone(sessions.crash_watch, attempt):
            refuse_quarantined(sessions.crash_watch, attempt, sessions.clock.now_ms())
            if needs_claim(opened):
                if not await claim_attempt(sessions.claims, attempt):
                    return False
            await run_admitted(sessions, attempt, grant)
    return True


def is_fenced(sessions: Sessions, opened: Open) -> bool:
    """Check whether the endpoint requires a fencing number with this request."""
    rule = get_service_rule(sessions.admission)
    return needs_fencing_number(rule.fencing, opened.method)


async def run_admitted(sessions: Sessions, attempt: Attempt, grant: Grant) -> None:
    """Send an attempt to the engine and hold the answer as it arrives."""
    opened = attempt.opened
    body_complete = opened.body_complete
    body = (opened.body or b"") if body_complete else read_body(attempt)
    fenced = is_fenced(sessions, opened)
    attempt.ran = True
    if not body_complete:
        for each in attempt.subscribers:
            admitted = Admitted(request=each.request, attempt=each.attempt)
            each.connection.send(Frame(admitted=admitted))
    grant.partial = None if fenced else parse_pausable(opened)

    engine = Engine(
        sessions.client, sessions.engine, partial(has_crashed, sessions.crash_watch)
    )

    async def before_failure(failure: Failed) -> None:
        await report_if_crashed(sessions, attempt, failure)

    try:
        if grant.partial is not None:
            await run_pausable(engine, opened, grant, attempt.answer, before_failure)
            return
        await run_on_engine(
            engine,
            opened,
            body,
            attempt.answer,
            lambda piece: record_progress(grant, piece),
            before_failure,
            extra_headers=fencing_headers(sessions.fencing) if fenced else [],
        )
    except RequestRefused:
        attempt.ran = False
        attempt.claim_may_exist = needs_claim(opened)
        raise


async def report_if_crashed(
    sessions: Sessions, attempt: Attempt, failure: Failed
) -> None:
    """Report a crash of the engine before its attempts fail."""
    if failure.reason != Reason.ENGINE_CRASHED:
        return
    crashed = await has_crashed(sessions.crash_watch)
    in_flight = list(sessions.attempts.values()) if crashed else [attempt]
    await report_crash(sessions.crash_watch, in_flight)


def make_failed(refusal: MayHaveRun) -> Failed:
    """Build the failure of an attempt that may have run before."""
    return Failed(
        outcome=str(refusal.outcome),
        reason=str(refusal.reason),
        step=refusal.step,
        detail=refusal.detail,
    )


def send_refusal(sessions: Sessions, attempt: Attempt, refusal: RequestRefused) -> None:
    """Send the routers the refusal of an attempt that did not run."""
    REFUSALS.labels(sessions.admission.service, str(refusal.reason)).inc()
    if isinstance(refusal, Redirected):
        REDIRECTS.labels("warm" if refusal.warm else str(refusal.reason)).inc()
    for key, route in list(sessions.routes.items()):
        if route.attempt is attempt:
            message = make_refused(route.subscriber, refusal)
            route.subscriber.connection.send(Frame(refused=message))
            end_route(sessions, key)


def make_refused(stream: Subscriber, refusal: RequestRefused) -> Refused:
    """Build the message that refuses an attempt on one stream."""
    message = Refused(
        request=stream.request,
        attempt=stream.attempt,
        reason=str(refusal.reason),
        step=refusal.step,
        retry_after_ms=refusal.retry_after_ms,
        detail=refusal.detail,
        status=refusal.status if refusal.reason in FINAL_REASONS else None,
    )
    if isinstance(refusal, Redirected):
        message.redirect = refusal.endpoint
        message.warm = refusal.warm or None
    if isinstance(refusal, KeyTaken):
        message.holder = refusal.claimed.nonce
        message.redirect = refusal.claimed.agent
    return message
