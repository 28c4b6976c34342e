"""Each endpoint's load and health as this router knows them."""

from collections.abc import Collection
from dataclasses import dataclass, field

from pulley_base import Clock
from pulley_policy.estimates import Sighting
from pulley_policy.health import (
    EJECTION_MS,
    Record,
    is_outlier,
    may_eject,
    record_outcomes,
)
from pulley_policy.rate_shares import Allowance
from pulley_policy.retries import double_ms

from .models import USUAL_PERCENT, ReportedLoad

# A single failure takes an endpoint out only briefly; one that stays down is tried
# every few seconds.
BACKOFF_INITIAL_MS = 250
BACKOFF_MAX_MS = 4_000
# An endpoint that asks for a longer pause is tried after this time.
MAX_CLOSED_MS = 3_600_000
# The clock reading of a report that has not been heard yet.
NEVER_MS = -1_000_000
# The limit of an endpoint that is not listed is kept for this long.
LIMIT_MEMORY_MS = 60_000


@dataclass(slots=True)
class RateLimit:
    """The rate, in requests per second, that an endpoint takes from all routers.

    It holds for one start of the endpoint, a Unix time in ms. ``allowance`` is this
    router's part, worked out at ``shared_ms``. ``heard_ms`` is the clock reading of the
    last answer that named it, ``told_rate_per_s`` what other routers were told at
    ``told_ms``.
    """

    rate_per_s: float
    started_ms: int
    allowance: Allowance | None = None
    shared_ms: int = 0
    heard_ms: int = 0
    told_rate_per_s: float | None = None
    told_ms: int = 0


@dataclass(slots=True)
class EndpointState:
    """One endpoint's state as this router sees it.

    ``in_flight`` counts this router's own requests, ``other_requests`` those that
    the endpoint reported beyond them at ``reported_ms``, with ``duration_percent``, how
    long work takes there. Until
    ``backoff_until_ms`` the endpoint gets no work unless no other endpoint is
    left. ``unreachable`` says that the last attempt to connect to it failed.
    ``record`` counts its good and bad outcomes; until ``ejected_until_ms`` the
    endpoint gets no work because it serves far worse than the others. Until
    ``closed_until_ms`` it gets none because it asked for a pause, also if no other
    endpoint is left. ``limit`` is the rate that it has named, ``cold_limit`` the one
    that holds while it is cold, None without one. Other
    routers are not told of its load again before ``tell_after_ms``.
    """

    in_flight: int = 0
    other_requests: float = 0.0
    reported_ms: int = NEVER_MS
    duration_percent: int = USUAL_PERCENT
    n_failures: int = 0
    backoff_until_ms: int = 0
    unreachable: bool = False
    record: Record = field(default_factory=Record)
    ejected_until_ms: int = 0
    closed_until_ms: int = 0
    limit: RateLimit | None = None
    cold_limit: RateLimit | None = None
    tell_after_ms: int = 0


@dataclass(slots=True)
class LoadTable:
    """The states of all endpoints by name, and the outcomes of each service."""

    clock: Clock
    states: dict[str, EndpointState] = field(default_factory=dict)
    services: dict[str, Record] = field(default_factory=dict)


def get_state(table: LoadTable, name: str) -> EndpointState:
    """Return an endpoint's state; an unknown endpoint gets a new one."""
    return table.states.setdefault(name, EndpointState())


def find_sighting(table: LoadTable, name: str) -> Sighting:
    """Return what is known of an endpoint's load, without recording anything."""
    state = table.states.get(name) or EndpointState()
    return Sighting(
        state.in_flight + state.other_requests,
        state.in_flight,
        table.clock.now_ms() - state.reported_ms,
        state.duration_percent,
    )


def record_report(table: LoadTable, name: str, report: ReportedLoad | None) -> None:
    """Record the load that an endpoint reported with an answer to this router."""
    if report is not None:
        record_load(table, name, report.n_requests, report.duration_percent)


def record_load(
    table: LoadTable,
    name: str,
    n_requests: int,
    duration_percent: int = USUAL_PERCENT,
) -> None:
    """Record how many requests an endpoint holds now, those of this router included.

    ``duration_percent`` is how long work takes there, 100 as usual.
    """
    state = get_state(table, name)
    state.other_requests = max(0.0, n_requests - state.in_flight)
    state.reported_ms = table.clock.now_ms()
    state.duration_percent = duration_percent


def record_success(table: LoadTable, name: str) -> None:
    """Record that an endpoint answered, and end its backoff."""
    state = get_state(table, name)
    state.n_failures = 0
    state.backoff_until_ms = 0
    state.unreachable = False


def start_backoff(table: LoadTable, name: str) -> int:
    """Put an endpoint into backoff, for longer after each consecutive failure.

    Returns the clock reading in ms at which the backoff ends.
    """
    state = get_state(table, name)
    backoff_ms = double_ms(BACKOFF_INITIAL_MS, BACKOFF_MAX_MS, state.n_failures)
    state.n_failures += 1
    state.backoff_until_ms = table.clock.deadline_ms(backoff_ms)
    return state.backoff_until_ms


def record_outcome(table: LoadTable, name: str, service: str, *, good: bool) -> None:
    """Count one outcome: good for an answer in time; else late, wrong or missing."""
    record = get_state(table, name).record
    service_record = table.services.setdefault(service, Record())
    record_outcomes(
        record, service_record, float(good), float(not good), table.clock.now_ms()
    )


def eject_outlier(
    table: LoadTable, name: str, service: str, names: Collection[str]
) -> bool:
    """Eject an endpoint for ``EJECTION_MS`` if it serves far worse than the others.

    ``names`` are the endpoints of its service. Returns False, without a change,
    if the endpoint is no outlier or too many of them are ejected already.
    """
    now_ms = table.clock.now_ms()
    state = get_state(table, name)
    if not is_outlier(state.record, table.services[service]):
        return False
    states = [table.states[other] for other in names if other in table.states]
    n_ejected = sum(one.ejected_until_ms > now_ms for one in states)
    if not may_eject(n_ejected, len(names)):
        return False
    state.ejected_until_ms = now_ms + EJECTION_MS
    return True


def is_eligible(table: LoadTable, name: str) -> bool:
    """Check that an endpoint is neither in backoff nor ejected."""
    state = table.states.get(name)
    if state is None:
        return True
    return max(state.backoff_until_ms, state.ejected_until_ms) <= table.clock.now_ms()


def close_endpoint(table: LoadTable, name: str, duration_ms: int) -> int:
    """Give an endpoint no work for the time that it asked for; return that time in ms.

    A longer pause that it asked for before goes on.
    """
    state = get_state(table, name)
    duration_ms = min(duration_ms, MAX_CLOSED_MS)
    until_ms = table.clock.deadline_ms(duration_ms)
    state.closed_until_ms = max(state.closed_until_ms, until_ms)
    return duration_ms


def closed_left_ms(table: LoadTable, name: str) -> int:
    """Return for how long an endpoint still wants no work, 0 if it takes some."""
    state = table.states.get(name)
    if state is None:
        return 0
    return max(0, state.closed_until_ms - table.clock.now_ms())


def is_closed(table: LoadTable, name: str) -> bool:
    """Check whether an endpoint has asked for a pause that is not over."""
    return closed_left_ms(table, name) > 0


def is_backing_off(table: LoadTable, name: str) -> bool:
    """Check whether an endpoint is in backoff after a failure."""
    state = table.states.get(name)
    return state is not None and state.backoff_until_ms > table.clock.now_ms()


def is_unreachable(table: LoadTable, name: str) -> bool:
    """Check whether the last attempt to connect to an endpoint failed."""
    state = table.states.get(name)
    return state is not None and state.unreachable


def remove_unlisted(table: LoadTable, listed: set[str]) -> None:
    """Remove the states of unlisted endpoints, unless they still matter.

    They do while a request is in flight, a pause lasts or a limit was named lately: an
    endpoint may be listed again.
    """
    named_after_ms = table.clock.now_ms() - LIMIT_MEMORY_MS
    for name in table.states.keys() - listed:
        state = table.states[name]
        named = state.limit is not None and state.limit.heard_ms > named_after_ms
        if not (state.in_flight or named or is_closed(table, name)):
            del table.states[name]
