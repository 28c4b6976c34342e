"""Admission control: whether and when an attempt runs on this agent's engine."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

from pulley_base import Clock, Reason, log_event
from pulley_fleet.followers import Follower
from pulley_http import RequestRefused
from pulley_policy.admission import Limits, Redirect, Refuse
from pulley_policy.gates import (
    EndedWait,
    Gate,
    decide_arrival,
    finish,
    start_next,
    sweep,
)
from pulley_policy.loads import BYTES_PER_TOKEN
from pulley_policy.queues import WaitingRequest
from pulley_rules import ServiceRule, TeamRule
from pulley_wire.messages import Open

from .counters import ADMITTED, WAITED_MS

DEFAULT_CAPACITY_REQUESTS = 8
DEFAULT_CAPACITY_TOKENS = 8_000
SSE_DATA_FIELD = b"data:"
SWEEP_INTERVAL_S = 0.025

logger = logging.getLogger(__name__)

ChatLookup = Callable[[bytes], Awaitable[None]]


class Redirected(RequestRefused):
    """Refusal of an attempt that did not run here and should go to ``endpoint``.

    ``warm`` is True if that endpoint holds the chat's context.
    """

    def __init__(self, endpoint: str, warm: bool, reason: Reason):
        super().__init__(503, reason, f"try {endpoint}", step="admission")
        self.endpoint = endpoint
        self.warm = warm


@dataclass(slots=True)
class Admission:
    """Admission control in front of the engine, and the attempts that wait for it.

    ``capacity`` is in units of work: tokens for a model engine, requests for a
    plain service; 0 selects ``DEFAULT_CAPACITY_TOKENS`` or
    ``DEFAULT_CAPACITY_REQUESTS``. ``pausable`` holds the running attempts that can
    be paused, by nonce; ``preempt`` requests pauses while other attempts wait.
    ``look_up_chat`` asks other agents which endpoint holds a chat's context; None
    if this agent takes no part in gossip.
    """

    clock: Clock
    service: str
    capacity: int
    gate: Gate
    follower: Follower
    random: Random = field(default_factory=Random)
    n_slots: int = 0
    waiters: dict[bytes, asyncio.Future] = field(default_factory=dict)
    look_up_chat: ChatLookup | None = None
    pausable: dict[bytes, "Grant"] = field(default_factory=dict)
    preempt: Callable[["Admission"], None] = lambda admission: None
    sweep_timer: asyncio.TimerHandle | None = None

    @property
    def n_running(self) -> int:
        """The number of attempts that the engine is working on."""
        return len(self.gate.load.running)

    @property
    def n_waiting(self) -> int:
        """The number of attempts in the queue."""
        return self.gate.queue.n_waiting


@dataclass(slots=True)
class Grant:
    """One attempt's slot on the engine, and the work done so far.

    ``ended`` is True while the attempt holds no slot. ``partial`` is the state of
    an attempt that can be paused, ``pause_requested`` asks it to pause, and
    ``charged_work`` is the work that it had been charged for when it last released
    its slot.
    """

    admission: Admission
    item: WaitingRequest
    n_prompt_tokens: int
    n_uncached_tokens: float
    n_answer_tokens: int = 0
    charged_work: float = 0.0
    ended: bool = False
    partial: object = None
    pause_requested: asyncio.Event = field(default_factory=asyncio.Event)


def get_service_rule(admission: Admission) -> ServiceRule:
    """Return the rule of this agent's service, or the defaults if it has none."""
    rules = admission.follower.rules
    return rules.services.get(admission.service) or ServiceRule(admission.service)


def apply_rules(admission: Admission) -> None:
    """Apply the rules now in force to the limits and capacity of the gate."""
    rule = get_service_rule(admission)
    gate = admission.gate
    gate.limits = Limits(
        load_multiple=rule.load_multiple,
        batch_share=rule.batch_share,
        n_slots=admission.n_slots,
    )
    default = (
        DEFAULT_CAPACITY_TOKENS if rule.kind == "model" else DEFAULT_CAPACITY_REQUESTS
    )
    gate.load.capacity = admission.capacity or default


@asynccontextmanager
async def admit(
    admission: Admission, opened: Open, deadline_ms: int
) -> AsyncIterator[Grant]:
    """Hold a slot on the engine while the body of the ``async with`` runs.

    Raises RequestRefused, outcome not-run, if the attempt is not admitted, and
    Redirected if another endpoint should be tried.
    """
    if opened.service_name != admission.service:
        raise make_refusal(
            Reason.WRONG_SERVICE, f"this endpoint serves {admission.service}"
        )
    apply_rules(admission)
    await look_up_unknown_chat(admission, opened)
    grant = make_grant(admission, opened, deadline_ms)
    await wait_turn(admission, grant.item)
    ADMITTED.labels(opened.team or "").inc()
    try:
        yield grant
    finally:
        end_grant(grant)


async def look_up_unknown_chat(admission: Admission, opened: Open) -> None:
    """Ask other agents which endpoint holds the chat's context, unless it is known.

    A redirected request is not looked up: it was sent by an endpoint that knows.
    """
    gate = admission.gate
    if not opened.chat or opened.hops or admission.look_up_chat is None:
        return
    if opened.chat in gate.warm.chats or gate.pointers.find(opened.chat):
        return
    await admission.look_up_chat(opened.chat)


def make_grant(admission: Admission, opened: Open, deadline_ms: int) -> Grant:
    """Build the grant of an attempt, with its estimated cost on this engine."""
    rules, rule = admission.follower.rules, get_service_rule(admission)
    team = rules.teams.get(opened.team) or TeamRule(opened.team or "")
    total = max(1, opened.work or 1)
    n_prompt, n_uncached = 0, 0
    if rule.kind == "model":
        n_prompt = min(total - 1, len(opened.body or b"") // BYTES_PER_TOKEN)
        n_cached = admission.gate.warm.count_tokens(opened.chat or b"")
        n_uncached = max(0, n_prompt - n_cached)
    queue_end_ms = admission.clock.deadline_ms(rule.queue_ms)
    item = WaitingRequest(
        key=opened.nonce,
        team=team.name,
        priority=opened.priority or 0,
        work=total - n_prompt + n_uncached,
        deadline_ms=min(deadline_ms, queue_end_ms),
        weight=team.weight,
        max_running=team.max_running,
        chat=opened.chat or b"",
        n_hops=opened.hops or 0,
    )
    return Grant(admission, item, n_prompt, n_uncached)


async def wait_turn(admission: Admission, item: WaitingRequest) -> None:
    """Wait until the attempt may run; raise RequestRefused if it may not run here."""
    arrived_ms = admission.clock.now_ms()
    verdict = decide_arrival(admission.gate, item, arrived_ms, admission.random.random)
    if isinstance(verdict, Redirect | Refuse):
        raise refusal_for_verdict(verdict)
    await wait_in_queue(admission, item)
    WAITED_MS.observe(admission.clock.now_ms() - arrived_ms)


async def requeue_item(admission: Admission, item: WaitingRequest) -> None:
    """Queue an attempt that has run before, and wait for its turn."""
    if not admission.gate.queue.put(item):
        raise make_refusal(Reason.QUEUE_FULL, "the endpoint's queue is full")
    await wait_in_queue(admission, item)


async def wait_in_queue(admission: Admission, item: WaitingRequest) -> None:
    """Wait for the turn of an attempt that is already in the queue."""
    future = asyncio.get_running_loop().create_future()
    admission.waiters[item.key] = future
    process_queue(admission)
    try:
        await future
    except asyncio.CancelledError:
        cancel_wait(admission, item, future)
        raise
    finally:
        admission.waiters.pop(item.key, None)


def cancel_wait(
    admission: Admission, item: WaitingRequest, future: asyncio.Future
) -> None:
    """Release the slot, or the place in the queue, of a cancelled attempt."""
    started = future.done() and not future.cancelled() and not future.exception()
    if started:
        finish(admission.gate, item, 0)
        process_queue(admission)
    else:
        admission.gate.queue.remove(item.key)


def end_grant(grant: Grant) -> None:
    """Release the slot unless it has been released, and start the next attempt."""
    if not grant.ended:
        release_grant(grant)


def release_grant(grant: Grant) -> None:
    """Release the slot and charge the team for the work since the last charge."""
    grant.ended = True
    work_done = grant.n_uncached_tokens + grant.n_answer_tokens
    n_context = grant.n_prompt_tokens + grant.n_answer_tokens
    if not grant.n_answer_tokens:
        work_done, n_context = grant.item.work, 0
    finish(grant.admission.gate, grant.item, work_done - grant.charged_work, n_context)
    grant.charged_work = work_done
    process_queue(grant.admission)


def record_progress(grant: Grant, piece: bytes) -> None:
    """Reduce the attempt's remaining work by one token per streamed event.

    The first event also takes off the uncached tokens of the prompt.
    """
    load, key = grant.admission.gate.load, grant.item.key
    n_events = piece.count(SSE_DATA_FIELD)
    if n_events and not grant.n_answer_tokens:
        load.progress(key, grant.n_uncached_tokens)
    grant.n_answer_tokens += n_events
    load.progress(key, n_events)


def process_queue(admission: Admission) -> None:
    """Start every attempt that may start now, and end the waits that are over.

    Pauses are requested for attempts that still wait.
    """
    now_ms = admission.clock.now_ms()
    for ended in sweep(admission.gate, now_ms, admission.random.random):
        reject_waiting(admission, ended)
    while item := start_next(admission.gate, now_ms):
        future = admission.waiters.get(item.key)
        if future is not None and not future.done():
            future.set_result(None)
    admission.preempt(admission)
    schedule_sweep(admission)


def schedule_sweep(admission: Admission) -> None:
    """Schedule the next pass over the queue while any attempt waits."""
    if admission.sweep_timer is not None or admission.gate.queue.n_waiting == 0:
        return

    def on_timer() -> None:
        admission.sweep_timer = None
        process_queue(admission)

    loop = asyncio.get_running_loop()
    admission.sweep_timer = loop.call_later(SWEEP_INTERVAL_S, on_timer)


def reject_waiting(admission: Admission, ended: EndedWait) -> None:
    """Raise the refusal in a waiting attempt that will not run here."""
    future = admission.waiters.get(ended.item.key)
    if future is not None and not future.done():
        future.set_exception(refusal_for_verdict(ended.verdict))


def set_engine_state(admission: Admission, up: bool) -> None:
    """Record whether the engine is reachable; if not, end the waits for it."""
    if admission.gate.engine_down == up:
        log_event(logger, "engine_up" if up else "engine_down")
    admission.gate.engine_down = not up
    process_queue(admission)


def start_draining(admission: Admission) -> None:
    """Stop admitting attempts, and redirect or refuse those that wait."""
    admission.gate.draining = True
    process_queue(admission)


def refusal_for_verdict(verdict: Redirect | Refuse) -> RequestRefused:
    """Convert a verdict into the refusal that the router receives."""
    if isinstance(verdict, Redirect):
        return Redirected(verdict.endpoint, verdict.warm, verdict.reason)
    details = {
        Reason.DRAINING: "the endpoint is leaving",
        Reason.DEADLINE: "no room within the deadline",
        Reason.QUEUE_FULL: "the endpoint's queue is full",
        Reason.ENGINE_UNREACHABLE: "the engine can't be reached",
    }
    refusal = make_refusal(
        verdict.reason, details.get(verdict.reason, str(verdict.reason))
    )
    refusal.retry_after_ms = verdict.retry_after_ms or None
    return refusal


def make_refusal(reason: Reason, detail: str) -> RequestRefused:
    """Build a 503 refusal of an attempt that has not run."""
    return RequestRefused(503, reason, detail, step="admission")
