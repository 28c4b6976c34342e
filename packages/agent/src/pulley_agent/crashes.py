"""Engine crashes: suspects noted here and in the store, quarantine enforced.

A crash is reported before its attempts are, and after a pause in which the
other agents hear of it, so that a resend finds them knowing. Rumour tells those
that run; the store tells those that start later or missed it.
"""

import asyncio
import logging
import secrets
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

from prometheus_client import Counter

from pulley_base import Clock, Reason, Sentinel, log_event, to_seconds, warn_event
from pulley_http import RequestRefused
from pulley_platform import (
    Committed,
    KeyValue,
    Put,
    Store,
    commit_txn,
    grant_lease,
    read_prefix,
)
from pulley_policy.suspects import (
    Suspects,
    count_crashes,
    is_quarantined,
    list_quarantined,
    note_crash,
)

from .answers import is_over
from .attempts import Attempt

SAME_CRASH_MS = 1_000
MIN_READ_INTERVAL_MS = 1_000
READS_PER_S = 1.0
SETTLE_MS = 500
PROBE_MS = 250
CRASH_BYTES = 6
MAX_REPORTED = 100
MAX_LOGGED = 4

logger = logging.getLogger(__name__)

CRASHES = Counter("plantainpulley_engine_crashes", "Crashes of the engine seen")
QUARANTINED = Counter("plantainpulley_quarantined", "Attempts refused in quarantine")


@dataclass(slots=True)
class Crash:
    """The engine's latest crash: who was told of, and the reports under way."""

    id: str
    seen_ms: int
    told: set[bytes] = field(default_factory=set)
    reports: list[asyncio.Task] = field(default_factory=list)


@dataclass(slots=True)
class CrashWatch:
    """The suspects that an agent knows and the engine's latest crash."""

    store: Store
    clock: Clock
    service: str
    engine: str
    suspects: Suspects
    random: Random = field(default_factory=Random)
    crash: Crash | None = None
    spread: Callable[[str, list[bytes]], None] = lambda crash, digests: None
    count_agents: Callable[[], int] = lambda: 1
    alone: asyncio.Lock = field(default_factory=asyncio.Lock)


def suspects_prefix(service: str) -> str:
    """Give the prefix under which a service's suspects are reported."""
    return f"suspects/{service}/"


def refuse_quarantined(watch: CrashWatch, attempt: Attempt, now_ms: int) -> None:
    """Raise for a request that was at two crashes."""
    if not is_quarantined(watch.suspects, attempt.digest, now_ms):
        return
    QUARANTINED.inc()
    raise RequestRefused(
        503,
        Reason.QUARANTINED,
        "this request was in flight when two engines crashed",
        retry_after_ms=watch.suspects.expiry_ms,
        step="admission",
    )


@asynccontextmanager
async def run_alone(watch: CrashWatch, attempt: Attempt) -> AsyncIterator[None]:
    """Let only one suspect run at a time; others pass at once."""
    known = count_crashes(watch.suspects, attempt.digest, watch.clock.now_ms())
    if not known and not attempt.opened.crashes:
        yield
        return
    async with watch.alone:
        yield


async def report_crash(watch: CrashWatch, in_flight: Iterable[Attempt]) -> None:
    """Report who was in flight at a crash, and wait until that has settled.

    Attempts that fail within ``SAME_CRASH_MS`` of the first belong to its crash:
    those that its report left out are reported too, under the same id.
    """
    now_ms = watch.clock.now_ms()
    crash = watch.crash
    if crash is None or now_ms - crash.seen_ms >= SAME_CRASH_MS:
        crash = watch.crash = Crash(secrets.token_hex(CRASH_BYTES), now_ms)
        CRASHES.inc()
    new = [digest for digest in running_digests(in_flight) if digest not in crash.told]
    if new or not crash.reports:
        crash.told.update(new)
        log_crash(crash, new)
        note_crash(watch.suspects, crash.id, new, now_ms)
        work = write_report(watch, crash.id, new[:MAX_REPORTED])
        crash.reports.append(asyncio.create_task(work))
    await asyncio.shield(asyncio.gather(*crash.reports))


def running_digests(attempts: Iterable[Attempt]) -> Iterator[bytes]:
    """Yield the digests of the attempts that the engine was given and not ended."""
    for attempt in attempts:
        if attempt.ran and not is_over(attempt.answer):
            yield attempt.digest


def log_crash(crash: Crash, digests: list[bytes]) -> None:
    """Log a crash, or more suspects of it, with the first few digests."""
    warn_event(
        logger,
        "engine_crashed",
        crash=crash.id,
        n_in_flight=len(digests),
        digests=",".join(digest.hex() for digest in digests[:MAX_LOGGED]),
    )


async def write_report(watch: CrashWatch, crash: str, digests: list[bytes]) -> None:
    """Tell the others, write the suspects in one transaction, let it settle."""
    watch.spread(crash, digests)
    settled = asyncio.create_task(asyncio.sleep(to_seconds(SETTLE_MS)))
    await store_report(watch, crash, digests)
    await settled


async def store_report(watch: CrashWatch, crash: str, digests: list[bytes]) -> None:
    """Write the suspects under a lease, in one transaction."""
    lease = await grant_lease(watch.store, max(1, watch.suspects.expiry_ms // 1_000))
    if isinstance(lease, Sentinel):
        return
    prefix = suspects_prefix(watch.service)
    writes = [
        Put(f"{prefix}{digest.hex()}/{crash}", b"crashed", lease) for digest in digests
    ]
    if isinstance(await commit_txn(watch.store, [], writes), Committed):
        log_event(logger, "suspects_reported", crash=crash, n_suspects=len(digests))


async def follow_suspects(watch: CrashWatch) -> None:
    """Read the service's suspects again and again.

    The time between reads grows with the number of agents, so that those of one
    service and data centre make ``READS_PER_S`` together.
    """
    while True:
        found = await read_prefix(watch.store, suspects_prefix(watch.service))
        if not isinstance(found, Sentinel):
            install_reports(watch, found)
        shared_ms = 1_000 * watch.count_agents() / READS_PER_S
        pause_ms = max(MIN_READ_INTERVAL_MS, shared_ms)
        pause_ms *= watch.random.uniform(0.75, 1.25)
        await asyncio.sleep(to_seconds(pause_ms))


def install_reports(watch: CrashWatch, found: Iterable[KeyValue]) -> None:
    """Take in the reports of other agents."""
    now_ms = watch.clock.now_ms()
    for reported in found:
        digest, _, crash = reported.key.rpartition("/")
        try:
            raw = bytes.fromhex(digest.rpartition("/")[2])
        except ValueError:
            continue
        note_crash(watch.suspects, crash, [raw], now_ms)


async def has_crashed(watch: CrashWatch) -> bool:
    """Tell whether the engine takes no connection, or keeps none.

    The kernel closes a dying process's connections one by one, so a connection
    may still be accepted after others were reset. One that stays open for
    ``PROBE_MS`` belongs to a living engine.
    """
    host, _, port = watch.engine.rpartition(":")
    try:
        async with asyncio.timeout(to_seconds(PROBE_MS)):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return True
    try:
        async with asyncio.timeout(to_seconds(PROBE_MS)):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except OSError:
        return True
    finally:
        writer.close()


def describe_quarantine(watch: CrashWatch) -> list[str]:
    """Give the digests in quarantine, for the status page."""
    quarantined = list_quarantined(watch.suspects, watch.clock.now_ms())
    return [digest.hex() for digest in quarantined]
