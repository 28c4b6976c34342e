"""Each router's part of a rate that an endpoint takes from all routers together.

Nobody counts. Each router knows the others' names, and works out from them and the rate
whether it is one of the senders, which share the rate equally. There are few senders
if the rate is low: each may save up one request, and all of these may come at once.
The other routers are observers. Each has a short turn now and then in which it may send
one request, and so hears how the rate has changed if nobody tells it.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from .buckets import MS_PER_S, TokenBucket, fill, take, wait_ms
from .placement import score_endpoint

# Senders beside one for each request per second.
SPARE_SENDERS = 3
# A sender hears of a higher rate within this time.
MAX_SENDER_INTERVAL_S = 10.0
# A sender may save up its part for this long, or one request if that is more.
BURST_S = 0.5
# All observers together have this part of the rate, and at least so many turns.
OBSERVER_SHARE = 0.1
MIN_OBSERVER_RATE_PER_S = 0.05
# An observer's turn ends unused after this time, so that turns do not add up.
TURN_MS = 2_000

Draw = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Sender:
    """A router's part of a rate in requests per second, and its largest burst."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class Observer:
    """The time between two turns of a router that is no sender."""

    interval_ms: float


@dataclass(slots=True)
class SenderAllowance:
    """What a sender may send, as tokens."""

    bucket: TokenBucket


@dataclass(slots=True)
class ObserverAllowance:
    """When an observer's turn begins, as a clock reading, and how often it comes."""

    interval_ms: float
    turn_ms: float


Role = Sender | Observer
Allowance = SenderAllowance | ObserverAllowance


def choose_role(
    rate_per_s: float,
    endpoint: bytes,
    router: str,
    routers: Collection[str],
    n_routers: int,
) -> Role:
    """Return the role of ``router`` for an endpoint that named a rate.

    ``endpoint`` is its name, at most 64 bytes. ``n_routers`` counts all routers, of
    which ``routers`` are those whose names are known.

    >>> names = ["a", "b", "c", "d", "e", "f", "g", "h"]
    >>> roles = [choose_role(1.0, b"endpoint", name, names, 8) for name in names]
    >>> sum(role == Sender(0.25, 1.0) for role in roles)
    4
    """
    n_senders = count_senders(rate_per_s, n_routers)
    if n_senders < n_routers and not is_among_first(
        endpoint, router, routers, n_senders
    ):
        total = max(rate_per_s * OBSERVER_SHARE, MIN_OBSERVER_RATE_PER_S)
        return Observer(n_routers / total * MS_PER_S)
    part = max(rate_per_s / n_senders, 1 / MAX_SENDER_INTERVAL_S)
    return Sender(part, max(1.0, part * BURST_S))


def count_senders(rate_per_s: float, n_routers: int) -> int:
    """Return how many of the routers share a rate.

    >>> [count_senders(rate, 8) for rate in (0.0, 1.9, 500.0)]
    [3, 4, 8]
    """
    return min(n_routers, int(rate_per_s) + SPARE_SENDERS)


def is_among_first(
    endpoint: bytes, router: str, routers: Collection[str], n_first: int
) -> bool:
    """Check whether a router ranks among the first for an endpoint.

    Ranks go by rendezvous hashing: if a router joins or leaves, one other changes.
    """
    own = (score_endpoint(endpoint, router), router)
    n_before = sum((score_endpoint(endpoint, name), name) > own for name in routers)
    return n_before < n_first


def update_allowance(
    allowance: Allowance | None, role: Role, now_ms: int, draw: Draw
) -> Allowance:
    """Return the allowance for a role, None or another one for what was before.

    A new one begins empty. Observers' turns begin at random.
    """
    if isinstance(role, Observer):
        if isinstance(allowance, ObserverAllowance):
            allowance.interval_ms = role.interval_ms
            allowance.turn_ms = min(allowance.turn_ms, now_ms + role.interval_ms)
            return allowance
        turn_ms = now_ms + draw() * role.interval_ms
        return ObserverAllowance(role.interval_ms, turn_ms)
    if isinstance(allowance, SenderAllowance):
        fill(allowance.bucket, now_ms)
        allowance.bucket.rate_per_s = role.rate_per_s
        allowance.bucket.capacity = role.burst
        return allowance
    return SenderAllowance(TokenBucket(role.rate_per_s, role.burst, 0.0, now_ms))


def allow_one(allowance: Allowance, now_ms: int) -> None:
    """Let a router send one request at once."""
    if isinstance(allowance, ObserverAllowance):
        allowance.turn_ms = now_ms
    else:
        allowance.bucket.left = max(1.0, fill(allowance.bucket, now_ms))


def sends_in_ms(allowance: Allowance, now_ms: int) -> float:
    """Return when a router may send its next request, in ms from now; 0 if at once."""
    if isinstance(allowance, SenderAllowance):
        return wait_ms(allowance.bucket, now_ms)
    skip_missed_turns(allowance, now_ms)
    return max(0.0, allowance.turn_ms - now_ms)


def take_request(allowance: Allowance, now_ms: int) -> bool:
    """Count one request against an allowance; return False if none is left."""
    if isinstance(allowance, SenderAllowance):
        return take(allowance.bucket, now_ms)
    if sends_in_ms(allowance, now_ms) > 0:
        return False
    allowance.turn_ms = now_ms + allowance.interval_ms
    return True


def skip_missed_turns(allowance: ObserverAllowance, now_ms: int) -> None:
    """Move a turn that has ended unused to the next one."""
    missed_ms = now_ms - allowance.turn_ms - TURN_MS
    if missed_ms >= 0:
        n_turns = missed_ms // allowance.interval_ms + 1
        allowance.turn_ms += n_turns * allowance.interval_ms
