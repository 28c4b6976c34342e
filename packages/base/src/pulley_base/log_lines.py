"""Parsing of log lines of key=value pairs."""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event: the source it was read from, its time, its name and all fields."""

    source: str
    time: str
    event: str
    fields: dict[str, str]


def read_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events among lines of text; lines without an event are skipped.

    >>> next(read_lines("a", ['time="1 s" event=stopped n=2'])).fields
    {'time': '1 s', 'event': 'stopped', 'n': '2'}
    """
    for line in lines:
        fields = {name: unquote(value) for name, value in PAIR.findall(line)}
        if "event" in fields:
            yield LogLine(source, fields.get("time", ""), fields["event"], fields)


def unquote(value: str) -> str:
    """Return a value without its quotes and escapes.

    A quoted value that is not valid JSON only loses its quotes.
    """
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value.strip('"')
