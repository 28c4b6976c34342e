"""Look up what the rules say about a call, token, service, team or endpoint."""

from dataclasses import dataclass
from hashlib import sha256

from pulley_base import ABSENT, Sentinel

from .models import (
    CallRule,
    DrainRule,
    HoldRule,
    PinRule,
    Priority,
    Rules,
    Subject,
    TeamRule,
)

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
UNKNOWN_TOKEN = ABSENT.because("no team has this token")


@dataclass(frozen=True, slots=True)
class Call:
    """Whether a request is idempotent and may be repeated, and its priority."""

    idempotent: bool
    priority: Priority


@dataclass(frozen=True, slots=True)
class Placement:
    """The places that a request is pinned to and those that it is excluded from.

    Endpoints are given as ``IP:port`` and data centres by name. An empty
    ``pinned_*`` set requires nothing.
    """

    pinned_endpoints: frozenset[str] = frozenset()
    pinned_data_centres: frozenset[str] = frozenset()
    excluded_endpoints: frozenset[str] = frozenset()
    excluded_data_centres: frozenset[str] = frozenset()


UNRESTRICTED = Placement()


def find_call(rules: Rules, service: str, method: str, path: str) -> Call:
    """Resolve a request's idempotence and priority.

    The rule with the longest path prefix takes precedence; of two equal prefixes,
    the rule that names the method precedes the rule for all methods. A value that
    a rule leaves open comes from the next matching rule, then from the defaults:
    GET, HEAD, PUT, DELETE, OPTIONS and completions are idempotent, and every call
    is interactive. A prefix matches whole path segments only. The query is ignored.
    """
    path = path.partition("?")[0]
    matching = [
        rule for rule in rules.calls if matches_call(rule, service, method, path)
    ]
    matching.sort(key=lambda rule: (len(rule.path), rule.method != "*"), reverse=True)
    idempotent_values = (r.idempotent for r in matching if r.idempotent is not None)
    priorities = (r.priority for r in matching if r.priority is not None)
    return Call(
        idempotent=next(idempotent_values, is_idempotent(method, path)),
        priority=next(priorities, Priority.INTERACTIVE),
    )


def matches_call(rule: CallRule, service: str, method: str, path: str) -> bool:
    """Check whether a rule applies to a call."""
    if rule.service != service or rule.method not in ("*", method):
        return False
    prefix = rule.path.rstrip("/")
    return path.startswith(prefix) and path[len(prefix) : len(prefix) + 1] in ("", "/")


def is_idempotent(method: str, path: str) -> bool:
    """Check whether a call is idempotent by default."""
    is_completion = method == "POST" and path in COMPLETION_PATHS
    return is_completion or method in IDEMPOTENT_METHODS


def find_team(rules: Rules, token: str) -> TeamRule | Sentinel:
    """Return the team of a bearer token, or a falsy sentinel if no team has it."""
    name = rules.tokens.get(sha256(token.encode()).hexdigest())
    return rules.teams[name] if name is not None else UNKNOWN_TOKEN


def is_held(rules: Rules, service: str, team: str) -> bool:
    """Check whether a rule puts the service or the team on hold."""
    if not rules.holds:
        return False
    return (
        HoldRule(Subject.SERVICE, service) in rules.holds
        or HoldRule(Subject.TEAM, team) in rules.holds
    )


def is_drained(rules: Rules, endpoint: str, data_centre: str) -> bool:
    """Check whether a rule drains an endpoint or its data centre."""
    if not rules.drains:
        return False
    return (
        DrainRule(Subject.ENDPOINT, endpoint) in rules.drains
        or DrainRule(Subject.DATA_CENTRE, data_centre) in rules.drains
    )


def find_placement(rules: Rules, chat: bytes, team: str) -> Placement:
    """Return where a chat may go; a chat's pin takes precedence over its team's."""
    if not rules.pins:
        return UNRESTRICTED
    name = chat.hex()
    chat_pins = [
        pin for pin in rules.pins if (pin.subject, pin.name) == (Subject.CHAT, name)
    ]
    team_pins = [
        pin for pin in rules.pins if (pin.subject, pin.name) == (Subject.TEAM, team)
    ]
    required_pins = [pin for pin in chat_pins if not pin.kept_out] or team_pins
    return Placement(
        pinned_endpoints=select_places(required_pins, Subject.ENDPOINT, False),
        pinned_data_centres=select_places(required_pins, Subject.DATA_CENTRE, False),
        excluded_endpoints=select_places(chat_pins + team_pins, Subject.ENDPOINT, True),
        excluded_data_centres=select_places(
            chat_pins + team_pins, Subject.DATA_CENTRE, True
        ),
    )


def select_places(pins: list[PinRule], place: Subject, kept_out: bool) -> frozenset:
    """Return the names of one kind of place that pins require or exclude."""
    return frozenset(
        pin.place_name
        for pin in pins
        if pin.place is place and pin.kept_out == kept_out
    )
