"""Checks across lines: duplicates, undefined names, contradictions and limits."""

from collections.abc import Iterator
from dataclasses import dataclass

from .errors import Problem, suggest_word
from .lines import split_line
from .models import (
    CallRule,
    DrainRule,
    HoldRule,
    PinRule,
    Priority,
    ServiceRule,
    Subject,
    TeamRule,
)

MAX_TEXT_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Rule:
    """One parsed rule with the number, counted from 1, and the text of its line."""

    number: int
    text: str
    value: object


def check_rules(parsed: list[Rule]) -> Iterator[Problem]:
    """Yield every problem that involves more than one line or option."""
    yield from check_duplicates(parsed)
    yield from check_names(parsed)
    yield from check_tokens(parsed)
    yield from check_pins(parsed)
    yield from check_service_limits(parsed)


def check_size(text: str) -> Iterator[Problem]:
    """Yield a problem if the text is too large for one value of the store."""
    n_bytes = len(text.encode())
    if n_bytes > MAX_TEXT_BYTES:
        found = f"a file of {n_bytes} bytes"
        yield Problem(1, 1, found, f"at most {MAX_TEXT_BYTES} bytes")


def make_rule_problem(
    rule: Rule, word_index: int, expected: str, choices=()
) -> Problem:
    """Build the problem of one word, counted from 0, of a rule's line."""
    found = split_line(rule.number, rule.text).words[word_index]
    suggestion = suggest_word(found.text, choices)
    return Problem(rule.number, found.column, repr(found.text), expected, suggestion)


def build_rule_key(value: object) -> tuple:
    """Return the key that only one rule of a file may have."""
    kind = type(value).__name__
    match value:
        case ServiceRule() | TeamRule():
            return (kind, value.name)
        case CallRule():
            return (kind, value.service, value.method, value.path)
        case HoldRule() | DrainRule():
            return (kind, value.subject, value.name)
        case _:
            return (kind, value.subject, value.name, value.place, value.place_name)


def check_duplicates(parsed: list[Rule]) -> Iterator[Problem]:
    """Yield a problem for each rule whose key another line already has."""
    seen: dict[tuple, Rule] = {}
    for rule in parsed:
        first = seen.setdefault(build_rule_key(rule.value), rule)
        if first is rule:
            continue
        expected = f"one rule for this; line {first.number} has it already"
        if isinstance(rule.value, PinRule) and rule.value != first.value:
            expected = f"no contradiction; line {first.number} says the opposite"
        yield make_rule_problem(rule, 1 if len(rule.text.split()) > 1 else 0, expected)


def check_names(parsed: list[Rule]) -> Iterator[Problem]:
    """Yield a problem for each reference to a service or team that no line defines."""
    services = {r.value.name for r in parsed if isinstance(r.value, ServiceRule)}
    teams = {r.value.name for r in parsed if isinstance(r.value, TeamRule)}
    known = {Subject.SERVICE: services, Subject.TEAM: teams}
    for rule in parsed:
        value = rule.value
        if isinstance(value, CallRule) and value.service not in services:
            expected = "a service that a line defines"
            yield make_rule_problem(rule, 1, expected, services)
        elif isinstance(value, HoldRule | PinRule):
            names = known.get(value.subject)
            if names is not None and value.name not in names:
                expected = f"a {value.subject} that a line defines"
                yield make_rule_problem(rule, 2, expected, names)


def check_tokens(parsed: list[Rule]) -> Iterator[Problem]:
    """Yield a problem for shared tokens, and for missing ones if any team has one."""
    teams = [rule for rule in parsed if isinstance(rule.value, TeamRule)]
    if not any(rule.value.token_sha256 for rule in teams):
        return
    owners: dict[str, Rule] = {}
    for rule in teams:
        token = rule.value.token_sha256
        if not token:
            expected = "token-sha256=, as other teams have one: nobody could call"
            yield make_rule_problem(rule, 1, expected)
        elif owners.setdefault(token, rule) is not rule:
            first = owners[token]
            expected = f"a token of its own; line {first.number} has the same"
            yield make_rule_problem(rule, 1, expected)


def check_pins(parsed: list[Rule]) -> Iterator[Problem]:
    """Yield a problem for each pin that conflicts with another pin or with a drain."""
    drains = {
        (r.value.subject, r.value.name): r
        for r in parsed
        if isinstance(r.value, DrainRule)
    }
    pinned: dict[tuple, Rule] = {}
    for rule in parsed:
        value = rule.value
        if not isinstance(value, PinRule) or value.kept_out:
            continue
        first = pinned.setdefault((value.subject, value.name), rule)
        drain = drains.get((value.place, value.place_name))
        if first is not rule and first.value != value:
            expected = f"one pin; line {first.number} pins it elsewhere"
            yield make_rule_problem(rule, 2, expected)
        if drain is not None:
            expected = f"a place with work; line {drain.number} drains it"
            yield make_rule_problem(rule, 5, expected)


def check_service_limits(parsed: list[Rule]) -> Iterator[Problem]:
    """Yield a problem for each option that its service's limits contradict.

    These are a queue time longer than the deadline and calls of priority batch to a
    service whose batch share is 0.
    """
    services = {r.value.name: r for r in parsed if isinstance(r.value, ServiceRule)}
    for rule in services.values():
        if rule.value.queue_ms > rule.value.deadline_ms:
            yield make_rule_problem(rule, 1, "queue= no longer than deadline=")
    for rule in parsed:
        value = rule.value
        if not isinstance(value, CallRule) or value.priority is not Priority.BATCH:
            continue
        service = services.get(value.service)
        if service is not None and service.value.batch_share == 0:
            expected = f"no batch calls; line {service.number} gives batch-share=0"
            yield make_rule_problem(rule, 1, expected)
