"""`plantainpulley explain`: one request's log lines from many processes."""

import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import chain
from pathlib import Path

from pulley_base import SettingsError
from pulley_base.log_lines import LogLine, read_lines
from pulley_base.settings import EXIT_BAD_SETTING

# Events that change a process's state; the last of each kind before a request's
# own lines is part of its trace.
STATE_EVENTS = (
    "configuration_installed",
    "store_lost",
    "store_regained",
    "draining",
)
ENDPOINT_EVENTS = ("endpoint_listed", "endpoint_removed", "endpoint_lapsed")
HIDDEN_FIELDS = ("time", "level", "logger", "event", "request")
EXIT_NOT_FOUND = 1


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """The log lines on one request: earlier state changes, and its own lines."""

    background: list[LogLine]
    lines: list[LogLine]


def explain(request_id: str, *files: str) -> int:
    """Print the log lines that concern a request, found by its id.

    Reads the log files of any number of processes, standard input if none is named.
    Exit status 1 if no line names the request, 2 if a file can't be read.

    :param request_id: the id that the caller sent with the request
    :param files: log files, one for each process
    """
    try:
        lines = list(read_files(files))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTING
    trace = select_trace(request_id, lines)
    if not trace.lines:
        print(f"no line names the request {request_id}", file=sys.stderr)
        return EXIT_NOT_FOUND
    for line in chain(trace.background, trace.lines):
        print(format_line(line))
    return 0


def read_files(files: Sequence[str]) -> Iterator[LogLine]:
    """Yield the events of all files; raise SettingsError for an unreadable one."""
    if not files:
        yield from read_lines("-", sys.stdin)
    for name in files:
        try:
            text = Path(name).read_text(errors="replace")
        except OSError as error:
            raise SettingsError(f"{name}: {error}", step="explain") from error
        yield from read_lines(Path(name).name, text.splitlines())


def select_trace(request_id: str, lines: list[LogLine]) -> RequestTrace:
    """Select the lines that concern a request, in chronological order."""
    lines = sorted(lines, key=lambda line: line.time)
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return RequestTrace([], [])
    sources = {line.source for line in request_lines}
    endpoints = {name for line in request_lines for name in endpoints_of(line)}
    last: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.time > request_lines[-1].time or line.source not in sources:
            continue
        if line.event in STATE_EVENTS:
            last[line.source, line.event] = line
        elif line.event in ENDPOINT_EVENTS and line.fields["endpoint"] in endpoints:
            last[line.source, line.fields["endpoint"]] = line
    return RequestTrace(
        sorted(last.values(), key=lambda line: line.time), request_lines
    )


def endpoints_of(line: LogLine) -> Iterator[str]:
    """Yield the endpoints that a line names."""
    yield from filter(None, line.fields.get("sent", "").split(","))
    if "endpoint" in line.fields:
        yield line.fields["endpoint"]


def format_line(line: LogLine) -> str:
    """Format one line of a trace: time, source, event and the other fields."""
    pairs = (
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS
    )
    return f"{line.time}  {line.source}  {line.event}  {' '.join(pairs)}"
