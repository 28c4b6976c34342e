"""Decide whether an agent runs a request, queues it, redirects it or refuses it.

Load bound: a request is sent to the engine only while the load including it is at
most ``load_multiple`` times the mean plus one request, the largest on that engine
at the time, and fits the engine's capacity. So small requests can start beside one
that is larger than the mean itself.

- Idle engine: an engine with no load always takes one request of any size.
- Stale mean: the last mean is used until ``means.ISOLATED_AFTER_MS`` after the
  last sample, so missing samples alone neither raise nor lower the bound.
- Isolated engine: no peer is listed, or no sample has arrived for that long; only
  the capacity bounds the load.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from pulley_base import Reason

from .loads import LoadCount
from .means import Mean
from .placement import choose_two

BATCH_PRIORITY = 2
MAX_HOPS = 3
COLD_REDIRECT_DELAY_MS = 50
WARM_REDIRECT_DELAY_MS = 500
MAX_REDIRECT_DELAY_MS = 2_000
PREFILL_TOKENS_PER_MS = 8
RETRY_AFTER_BASE_MS = 1_000
RETRY_AFTER_MAX_MS = 30_000


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits for one engine and one team, from the rules and settings.

    ``load_multiple`` is a factor on the mean load, ``batch_share`` the share of
    capacity and slots that batch work can use. ``max_running`` limits a team's
    requests on this engine, ``n_slots`` all requests; 0 means no limit.
    """

    load_multiple: float = 1.5
    batch_share: float = 0.5
    max_running: int = 0
    n_slots: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request that arrives at an agent.

    ``work`` is in units of work, ``remaining_ms`` the time to its deadline. ``pointer``
    names the endpoint that has the chat's context warm, empty when none is known.
    ``warm_here`` tells whether this endpoint has it warm, ``n_warm_tokens`` how many
    tokens of it. ``n_hops`` counts redirects.
    """

    team: str
    priority: int
    work: float
    remaining_ms: int
    n_hops: int = 0
    pointer: str = ""
    warm_here: bool = False
    n_warm_tokens: int = 0


@dataclass(frozen=True, slots=True)
class AdmissionState:
    """What the agent knows at the time of a decision.

    ``shares`` holds the loads of sampled peers as shares of their capacity.
    ``excluded`` names the peers that must not get work (draining or in backoff),
    ``full`` those where a further request would not start at once. ``local`` names
    the peers in this data centre; others get work only when no local one is suitable.
    ``waiting_work`` is the queued work, in units of work. ``closed_reason`` is the
    reason why nothing may start here, or None if requests may start.
    """

    endpoint: str
    load: LoadCount
    mean: Mean
    limits: Limits
    shares: Mapping[str, float]
    excluded: frozenset[str] = frozenset()
    full: frozenset[str] = frozenset()
    local: frozenset[str] = frozenset()
    waiting_work: float = 0.0
    closed_reason: Reason | None = None


@dataclass(frozen=True, slots=True)
class Queue:
    """The request is queued; after ``redirect_delay_ms`` it may be redirected.

    None means that it is never redirected.
    """

    redirect_delay_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Redirect:
    """The request was not run and should be tried at ``endpoint``."""

    endpoint: str
    warm: bool
    reason: Reason = Reason.REDIRECTED


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request was not run, and no endpoint is known that would run it."""

    reason: Reason
    retry_after_ms: int = 0


Verdict = Queue | Redirect | Refuse


def find_bound(mean: Mean, limits: Limits, capacity: float) -> float:
    """Return the load bound in units of work; one more request may exceed it."""
    if mean.isolated:
        return capacity
    return min(capacity, limits.load_multiple * mean.share * capacity)


def find_blocking_reason(
    load: LoadCount, mean: Mean, limits: Limits, team: str, priority: int, work: float
) -> Reason | None:
    """Return why a request can't start now, or None if it can."""
    if limits.max_running and load.count_team(team) >= limits.max_running:
        return Reason.TEAM_LIMIT
    current_load = load.load()
    if has_no_free_slot(load, limits):
        return Reason.AT_BOUND
    if load.running:
        if current_load + work > load.capacity:
            return Reason.AT_BOUND
        allowance = max(work, load.largest())
        if current_load + work > find_bound(mean, limits, load.capacity) + allowance:
            return Reason.AT_BOUND
    if priority == BATCH_PRIORITY and exceeds_batch_share(load, limits, work):
        return Reason.BATCH_SHARE
    return None


def exceeds_batch_share(load: LoadCount, limits: Limits, work: float) -> bool:
    """Check whether more batch work would exceed its share of capacity or of slots.

    One batch request may always run.
    """
    batch_work = load.sum_priority(BATCH_PRIORITY)
    n_batch_requests = load.count_priority(BATCH_PRIORITY)
    if n_batch_requests == 0:
        return False
    if batch_work + work > limits.batch_share * load.capacity:
        return True
    return (
        bool(limits.n_slots)
        and n_batch_requests + 1 > limits.batch_share * limits.n_slots
    )


def takes_last_slot(load: LoadCount, limits: Limits, team: str) -> bool:
    """Check whether a team that has half of the slots would take the last free one.

    While several teams use the engine, the last free slot is kept for the others.
    """
    n_free = limits.n_slots - len(load.running)
    return n_free == 1 and 2 * load.count_team(team) >= limits.n_slots


def has_no_free_slot(load: LoadCount, limits: Limits) -> bool:
    """Check whether the engine runs as many requests as it has slots."""
    return 0 < limits.n_slots <= len(load.running)


def choose_redirect_target(state: AdmissionState, draw: Callable[[], float]) -> str:
    """Return the less loaded of two sampled peers, or "" if none is suitable.

    A suitable peer is less loaded than this engine, is below the bound and would
    start a further request at once. If this engine has no free slot, a higher load
    than its own is accepted; if nothing may start here, any peer that isn't excluded
    is suitable.
    """
    own_load = state.load.load() + state.waiting_work
    max_share = state.limits.load_multiple * state.mean.share
    if not has_no_free_slot(state.load, state.limits):
        max_share = min(max_share, own_load / state.load.capacity)
    ineligible = state.excluded | state.full
    if state.closed_reason is not None:
        max_share = float("inf")
        ineligible = state.excluded
    candidates = sorted(
        name
        for name, share in state.shares.items()
        if name not in ineligible and name != state.endpoint and share < max_share
    )
    local = [name for name in candidates if name in state.local]
    pair = choose_two(local or candidates, state.shares, draw)
    return pair[0] if pair else ""


def decide(
    arrival: Arrival, state: AdmissionState, draw: Callable[[], float]
) -> Verdict:
    """Decide whether a request that has just arrived is queued, redirected or refused.

    A request is redirected at most ``MAX_HOPS`` times; after that it is queued here or
    refused. Only the first agent that gets it follows a pointer, so that two pointer
    tables can't send it back and forth.
    """
    if arrival.remaining_ms <= 0:
        return Refuse(Reason.DEADLINE)
    may_redirect = arrival.n_hops < MAX_HOPS
    is_first_agent = arrival.n_hops == 0
    if state.closed_reason is not None:
        target = choose_redirect_target(state, draw) if may_redirect else ""
        return redirect_or_refuse(target, state.closed_reason, state)
    if is_first_agent and not arrival.warm_here and points_elsewhere(arrival, state):
        return Redirect(arrival.pointer, warm=True)
    if (
        may_redirect
        and not arrival.warm_here
        and should_start_elsewhere(arrival, state)
    ):
        target = choose_redirect_target(state, draw)
        if target:
            return Redirect(target, warm=False)
    return Queue(
        compute_redirect_delay_ms(arrival.n_warm_tokens) if may_redirect else None
    )


def compute_redirect_delay_ms(n_warm_tokens: int) -> int:
    """Return how long a request waits here before it may be redirected.

    The delay is short if none of the chat's context is warm here. Otherwise it is
    longer than another engine would take to recompute the context, because a chat that
    moves uses memory on two engines.
    """
    if n_warm_tokens == 0:
        return COLD_REDIRECT_DELAY_MS
    recompute_ms = n_warm_tokens // PREFILL_TOKENS_PER_MS
    return min(MAX_REDIRECT_DELAY_MS, WARM_REDIRECT_DELAY_MS + recompute_ms)


def points_elsewhere(arrival: Arrival, state: AdmissionState) -> bool:
    """Check whether the pointer names another endpoint that takes work."""
    pointer = arrival.pointer
    if not pointer or pointer == state.endpoint:
        return False
    return pointer not in state.excluded


def should_start_elsewhere(arrival: Arrival, state: AdmissionState) -> bool:
    """Check whether a cold request should start on another engine.

    This is so when it could not start here at once or, at the first agent, when the
    load is more than halfway from the mean to the bound.
    """
    limits, load = state.limits, state.load
    reason = find_blocking_reason(
        load,
        state.mean,
        limits,
        arrival.team,
        arrival.priority,
        arrival.work,
    )
    if reason is not None or state.waiting_work > 0:
        return reason is not Reason.TEAM_LIMIT
    if arrival.n_hops > 0:
        return False
    halfway_multiple = (1 + limits.load_multiple) / 2
    return load.load() > halfway_multiple * state.mean.share * load.capacity


def redirect_or_refuse(endpoint: str, reason: Reason, state: AdmissionState) -> Verdict:
    """Return a redirect if an endpoint is given, else a refusal."""
    if endpoint:
        return Redirect(endpoint, warm=False, reason=reason)
    return Refuse(reason, compute_retry_after_ms(state))


def compute_retry_after_ms(state: AdmissionState) -> int:
    """Return a retry delay that grows with the work already queued."""
    backlog = state.waiting_work / state.load.capacity
    return int(min(RETRY_AFTER_MAX_MS, RETRY_AFTER_BASE_MS * (1 + backlog)))
