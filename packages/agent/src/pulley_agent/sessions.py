"""Frames from routers: open, resume, body, credit, cancel and acknowledge."""

import asyncio

from pulley_base import Outcome, Reason, time_limit, to_seconds
from pulley_fleet.counters import DROPPED_FRAMES, PEERS_CLOSED
from pulley_policy.suspects import digest_request
from pulley_wire import Frame, PeerConnection
from pulley_wire.messages import Failed, Open

from .admission import start_draining
from .answers import Answer
from .attempts import Attempt, Subscriber, add_credit
from .counters import RESUMES
from .routes import (
    Route,
    RouteKey,
    Sessions,
    end_replaced_streams,
    end_route,
    remove_attempt,
    subscribe,
)
from .runs import run_attempt

RESUME_GRACE_MS = 10_000


def make_connection(sessions: Sessions) -> PeerConnection:
    """Create the protocol for a router's connection."""
    connection = PeerConnection(
        lambda connection, frame: handle_frame(sessions, connection, frame),
        lambda connection, reason: drop_connection(sessions, connection, reason),
        stamp=sessions.stamp,
        clock=sessions.clock,
        traffic=sessions.traffic,
    )
    sessions.connections.add(connection)
    return connection


def drop_connection(
    sessions: Sessions, connection: PeerConnection, reason: str
) -> None:
    """Remove a closed connection.

    Its attempts keep running for ``RESUME_GRACE_MS``, so that a router can resume them.
    """
    PEERS_CLOSED.labels(reason).inc()
    sessions.connections.discard(connection)
    for key in [key for key in sessions.routes if key[0] is connection]:
        attempt = end_route(sessions, key)
        schedule_abandon(sessions, attempt)


def handle_frame(sessions: Sessions, connection: PeerConnection, frame: Frame) -> None:
    """Process one frame from a router."""
    if frame.hello is not None:
        connection.send(Frame(hello=sessions.hello))
    if frame.open is not None:
        open_attempt(sessions, connection, frame.open)
    elif frame.resume is not None:
        resume_attempt(sessions, connection, frame.resume)
    elif frame.body is not None:
        dispatch_to_route(sessions, connection, frame.body, feed_attempt)
    elif frame.credit is not None:
        dispatch_to_route(sessions, connection, frame.credit, credit_attempt)
    elif frame.cancel is not None:
        cancel_route(sessions, (connection, frame.cancel.request))
    elif frame.ack is not None:
        dispatch_to_route(sessions, connection, frame.ack, acknowledge_route)
    else:
        sessions.on_control(connection, frame)


def dispatch_to_route(sessions, connection, message, act) -> None:
    """Call ``act`` on the stream that a message names, if it is open."""
    key = (connection, message.request)
    route = sessions.routes.get(key)
    if route is None or route.subscriber.attempt != message.attempt:
        DROPPED_FRAMES.labels("late").inc()
        return
    act(sessions, key, route, message)


def feed_attempt(sessions: Sessions, key: RouteKey, route: Route, message) -> None:
    """Pass a piece of the request's body to the attempt."""
    route.attempt.pieces.put_nowait(message)


def credit_attempt(sessions: Sessions, key: RouteKey, route: Route, message) -> None:
    """Allow the attempt to send more of its answer."""
    add_credit(route.attempt, route.subscriber, message.bytes)


def acknowledge_route(sessions: Sessions, key: RouteKey, route: Route, message) -> None:
    """End a stream whose whole answer has arrived.

    The attempt is removed if it has no other stream and is idempotent or not held.
    """
    attempt = end_route(sessions, key)
    is_held = attempt.opened.nonce in sessions.held_answers.by_nonce
    if not attempt.subscribers and (attempt.opened.idempotent or not is_held):
        remove_attempt(sessions, attempt)


def cancel_route(sessions: Sessions, key: RouteKey) -> None:
    """End a stream whose caller has disconnected."""
    if key in sessions.routes:
        abandon_attempt(sessions, end_route(sessions, key))


def schedule_abandon(sessions: Sessions, attempt: Attempt) -> None:
    """Stop the attempt after the grace period unless a router resumes it."""
    loop = asyncio.get_running_loop()
    loop.call_later(to_seconds(RESUME_GRACE_MS), abandon_attempt, sessions, attempt)


def abandon_attempt(sessions: Sessions, attempt: Attempt) -> None:
    """Stop an attempt that no router waits for.

    Non-idempotent work whose body was sent completely runs to its end, so that a
    resend gets its answer.
    """
    if attempt.subscribers or attempt.task is None:
        return
    if attempt.task.done():
        if attempt.opened.nonce not in sessions.held_answers.by_nonce:
            remove_attempt(sessions, attempt)
    elif attempt.opened.idempotent or not attempt.ran or not attempt.body_ended:
        attempt.task.cancel()


def open_attempt(sessions: Sessions, connection: PeerConnection, opened: Open) -> None:
    """Start the task that runs an attempt; ignore a repeated nonce."""
    if opened.nonce in sessions.attempts or opened.nonce in sessions.ended_nonces:
        DROPPED_FRAMES.labels("repeated").inc()
        return
    attempt = Attempt(
        opened,
        Answer(sessions.held_answer_bytes),
        deadline_ms=sessions.clock.deadline_ms(opened.deadline_ms or 0),
        body_ended=bool(opened.body_complete),
        digest=digest_request(
            opened.service_name or "", opened.target or "", opened.body or b""
        ),
    )
    sessions.attempts[opened.nonce] = attempt
    credit = opened.credit or 0
    subscriber = Subscriber(
        connection, opened.request, opened.attempt, 0, credit, credit
    )
    subscribe(sessions, attempt, subscriber)
    sessions.idle.clear()
    attempt.task = asyncio.get_running_loop().create_task(
        run_attempt(sessions, attempt)
    )


def resume_attempt(sessions: Sessions, connection: PeerConnection, message) -> None:
    """Send the rest of an attempt's answer on another connection."""
    attempt = sessions.attempts.get(message.nonce)
    offset = message.offset or 0
    RESUMES.labels("found" if attempt is not None else "unknown").inc()
    if attempt is None or offset < attempt.answer.base:
        connection.send(Frame(failed=make_unknown_attempt(message)))
        return
    end_replaced_streams(sessions, attempt, connection, message.request)
    credit = message.credit or 0
    subscriber = Subscriber(
        connection, message.request, message.attempt, offset, offset + credit, credit
    )
    subscribe(sessions, attempt, subscriber)


def make_unknown_attempt(message) -> Failed:
    """Build the failure for an attempt that this agent does not hold."""
    return Failed(
        request=message.request,
        attempt=message.attempt,
        outcome=str(Outcome.UNKNOWN),
        reason=str(Reason.UNKNOWN_ATTEMPT),
        step="resume",
        detail="this agent does not hold the attempt",
    )


def announce_drain(sessions: Sessions) -> None:
    """Announce on every connection that this endpoint is draining."""
    sessions.stamp.draining = True
    start_draining(sessions.admission)
    for connection in list(sessions.connections):
        connection.send(Frame())


async def finish_attempts(sessions: Sessions, timeout_ms: int) -> int:
    """Wait until all work is done and its answers are acknowledged.

    Returns the number of attempts and streams still open after
    ``timeout_ms``, 0 if all ended.
    """
    try:
        async with time_limit(timeout_ms):
            await asyncio.gather(*(each.task for each in list_running(sessions)))
            await sessions.idle.wait()
            await asyncio.gather(*sessions.claims.release_tasks)
    except TimeoutError:
        return len(list_running(sessions)) + len(sessions.routes)
    return 0


def list_running(sessions: Sessions) -> list[Attempt]:
    """Return the attempts whose task is not done."""
    return [
        attempt for attempt in sessions.attempts.values() if not attempt.task.done()
    ]
