"""Format rules as text with uniform spacing; comments are kept."""

from .grammar import SYNTAXES
from .lines import split_line
from .models import (
    CallRule,
    DrainRule,
    HoldRule,
    PinRule,
    Priority,
    ServiceRule,
    TeamRule,
)
from .values import UNITS_MS

KEYWORDS = {
    ServiceRule: "service",
    TeamRule: "team",
    CallRule: "call",
    HoldRule: "hold",
    DrainRule: "drain",
}


def format_text(text: str) -> str:
    """Return a rules file with uniform spacing, its lines and comments in order.

    >>> format_text("team  orto   weight=2 #maria:large")
    'team orto weight=2  # maria: large\\n'
    """
    lines = [format_line(line) for line in text.rstrip().split("\n")]
    return "\n".join(lines) + "\n" if any(lines) else ""


def format_line(text: str) -> str:
    """Return one line with uniform spacing."""
    line = split_line(1, text)
    words = " ".join(word.text for word in line.words)
    if line.comment is None:
        return words
    comment = f"# {format_comment(line.comment)}" if line.comment else "#"
    return f"{words}  {comment}" if words else f"# {line.comment}".rstrip()


def format_comment(comment: str) -> str:
    """Return a rule's comment as ``who: why``; without a colon it is unchanged."""
    who, colon, why = comment.partition(":")
    return f"{who.strip()}: {why.strip()}".strip() if colon else comment


def format_rule(rule: object, comment: str) -> str:
    """Return a rule as a line, without the options that have their default values.

    >>> format_rule(TeamRule("orto", weight=2.0), "maria: large team")
    'team orto weight=2.0  # maria: large team'
    """
    keyword = (
        "keep"
        if isinstance(rule, PinRule) and rule.kept_out
        else KEYWORDS.get(type(rule), "pin")
    )
    syntax = SYNTAXES[keyword]
    words = [keyword]
    for argument in syntax.arguments:
        words.append(argument.literal or str(getattr(rule, argument.name)))
    words.extend(format_options(rule, syntax))
    return f"{' '.join(words)}  # {comment}"


def format_options(rule: object, syntax) -> list[str]:
    """Return the ``key=value`` words of options that differ from their defaults."""
    fields = type(rule).__dataclass_fields__
    return [
        f"{key}={format_value(option.name, getattr(rule, option.name))}"
        for key, option in syntax.options.items()
        if getattr(rule, option.name) != fields[option.name].default
    ]


def format_value(name: str, value: object) -> str:
    """Return an option's value as it is written in a rules file."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Priority):
        return value.name.lower()
    if name.endswith("_ms"):
        return format_duration(value)
    return repr(value) if isinstance(value, float) else str(value)


def format_duration(duration_ms: int) -> str:
    """Return a duration in the largest unit (h, m, s, ms) that divides it.

    >>> format_duration(90_000)
    '90s'
    """
    for unit in ("h", "m", "s"):
        if duration_ms % UNITS_MS[unit] == 0:
            return f"{duration_ms // UNITS_MS[unit]}{unit}"
    return f"{duration_ms}ms"
