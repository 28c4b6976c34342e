"""`plantainpulley explain`: one request's story out of many processes' logs."""

import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import chain
from pathlib import Path

from pulley_base import SettingsError
from pulley_base.log_lines import LogLine, read_lines
from pulley_base.settings import EXIT_BAD_SETTING

# Events that change what a process believes; the last of each kind before a
# request's own lines belongs to its story.
BELIEF_EVENTS = (
    "configuration_installed",
    "store_lost",
    "store_regained",
    "draining",
)
ENDPOINT_EVENTS = ("endpoint_listed", "endpoint_removed", "endpoint_lapsed")
HIDDEN_FIELDS = ("time", "level", "logger", "event", "request")
EXIT_NOT_FOUND = 1


@dataclass(frozen=True, slots=True)
class Story:
    """What bears on one request: beliefs before it, then its own lines."""

    background: list[LogLine]
    lines: list[LogLine]


def explain(request_id: str, *files: str) -> int:
    """Tell what became of a request, from its id.

    Reads the log files of any number of processes, standard input where none is
    named. Exit status 1 where no line names the request, 2 where a
    file can't be read.

    :param request_id: the id that the caller sent with the request
    :param files: log files, one for each process
    """
    try:
        lines = list(read_files(files))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTING
    story = tell_story(request_id, lines)
    if not story.lines:
        print(f"no line names the request {request_id}", file=sys.stderr)
        return EXIT_NOT_FOUND
    for line in chain(story.background, story.lines):
        print(format_line(line))
    return 0


def read_files(files: Sequence[str]) -> Iterator[LogLine]:
    """Yield the events of all files; raises SettingsError for an unreadable one."""
    if not files:
        yield from read_lines("-", sys.stdin)
    for name in files:
        try:
            text = Path(name).read_text(errors="replace")
        except OSError as error:
            raise SettingsError(f"{name}: {error}", step="explain") from error
        yield from read_lines(Path(name).name, text.splitlines())


def tell_story(request_id: str, lines: list[LogLine]) -> Story:
    """Pick the lines that bear on a request, in the order of their times."""
    lines = sorted(lines, key=lambda line: line.time)
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return Story([], [])
    sources = {line.source for line in own}
    endpoints = {name for line in own for name in endpoints_of(line)}
    last: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.time > own[-1].time or line.source not in sources:
            continue
        if line.event in BELIEF_EVENTS:
            last[line.source, line.event] = line
        elif line.event in ENDPOINT_EVENTS and line.fields["endpoint"] in endpoints:
            last[line.source, line.fields["endpoint"]] = line
    return Story(sorted(last.values(), key=lambda line: line.time), own)


def endpoints_of(line: LogLine) -> Iterator[str]:
    """Yield the endpoints that a line names."""
    yield from filter(None, line.fields.get("sent", "").split(","))
    if "endpoint" in line.fields:
        yield line.fields["endpoint"]


def format_line(line: LogLine) -> str:
    """Give one line of the story."""
    pairs = (
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS
    )
    return f"{line.time}  {line.source}  {line.event}  {' '.join(pairs)}"
