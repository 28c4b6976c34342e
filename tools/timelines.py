"""Which rules revisions each process installed and when, read from its log."""

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from target_fleet import IN_FORCE_S_BUDGET

LOG_LINE = re.compile(r"time=\"?(\S+ \S+?)\"? .*event=(\S+)(?:.* revision=(\d+))?")


@dataclass(slots=True)
class Timeline:
    """Start and end of one process and the revisions that it installed.

    Times are seconds since the epoch; ``installs`` holds pairs of time and revision.
    ``end_s`` is infinite while the process runs.
    """

    name: str
    start_s: float
    end_s: float
    installs: list[tuple[float, int]] = field(default_factory=list)


def read_timelines(logs: dict[Path, float]) -> Iterator[Timeline]:
    """Yield the timeline of each process, read from its log.

    ``logs`` maps the log file of each process to the time at which it was ended.
    """
    for log, end_s in logs.items():
        events = list(read_events(log))
        start_s = next(at_s for at_s, event, _ in events if event == "listening")
        installs = [(at_s, rev) for at_s, event, rev in events if is_install(event)]
        yield Timeline(log.stem, start_s, end_s, installs)


def is_install(event: str) -> bool:
    """Check whether a log event reports the install of a revision."""
    return event == "rules_in_force"


def read_events(log: Path) -> Iterator[tuple[float, str, int]]:
    """Yield time, event and revision (0 if absent) of each event in a log."""
    for line in log.read_text(errors="replace").splitlines():
        match = LOG_LINE.match(line)
        if match:
            logged = datetime.strptime(match[1], "%Y-%m-%d %H:%M:%S,%f")
            yield logged.timestamp(), match[2], int(match[3] or 0)


def find_delays(
    timelines: Sequence[Timeline], written_s: dict[int, float]
) -> Iterator[float]:
    """Yield, for each change, the seconds until all processes had it in force.

    Processes that had ended or not yet started 4 s after the write are left out.
    ``written_s`` maps each revision to the time at which it was written.
    """
    for revision, at_s in written_s.items():
        yield max(
            find_delay(timeline, revision, at_s)
            for timeline in timelines
            if timeline.end_s > at_s + IN_FORCE_S_BUDGET > timeline.start_s
        )


def find_delay(timeline: Timeline, revision: int, written_s: float) -> float:
    """Return the seconds until one process had a change in force.

    Infinite if it never installed the revision or a higher one.
    """
    since_s = max(written_s, timeline.start_s)
    install_times_s = (
        at_s for at_s, installed in timeline.installs if installed >= revision
    )
    return max(0.0, next(install_times_s, float("inf")) - since_s)


def count_reversions(timeline: Timeline) -> int:
    """Return the number of installs whose revision did not rise."""
    revisions = [revision for _, revision in timeline.installs]
    return sum(b <= a for a, b in zip(revisions, revisions[1:]))
