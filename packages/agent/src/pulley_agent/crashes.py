"""Engine crashes: suspects recorded here and in the store, quarantine enforced.

A crash is reported before its attempts fail, and after a delay in which the other
agents receive the report, so that a resend meets agents that know the suspects.
Gossip informs the agents that run; the store informs those that start later or
missed the message.
"""

import asyncio
import logging
import secrets
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

from prometheus_client import Counter

from pulley_base import (
    Clock,
    Reason,
    Sentinel,
    log_event,
    split_address,
    time_limit,
    to_seconds,
    warn_event,
)
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
    record_crash,
)

from .answers import is_finished
from .attempts import Attempt

SAME_CRASH_MS = 1_000
MIN_READ_INTERVAL_MS = 1_000
READS_PER_S = 1.0
SETTLE_MS = 500
PROBE_TIMEOUT_MS = 250
CRASH_ID_BYTES = 6
MAX_REPORTED_SUSPECTS = 100
MAX_LOGGED_DIGESTS = 4

logger = logging.getLogger(__name__)

CRASHES = Counter("plantainpulley_engine_crashes", "Crashes of the engine seen")
QUARANTINED = Counter("plantainpulley_quarantined", "Attempts refused in quarantine")


@dataclass(slots=True)
class Crash:
    """The engine's latest crash: digests reported for it, and pending reports."""

    id: str
    seen_ms: int
    reported: set[bytes] = field(default_factory=set)
    report_tasks: list[asyncio.Task] = field(default_factory=list)


@dataclass(slots=True)
class CrashWatch:
    """The suspects that an agent knows, and the engine's latest crash.

    ``announce`` sends a crash to other agents, ``count_agents`` counts those of the
    service in this data centre, itself included.
    """

    store: Store
    clock: Clock
    service: str
    engine: str
    suspects: Suspects
    random: Random = field(default_factory=Random)
    crash: Crash | None = None
    announce: Callable[[str, list[bytes]], None] = lambda crash, digests: None
    count_agents: Callable[[], int] = lambda: 1
    suspect_lock: asyncio.Lock = field(default_factory=asyncio.Lock)


def suspects_prefix(service: str) -> str:
    """Return the store prefix under which a service's suspects are reported."""
    return f"suspects/{service}/"


def refuse_quarantined(watch: CrashWatch, attempt: Attempt, now_ms: int) -> None:
    """Raise RequestRefused for a request that was in flight at two crashes."""
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
async def run_suspect_alone(watch: CrashWatch, attempt: Attempt) -> AsyncIterator[None]:
    """Let only one suspect run at a time; other requests pass at once."""
    n_crashes = count_crashes(watch.suspects, attempt.digest, watch.clock.now_ms())
    if not n_crashes and not attempt.opened.crashes:
        yield
        return
    async with watch.suspect_lock:
        yield


async def report_crash(watch: CrashWatch, in_flight: Iterable[Attempt]) -> None:
    """Report the attempts in flight at a crash, and wait until the report has spread.

    Attempts that fail within ``SAME_CRASH_MS`` of the first belong to the same crash.
    Those missing from its first report are reported as well, under the same id.
    """
    now_ms = watch.clock.now_ms()
    crash = watch.crash
    if crash is None or now_ms - crash.seen_ms >= SAME_CRASH_MS:
        crash = watch.crash = Crash(secrets.token_hex(CRASH_ID_BYTES), now_ms)
        CRASHES.inc()
    new_digests = [
        digest for digest in running_digests(in_flight) if digest not in crash.reported
    ]
    if new_digests or not crash.report_tasks:
        crash.reported.update(new_digests)
        log_crash(crash, new_digests)
        record_crash(watch.suspects, crash.id, new_digests, now_ms)
        work = publish_report(watch, crash.id, new_digests[:MAX_REPORTED_SUSPECTS])
        crash.report_tasks.append(asyncio.create_task(work))
    await asyncio.shield(asyncio.gather(*crash.report_tasks))


def running_digests(attempts: Iterable[Attempt]) -> Iterator[bytes]:
    """Yield the digests of the attempts sent to the engine and not finished."""
    for attempt in attempts:
        if attempt.ran and not is_finished(attempt.answer):
            yield attempt.digest


def log_crash(crash: Crash, digests: list[bytes]) -> None:
    """Log a crash, or more suspects of it, with the first few digests."""
    warn_event(
        logger,
        "engine_crashed",
        crash=crash.id,
        n_in_flight=len(digests),
        digests=",".join(digest.hex() for digest in digests[:MAX_LOGGED_DIGESTS]),
    )


async def publish_report(watch: CrashWatch, crash: str, digests: list[bytes]) -> None:
    """Announce the suspects to other agents and write them to the store.

    Returns after at least ``SETTLE_MS``, so that the announcement can spread.
    """
    watch.announce(crash, digests)
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
    """Read the service's suspects from the store periodically.

    The interval grows with the number of agents, so that the agents of one service and
    data centre together make ``READS_PER_S``.
    """
    while True:
        entries = await read_prefix(watch.store, suspects_prefix(watch.service))
        if not isinstance(entries, Sentinel):
            merge_reports(watch, entries)
        shared_ms = 1_000 * watch.count_agents() / READS_PER_S
        interval_ms = max(MIN_READ_INTERVAL_MS, shared_ms)
        interval_ms *= watch.random.uniform(0.75, 1.25)
        await asyncio.sleep(to_seconds(interval_ms))


def merge_reports(watch: CrashWatch, entries: Iterable[KeyValue]) -> None:
    """Add the reports of other agents to the known suspects."""
    now_ms = watch.clock.now_ms()
    for entry in entries:
        digest, _, crash = entry.key.rpartition("/")
        try:
            raw = bytes.fromhex(digest.rpartition("/")[2])
        except ValueError:
            continue
        record_crash(watch.suspects, crash, [raw], now_ms)


async def has_crashed(watch: CrashWatch) -> bool:
    """Check whether the engine accepts no connection, or keeps none open.

    The kernel closes a dying process's connections one by one, so a connection may
    still be accepted after others were reset. One that stays open for
    ``PROBE_TIMEOUT_MS`` belongs to a live engine.
    """
    host, port = split_address(watch.engine)
    try:
        async with time_limit(PROBE_TIMEOUT_MS):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return True
    try:
        async with time_limit(PROBE_TIMEOUT_MS):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except OSError:
        return True
    finally:
        writer.close()


def describe_quarantine(watch: CrashWatch) -> list[str]:
    """Return the quarantined digests in hex, for the status page."""
    quarantined = list_quarantined(watch.suspects, watch.clock.now_ms())
    return [digest.hex() for digest in quarantined]
