"""What a router knows of each endpoint's load and health."""

from collections.abc import Collection
from dataclasses import dataclass, field

from pulley_base import Clock
from pulley_policy.health import (
    PASS_OVER_MS,
    Record,
    is_outlier,
    may_pass_over,
    note_outcomes,
)
from pulley_policy.retries import double_ms

from .models import ReportedLoad

# A report says little once its endpoint has had time to finish most requests.
REPORT_LIFE_MS = 3_000
# One failure costs an endpoint little; one that stays down is tried every few seconds.
HOLD_OFF_FIRST_MS = 250
HOLD_OFF_MOST_MS = 4_000


@dataclass(slots=True)
class EndpointState:
    """One endpoint as seen from here.

    ``others`` is what the endpoint last reported beyond this router's own
    requests, known at ``reported_ms``. It gets no work until ``held_until_ms``
    unless no other endpoint is left. ``unreachable`` says that the last try to
    connect to it failed. ``record`` counts how well it served; up to
    ``passed_over_until_ms`` it gets no work as it serves far worse than the others.
    """

    in_flight: int = 0
    others: float = 0.0
    reported_ms: int = 0
    n_failures: int = 0
    held_until_ms: int = 0
    unreachable: bool = False
    record: Record = field(default_factory=Record)
    passed_over_until_ms: int = 0


@dataclass(slots=True)
class LoadTable:
    """The states of all endpoints by name, and the outcomes of each service."""

    clock: Clock
    states: dict[str, EndpointState] = field(default_factory=dict)
    services: dict[str, Record] = field(default_factory=dict)


def state_of(table: LoadTable, name: str) -> EndpointState:
    """Give an endpoint's state, a new one for an unknown endpoint."""
    return table.states.setdefault(name, EndpointState())


def estimate_load(table: LoadTable, name: str) -> float:
    """Give the requests that an endpoint probably holds now."""
    state = table.states.get(name)
    if state is None:
        return 0.0
    age_ms = table.clock.now_ms() - state.reported_ms
    fresh = max(0.0, 1.0 - age_ms / REPORT_LIFE_MS)
    return state.in_flight + state.others * fresh


def note_report(table: LoadTable, name: str, report: ReportedLoad | None) -> None:
    """Take in what an endpoint reported with an answer of ours."""
    if report is None:
        return
    state = state_of(table, name)
    held = report.running + report.waiting
    state.others = max(0.0, held - state.in_flight)
    state.reported_ms = table.clock.now_ms()


def note_success(table: LoadTable, name: str) -> None:
    """Note that an endpoint answered."""
    state = state_of(table, name)
    state.n_failures = 0
    state.held_until_ms = 0
    state.unreachable = False


def note_failure(table: LoadTable, name: str) -> int:
    """Hold an endpoint off, longer with each failure in a row; gives until when."""
    state = state_of(table, name)
    hold_ms = double_ms(HOLD_OFF_FIRST_MS, HOLD_OFF_MOST_MS, state.n_failures)
    state.n_failures += 1
    state.held_until_ms = table.clock.deadline_ms(hold_ms)
    return state.held_until_ms


def note_outcome(table: LoadTable, name: str, service: str, *, good: bool) -> None:
    """Count an answer in time, or one that was late or wrong or did not come."""
    record = state_of(table, name).record
    total = table.services.setdefault(service, Record())
    note_outcomes(record, total, float(good), float(not good), table.clock.now_ms())


def pass_over_outlier(
    table: LoadTable, name: str, service: str, names: Collection[str]
) -> bool:
    """Give an endpoint no work for a while if it is far worse than the others.

    ``names`` are the endpoints of its service.
    """
    now_ms = table.clock.now_ms()
    state = state_of(table, name)
    if not is_outlier(state.record, table.services[service]):
        return False
    states = [table.states[other] for other in names if other in table.states]
    n_passed_over = sum(one.passed_over_until_ms > now_ms for one in states)
    if not may_pass_over(n_passed_over, len(names)):
        return False
    state.passed_over_until_ms = now_ms + PASS_OVER_MS
    return True


def is_ready(table: LoadTable, name: str) -> bool:
    """Tell whether an endpoint is neither held off nor passed over."""
    state = table.states.get(name)
    if state is None:
        return True
    return max(state.held_until_ms, state.passed_over_until_ms) <= table.clock.now_ms()


def is_held_off(table: LoadTable, name: str) -> bool:
    """Tell whether an endpoint failed lately and has not answered since."""
    state = table.states.get(name)
    return state is not None and state.held_until_ms > table.clock.now_ms()


def is_unreachable(table: LoadTable, name: str) -> bool:
    """Tell whether the last try to connect to an endpoint failed."""
    state = table.states.get(name)
    return state is not None and state.unreachable


def forget_missing(table: LoadTable, listed: set[str]) -> None:
    """Drop the states of endpoints that are no longer listed and hold nothing."""
    idle = (name for name, state in table.states.items() if not state.in_flight)
    for name in [name for name in idle if name not in listed]:
        del table.states[name]
