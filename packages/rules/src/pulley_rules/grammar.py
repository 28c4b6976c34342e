"""The syntax of each kind of rule: its required words and its options."""

from collections.abc import Callable
from dataclasses import dataclass

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
from .values import (
    FLAGS,
    KINDS,
    METHODS,
    parse_chat,
    parse_count,
    parse_duration,
    parse_endpoint,
    parse_flag,
    parse_kind,
    parse_method,
    parse_multiple,
    parse_name,
    parse_path,
    parse_priority,
    parse_sha256,
    parse_share,
    parse_weight,
)

ValueParser = Callable[[str], object]


@dataclass(frozen=True, slots=True)
class Argument:
    """One required word of a rule.

    ``name`` is the field of the rule that gets the value of ``parse``; a word that
    must equal ``literal`` has no field. ``choices`` are the words that an error
    message may suggest. If the parser depends on the preceding word,
    ``parsers_by_subject`` maps that word to it.
    """

    name: str
    parse: ValueParser | None = None
    choices: tuple[str, ...] = ()
    literal: str = ""
    parsers_by_subject: dict[str, ValueParser] | None = None


@dataclass(frozen=True, slots=True)
class Option:
    """One optional ``key=value`` of a rule; a flag may omit ``=value``, meaning yes."""

    name: str
    parse: ValueParser
    choices: tuple[str, ...] = ()
    is_flag: bool = False


@dataclass(frozen=True, slots=True)
class RuleSyntax:
    """The syntax of one kind of rule.

    ``arguments`` are the words after the keyword, in order. ``build`` makes the
    rule from the parsed fields. ``usage`` is shown if a word is missing.
    """

    arguments: tuple[Argument, ...]
    options: dict[str, Option]
    build: Callable[..., object]
    usage: str


NAME_PARSERS = {
    Subject.SERVICE: parse_name,
    Subject.TEAM: parse_name,
    Subject.CHAT: parse_chat,
    Subject.ENDPOINT: parse_endpoint,
    Subject.DATA_CENTRE: parse_name,
}


def make_subject_parser(*subjects: Subject) -> ValueParser:
    """Return a parser that accepts the words of ``subjects`` only."""

    def parse(text: str) -> Subject:
        if text not in subjects:
            raise ValueError(f"one of {', '.join(subjects)}")
        return Subject(text)

    return parse


def build_name_arguments(prefix: str, *subjects: Subject) -> tuple[Argument, Argument]:
    """Build the arguments of a subject and its name, as fields with ``prefix``."""
    kind = "subject" if not prefix else prefix
    name = "name" if not prefix else f"{prefix}_name"
    return (
        Argument(kind, make_subject_parser(*subjects), choices=subjects),
        Argument(name, parsers_by_subject=NAME_PARSERS),
    )


def build_pin(**fields) -> PinRule:
    """Build the rule that pins a chat or team to a place."""
    return PinRule(**fields)


def build_exclusion(**fields) -> PinRule:
    """Build the rule that keeps a chat or team out of a place."""
    return PinRule(kept_out=True, **fields)


PRIORITIES = tuple(priority.name.lower() for priority in Priority)
PIN_SUBJECTS = (Subject.CHAT, Subject.TEAM)
PLACES = (Subject.ENDPOINT, Subject.DATA_CENTRE)

SYNTAXES = {
    "service": RuleSyntax(
        arguments=(Argument("name", parse_name),),
        options={
            "kind": Option("kind", parse_kind, KINDS),
            "load-multiple": Option("load_multiple", parse_multiple),
            "deadline": Option("deadline_ms", parse_duration),
            "queue": Option("queue_ms", parse_duration),
            "batch-share": Option("batch_share", parse_share),
            "fencing": Option("fencing", parse_flag, tuple(FLAGS), is_flag=True),
        },
        build=ServiceRule,
        usage="service NAME [kind= load-multiple= deadline= queue= batch-share= "
        "fencing=]",
    ),
    "team": RuleSyntax(
        arguments=(Argument("name", parse_name),),
        options={
            "weight": Option("weight", parse_weight),
            "max-running": Option("max_running", parse_count),
            "token-sha256": Option("token_sha256", parse_sha256),
        },
        build=TeamRule,
        usage="team NAME [weight= max-running= token-sha256=]",
    ),
    "call": RuleSyntax(
        arguments=(
            Argument("service", parse_name),
            Argument("method", parse_method, METHODS),
            Argument("path", parse_path),
        ),
        options={
            "idempotent": Option("idempotent", parse_flag, tuple(FLAGS), is_flag=True),
            "priority": Option("priority", parse_priority, PRIORITIES),
        },
        build=CallRule,
        usage="call SERVICE METHOD PATH [idempotent= priority=]",
    ),
    "hold": RuleSyntax(
        arguments=build_name_arguments("", Subject.SERVICE, Subject.TEAM),
        options={},
        build=HoldRule,
        usage="hold service|team NAME",
    ),
    "drain": RuleSyntax(
        arguments=build_name_arguments("", *PLACES),
        options={},
        build=DrainRule,
        usage="drain endpoint|data-centre NAME",
    ),
    "pin": RuleSyntax(
        arguments=(
            *build_name_arguments("", *PIN_SUBJECTS),
            Argument("", literal="to"),
            *build_name_arguments("place", *PLACES),
        ),
        options={},
        build=build_pin,
        usage="pin chat|team NAME to endpoint|data-centre NAME",
    ),
    "keep": RuleSyntax(
        arguments=(
            *build_name_arguments("", *PIN_SUBJECTS),
            Argument("", literal="out-of"),
            *build_name_arguments("place", *PLACES),
        ),
        options={},
        build=build_exclusion,
        usage="keep chat|team NAME out-of endpoint|data-centre NAME",
    ),
}
