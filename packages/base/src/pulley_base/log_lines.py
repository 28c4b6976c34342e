"""Log lines of key=value pairs, read back."""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event: where it was read, when it was written, and its fields."""

    source: str
    time: str
    event: str
    fields: dict[str, str]


def read_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events among lines of text; other lines are passed over.

    >>> next(read_lines("a", ['time="1 s" event=stopped n=2'])).fields
    {'time': '1 s', 'event': 'stopped', 'n': '2'}
    """
    for line in lines:
        fields = {name: unquote(value) for name, value in PAIR.findall(line)}
        if "event" in fields:
            yield LogLine(source, fields.get("time", ""), fields["event"], fields)


def unquote(value: str) -> str:
    """Give a value without the quotes that it was written with."""
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value.strip('"')
