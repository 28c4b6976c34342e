"""The claim window: read by all processes, advanced by agents.

A lease of the store determines when the window advances, so a replaced process does not
delay it; safety never depends on the lease. One transaction advances the window and
deletes the records of the window before the previous one.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from pulley_base import ABSENT, Sentinel, log_event, to_seconds, warn_event
from pulley_platform import (
    Committed,
    Compare,
    DeletePrefix,
    KeyValue,
    Put,
    Store,
    Target,
    commit_txn,
    grant_lease,
    read_key,
)
from pulley_policy.claims import (
    WINDOW_KEY,
    decode_window,
    encode_window,
    window_prefix,
)

TIMER_KEY = "claims/timer"
FIRST_WINDOW = 1
READ_INTERVAL_MS = 5_000
READS_PER_S = 2.0
RETRY_INTERVAL_MS = 500

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Window:
    """The claim window as last read; 0 before the first successful read.

    ``store_up`` is whether the last read succeeded.
    """

    store: Store
    number: int = 0
    store_up: bool = False
    random: Random = field(default_factory=Random)


async def read_window(window: Window) -> int | Sentinel:
    """Read the window now and return it, or the sentinel if there is none.

    A number lower than one seen before is ignored.
    """
    found = await read_key(window.store, WINDOW_KEY)
    window.store_up = isinstance(found, KeyValue) or found == ABSENT
    if not isinstance(found, KeyValue):
        return found
    try:
        window.number = max(window.number, decode_window(found.value))
    except ValueError:
        warn_event(logger, "window_unread", value=found.value)
    return window.number


async def follow_window(
    window: Window, count_processes: Callable[[], int], advance_every_s: int = 0
) -> None:
    """Read the window in a loop; advance it when its lease has expired.

    If ``advance_every_s`` is 0, the window is only read. The interval grows with the
    number of known processes, so that all of them together make ``READS_PER_S`` reads.
    A process with an outdated window detects that at its next claim, which compares the
    window, and reads it then.
    """
    while True:
        found = await read_window(window)
        if advance_every_s and window.store_up:
            await advance_window(window, found == ABSENT, advance_every_s)
        interval_ms = READ_INTERVAL_MS if window.number else RETRY_INTERVAL_MS
        if advance_every_s:
            interval_ms = min(interval_ms, advance_every_s * 250)
        interval_ms = max(interval_ms, 1_000 * count_processes() / READS_PER_S)
        await asyncio.sleep(to_seconds(interval_ms * window.random.uniform(0.75, 1.25)))


async def advance_window(window: Window, absent: bool, ttl_s: int) -> None:
    """Create the window, or advance it if its lease of ``ttl_s`` has expired."""
    if not absent and await read_key(window.store, TIMER_KEY) != ABSENT:
        return
    lease = await grant_lease(window.store, ttl_s)
    if isinstance(lease, Sentinel):
        return
    number = FIRST_WINDOW if absent else window.number + 1
    compares = [
        window_precondition(window, absent),
        Compare(TIMER_KEY, Target.VERSION, 0),
    ]
    writes = [
        Put(WINDOW_KEY, encode_window(number)),
        Put(TIMER_KEY, b"running", lease),
        DeletePrefix(window_prefix(number - 2)),
    ]
    if isinstance(await commit_txn(window.store, compares, writes), Committed):
        window.number = max(window.number, number)
        log_event(logger, "window_advanced", window=number)


def window_precondition(window: Window, absent: bool) -> Compare:
    """Build the compare that lets only one process advance the window."""
    if absent:
        return Compare(WINDOW_KEY, Target.VERSION, 0)
    return Compare(WINDOW_KEY, Target.VALUE, encode_window(window.number))
