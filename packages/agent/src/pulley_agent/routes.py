"""The attempts of an agent, and the streams on which their answers are sent."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from pulley_base import Clock
from pulley_http import Client
from pulley_policy.answers import (
    HeldAnswers,
    evict_answers,
    hold_answer,
    release_answer,
)
from pulley_wire import Frame, FrameStamp, PeerConnection, Traffic
from pulley_wire.messages import Hello

from .admission import Admission
from .attempts import Attempt, Subscriber, send_answer
from .claims import Claims
from .crashes import CrashWatch
from .fencing import Fencing

MAX_ENDED_NONCES = 10_000

RouteKey = tuple[PeerConnection, int]


@dataclass(slots=True)
class Route:
    """The attempt and the subscriber that a router's stream belongs to."""

    attempt: Attempt
    subscriber: Subscriber


def make_set_event() -> asyncio.Event:
    """Return an event that is already set."""
    event = asyncio.Event()
    event.set()
    return event


@dataclass(slots=True)
class Sessions:
    """The connections of all routers and the attempts of this agent.

    ``ended_nonces`` are the nonces of removed attempts, the oldest first; ``idle`` is
    set while no stream is open.
    """

    hello: Hello
    stamp: FrameStamp
    clock: Clock
    client: Client
    engine: str
    admission: Admission
    held_answer_bytes: int
    claims: Claims
    crash_watch: CrashWatch
    held_answers: HeldAnswers
    fencing: Fencing
    traffic: Traffic = field(default_factory=Traffic)
    connections: set[PeerConnection] = field(default_factory=set)
    attempts: dict[bytes, Attempt] = field(default_factory=dict)
    ended_nonces: OrderedDict[bytes, None] = field(default_factory=OrderedDict)
    routes: dict[RouteKey, Route] = field(default_factory=dict)
    idle: asyncio.Event = field(default_factory=make_set_event)
    on_control: Callable[[PeerConnection, Frame], None] = lambda connection, frame: None


def subscribe(sessions: Sessions, attempt: Attempt, stream: Subscriber) -> None:
    """Send an attempt's answer on one more stream."""
    attempt.subscribers.append(stream)
    stream.connection.n_in_flight += 1
    key = (stream.connection, stream.request)
    sessions.routes[key] = Route(attempt, stream)
    sessions.idle.clear()
    stream.task = asyncio.get_running_loop().create_task(send_answer(attempt, stream))


def end_route(sessions: Sessions, key: RouteKey) -> Attempt:
    """Stop sending an attempt's answer on one stream; return the attempt."""
    route = sessions.routes.pop(key)
    route.subscriber.connection.n_in_flight -= 1
    if route.subscriber.task is not None:
        route.subscriber.task.cancel()
    route.attempt.subscribers.remove(route.subscriber)
    if not sessions.routes:
        sessions.idle.set()
    return route.attempt


def end_replaced_streams(
    sessions: Sessions, attempt: Attempt, connection: PeerConnection, request: int
) -> None:
    """End the streams that a router has replaced by a new one."""
    for key, route in list(sessions.routes.items()):
        if route.attempt is attempt and key[1] == request:
            if key[0] is connection or is_same_sender(key[0], connection):
                end_route(sessions, key)


def is_same_sender(one: PeerConnection, other: PeerConnection) -> bool:
    """Check whether two connections come from the same router process."""
    if one.hello is None or other.hello is None:
        return False
    return one.hello.incarnation == other.hello.incarnation


def hold_finished_answer(sessions: Sessions, attempt: Attempt) -> None:
    """Hold a finished answer for its router, and for resends of its key."""
    nonce, answer = attempt.opened.nonce, attempt.answer
    if attempt.opened.idempotent and not attempt.subscribers:
        remove_attempt(sessions, attempt)
        return
    now_ms = sessions.clock.now_ms()
    hold_answer(sessions.held_answers, nonce, len(answer.held), now_ms)
    evict_held_answers(sessions)


def evict_held_answers(sessions: Sessions) -> None:
    """Evict the held answers that have expired or exceed the limit."""
    for nonce in evict_answers(sessions.held_answers, sessions.clock.now_ms()):
        attempt = sessions.attempts.get(nonce)
        if attempt is not None and not attempt.subscribers:
            remove_attempt(sessions, attempt)


def remove_attempt(sessions: Sessions, attempt: Attempt) -> None:
    """Remove an attempt's state; keep its nonce to detect repeats."""
    nonce = attempt.opened.nonce
    release_answer(sessions.held_answers, nonce)
    if sessions.attempts.pop(nonce, None) is None:
        return
    sessions.ended_nonces[nonce] = None
    if len(sessions.ended_nonces) > MAX_ENDED_NONCES:
        sessions.ended_nonces.popitem(last=False)
