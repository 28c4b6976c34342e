"""Consumers that send small requests, each on a channel of its own."""

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path

from .deployments import HOST, KEY, RouterProcess
from .engines import Engine
from .heads import read_head, read_sized_body


@dataclass(slots=True)
class Sent:
    """One request, when it was sent in seconds, and the status of its answer."""

    id: str
    router: str
    path: str
    sent_s: float
    status: int = 0


@dataclass(slots=True)
class Record:
    """What consumers sent and got since ``started_s``, and what happened when."""

    started_s: float
    sent: list[Sent] = field(default_factory=list)
    events: list[tuple[float, str]] = field(default_factory=list)

    def now_s(self) -> float:
        """Return the time since the start of traffic."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> float:
        """Record that something happens now; return when that is."""
        now_s = self.now_s()
        self.events.append((now_s, text))
        return now_s


async def send(record: Record, router: RouterProcess, path: str) -> Sent:
    """Send one request, and record and return what became of it."""
    one = Sent(f"r-{len(record.sent)}", router.name, path, record.now_s())
    record.sent.append(one)
    host, port = router.front.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"GET {path}x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {one.id}\r\n"
        f"Deadline-Ms: 2000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    )
    try:
        writer.write(head.encode())
        line, headers = await read_head(reader)
        await read_sized_body(reader, headers)
        one.status = int(line.split()[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()
    return one


def services_by_id(engines: list[Engine]) -> dict[str, str]:
    """Return the service that ran each request."""
    return {one: engine.service for engine in engines for one in engine.runs}


def write_record(
    path: Path, record: Record, engines: list[Engine], marked: list[Sent]
) -> None:
    """Write what happened, and each request with its answer and its run."""
    service_by_id = services_by_id(engines)
    marked_ids = {one.id for one in marked}
    rows = [(when_s, f"--- {text}") for when_s, text in record.events]
    for one in record.sent:
        note = " BROKEN" if one.id in marked_ids else ""
        service = service_by_id.get(one.id, "none")
        text = f"{one.id} {one.path} at {one.router}: status {one.status},"
        rows.append((one.sent_s, f"{text} run by {service}{note}"))
    lines = [f"{when_s:7.3f} {text}\n" for when_s, text in sorted(rows)]
    path.write_text("".join(lines))
