"""The admission gate of one engine: an agent's decisions over one piece of state.

The agent passes in arrivals, completions and messages from peers, and carries out
the decisions returned. Times are readings of the agent's clock in milliseconds; if
that clock steps back, expiry is delayed and nothing else changes.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from pulley_base import ABSENT, Reason, Sentinel

from .admission import (
    COLD_REDIRECT_DELAY_MS,
    AdmissionState,
    Arrival,
    Limits,
    Queue,
    Redirect,
    Refuse,
    Verdict,
    choose_redirect_target,
    compute_retry_after_ms,
    decide,
    find_blocking_reason,
    has_no_free_slot,
    redirect_or_refuse,
    takes_last_slot,
)
from .loads import LoadCount
from .means import Mean, MeanEstimate
from .placement import Draw
from .pointers import PointerTable, WarmChats
from .queues import FairQueue, WaitingRequest

TEAM_ACTIVE_MS = 5_000


@dataclass(slots=True)
class Gate:
    """The state of one agent's admission decisions.

    ``peers`` are the other endpoints of the service that take work, by this agent's own
    list; ``local`` are those of them in its data centre. With ``uses_home_placement``
    off, the gate neither redirects nor applies the load bound and only queues, as the
    baseline placements need it. ``last_start_ms`` is when each team last had a request
    started.
    """

    endpoint: str
    load: LoadCount
    limits: Limits = field(default_factory=Limits)
    queue: FairQueue = field(default_factory=FairQueue)
    mean: MeanEstimate = field(default_factory=MeanEstimate)
    pointers: PointerTable = field(default_factory=PointerTable)
    warm: WarmChats = field(default_factory=WarmChats)
    peers: frozenset[str] = frozenset()
    local: frozenset[str] = frozenset()
    uses_home_placement: bool = True
    draining: bool = False
    drained_by_rule: bool = False
    engine_down: bool = False
    last_start_ms: dict[str, int] = field(default_factory=dict)

    @property
    def closed_reason(self) -> Reason | None:
        """The reason why nothing may start here, or None if requests may start."""
        if self.draining or self.drained_by_rule:
            return Reason.DRAINING
        return Reason.ENGINE_UNREACHABLE if self.engine_down else None


@dataclass(frozen=True, slots=True)
class EndedWait:
    """A waiting request that will not run here, and why."""

    item: WaitingRequest
    verdict: Redirect | Refuse


def is_full(gate: Gate) -> bool:
    """Check whether a further request would not start on this engine at once."""
    if gate.closed_reason is not None or gate.queue.n_waiting > 0:
        return True
    return has_no_free_slot(gate.load, gate.limits)


def estimate_mean(gate: Gate, now_ms: int) -> Mean:
    """Return the mean load of the service as this agent knows it."""
    n_peers = len(gate.peers) if gate.uses_home_placement else 0
    return gate.mean.estimate(gate.load.load(), gate.load.capacity, n_peers, now_ms)


def build_state(gate: Gate, priority: int, now_ms: int) -> AdmissionState:
    """Build the state of the gate that one decision is based on."""
    shares = gate.mean.shares()
    return AdmissionState(
        endpoint=gate.endpoint,
        load=gate.load,
        mean=estimate_mean(gate, now_ms),
        limits=gate.limits,
        shares=shares,
        excluded=frozenset(shares) - gate.peers,
        full=gate.mean.list_full_peers(),
        local=gate.local,
        waiting_work=gate.queue.work_ahead(priority),
        closed_reason=gate.closed_reason,
    )


def find_pointer(gate: Gate, chat: bytes) -> str:
    """Return the peer that has a chat warm, or an empty string if none is known."""
    pointer = gate.pointers.find(chat)
    if not pointer or pointer not in gate.peers:
        return ""
    return pointer


def decide_arrival(
    gate: Gate, item: WaitingRequest, now_ms: int, draw: Draw
) -> Verdict:
    """Decide on a request, and queue it if the verdict is Queue.

    If a request is redirected because this engine has no room, its target is recorded,
    so that the chat's next turn goes to the same endpoint.
    """
    warm_here = item.chat in gate.warm.chats
    arrival = Arrival(
        team=item.team,
        priority=item.priority,
        work=item.work,
        remaining_ms=item.deadline_ms - now_ms,
        n_hops=item.n_hops,
        pointer="" if warm_here else find_pointer(gate, item.chat),
        warm_here=warm_here,
        n_warm_tokens=gate.warm.count_tokens(item.chat),
    )
    state = build_state(gate, item.priority, now_ms)
    verdict = decide(arrival, state, draw)
    if (
        not gate.uses_home_placement
        and isinstance(verdict, Redirect)
        and not gate.closed_reason
    ):
        verdict = Queue()
    if isinstance(verdict, Redirect):
        record_redirect(gate, item, verdict)
    if not isinstance(verdict, Queue):
        return verdict
    if verdict.redirect_delay_ms is not None:
        item.redirect_ms = now_ms + verdict.redirect_delay_ms
    if not gate.queue.put(item):
        return Refuse(Reason.QUEUE_FULL, compute_retry_after_ms(state))
    return verdict


def record_redirect(gate: Gate, item: WaitingRequest, verdict: Redirect) -> None:
    """Record where a chat was redirected, if nothing else is known about it."""
    gate.mean.record_sent_work(verdict.endpoint, item.work)
    is_known = item.chat in gate.warm.chats or gate.pointers.find(item.chat)
    if item.chat and not is_known:
        gate.pointers.set(item.chat, verdict.endpoint)


def start_next(gate: Gate, now_ms: int) -> WaitingRequest | Sentinel:
    """Return the next request to send to the engine, counted; ABSENT if there is none.

    Nothing starts on a draining endpoint or an unreachable engine, and no request
    starts past its deadline.
    """
    if gate.closed_reason or gate.queue.n_waiting == 0:
        return ABSENT
    mean = estimate_mean(gate, now_ms)
    item = gate.queue.take(make_start_check(gate, mean, now_ms))
    if item:
        gate.load.add(item.key, item.work, item.team, item.priority)
        gate.last_start_ms[item.team] = now_ms
        if item.chat:
            gate.warm.touch(item.chat)
            gate.pointers.remove(item.chat)
    return item


def remove_idle_teams(gate: Gate, now_ms: int) -> None:
    """Remove the teams that had no request started within ``TEAM_ACTIVE_MS``."""
    for team, started_ms in list(gate.last_start_ms.items()):
        if abs(now_ms - started_ms) > TEAM_ACTIVE_MS:
            del gate.last_start_ms[team]


def make_start_check(
    gate: Gate, mean: Mean, now_ms: int
) -> Callable[[WaitingRequest], Reason | None]:
    """Return a function that returns why a request can't start now, None if it can."""

    remove_idle_teams(gate, now_ms)

    def check_start(item: WaitingRequest) -> Reason | None:
        if item.deadline_ms <= now_ms:
            return Reason.DEADLINE
        if item.max_running and gate.load.count_team(item.team) >= item.max_running:
            return Reason.TEAM_LIMIT
        is_shared = any(team != item.team for team in gate.last_start_ms)
        if is_shared and takes_last_slot(gate.load, gate.limits, item.team):
            return Reason.TEAM_LIMIT
        return find_blocking_reason(
            gate.load, mean, gate.limits, item.team, item.priority, item.work
        )

    return check_start


def sweep(gate: Gate, now_ms: int, draw: Draw) -> Iterator[EndedWait]:
    """Remove and yield the waiting requests that must not wait any longer.

    Those past their deadline are refused. Those whose redirect delay is over go to a
    less loaded endpoint if there is one. If nothing may start here, all of them are
    redirected or refused.
    """
    for item in list(gate.queue.items()):
        verdict = decide_waiting(gate, item, now_ms, draw)
        if verdict is not None:
            gate.queue.remove(item.key)
            yield EndedWait(item, verdict)


def decide_waiting(
    gate: Gate, item: WaitingRequest, now_ms: int, draw: Draw
) -> Redirect | Refuse | None:
    """Return how a waiting request's wait ends, or None if it continues."""
    if item.deadline_ms <= now_ms:
        return Refuse(Reason.DEADLINE)
    may_wait = item.redirect_ms is None or now_ms < item.redirect_ms
    if may_wait and not gate.closed_reason:
        return None
    state = build_state(gate, item.priority, now_ms)
    target = choose_redirect_target(state, draw) if item.redirect_ms is not None else ""
    if gate.closed_reason:
        return redirect_or_refuse(target, gate.closed_reason, state)
    item.redirect_ms = now_ms + COLD_REDIRECT_DELAY_MS
    gate.mean.record_sent_work(target, item.work)
    return Redirect(target, warm=False, reason=Reason.AT_BOUND) if target else None


def finish(
    gate: Gate, item: WaitingRequest, done: float, n_context_tokens: int = 0
) -> None:
    """Record a request's end and free what it used.

    ``done`` is the work that it took, in units of work. With ``n_context_tokens``, the
    chat is recorded as warm with that many tokens.
    """
    gate.load.remove(item.key)
    gate.queue.correct_charge(item, done)
    if item.chat and n_context_tokens:
        gate.warm.touch(item.chat, n_context_tokens)


def set_peers(
    gate: Gate, peers: frozenset[str], local: frozenset[str] = frozenset()
) -> None:
    """Replace the list of the service's other endpoints, and drop those removed."""
    for removed in gate.peers - peers:
        gate.mean.drop(removed)
        gate.pointers.drop_endpoint(removed)
    gate.peers = peers
    gate.local = local
