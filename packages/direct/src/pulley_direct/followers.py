"""Keeping beliefs in step with the store: one read, then a watch."""

import asyncio
import logging
from dataclasses import dataclass
from random import random

from pulley_base import Clock, PulleyError, to_seconds, warn_event
from pulley_policy.retries import draw_hold_ms

from .beliefs import Beliefs, apply_facts, note_failure, note_success, replace_facts
from .store_calls import HISTORY_LOST, Changes, StoreCalls

logger = logging.getLogger(__name__)

# A watch that brings nothing confirms that nothing changed. It waits for a part of
# the time in which a change has to be in force, longer the more routers watch.
WATCH_SHARES = (0.5, 0.7)
WATCHES_PER_S = 10
# Watches may miss changes for this long before the store drops its history.
DEAF_MS = 1_000
# A store that is back is found within half a second, at two calls a second.
RETRY_FIRST_MS = 50
RETRY_MOST_MS = 500
# Changes come in groups: after one, the next are waited for and read together, for
# a part of the time in which they have to be in force.
GATHER_SHARE = 0.2
# Configurations that follow each other faster are read whole, the last one only.
STORM_MS = 1_000
MS_PER_S = 1_000


@dataclass(slots=True)
class Progress:
    """How far the store was followed.

    ``revision`` is None where everything is to be read afresh, ``changed_ms`` when
    the last new configuration came.
    """

    revision: int | None = None
    changed_ms: int | None = None
    n_failures: int = 0


async def follow_store(
    store: StoreCalls, beliefs: Beliefs, clock: Clock, configuration_ms: int
) -> None:
    """Read the store and follow its changes for as long as the task runs.

    ``configuration_ms`` is the time in which a change has to be in force.
    """
    progress = Progress()
    gather_ms = int(configuration_ms * GATHER_SHARE)
    while True:
        started_ms = clock.now_ms()
        wait_ms = watch_wait_ms(configuration_ms, len(beliefs.routers))
        try:
            delay_ms = await follow_once(
                store, beliefs, clock, progress, wait_ms, gather_ms
            )
            progress.n_failures = 0
        except PulleyError as error:
            delay_ms = note_call_failure(beliefs, progress, started_ms, str(error))
        except Exception as error:
            # A defect here must not leave the router with beliefs that only age.
            warn_event(logger, "follower_failed", error=repr(error))
            logger.debug("follower_failed", exc_info=error)
            delay_ms = note_call_failure(beliefs, progress, started_ms, repr(error))
        if delay_ms:
            await asyncio.sleep(to_seconds(delay_ms))


def watch_wait_ms(configuration_ms: int, n_routers: int) -> int:
    """Give how long a watch waits, within its two shares of ``configuration_ms``.

    >>> [watch_wait_ms(2_000, n) for n in (1, 12, 600)]
    [1000, 1200, 1400]
    """
    least_ms, most_ms = (int(configuration_ms * share) for share in WATCH_SHARES)
    wanted_ms = n_routers * MS_PER_S // WATCHES_PER_S
    return max(least_ms, min(most_ms, wanted_ms))


async def follow_once(
    store: StoreCalls,
    beliefs: Beliefs,
    clock: Clock,
    progress: Progress,
    wait_ms: int,
    gather_ms: int,
) -> int:
    """Make one read or one watch; gives the delay before the next in ms."""
    started_ms = clock.now_ms()
    version = version_of(beliefs)
    if progress.revision is None:
        known_ms = started_ms
        changes = await store.read_all()
        settle_outage(beliefs)
        replace_facts(beliefs, changes.facts)
    else:
        changes = await store.watch(progress.revision, wait_ms)
        if changes is HISTORY_LOST:
            warn_event(logger, "history_lost", revision=progress.revision)
            progress.revision = None
            return 0
        known_ms = watch_known_ms(changes, started_ms, wait_ms)
        settle_outage(beliefs)
        apply_facts(beliefs, changes.facts)
    note_success(beliefs, known_ms)
    progress.revision = changes.revision
    if version_of(beliefs) != version:
        note_version(progress, clock.now_ms())
    return gather_ms if changes.facts else 0


def watch_known_ms(changes: Changes, started_ms: int, wait_ms: int) -> int:
    """Give the time up to which a watch's answer tells all that had changed.

    An answer without changes was made when the wait was over, however late it
    came.
    """
    return started_ms if changes.facts else started_ms + wait_ms - DEAF_MS


def note_version(progress: Progress, now_ms: int) -> None:
    """Note a new configuration; of many in a row only the last one is read."""
    before_ms = progress.changed_ms
    progress.changed_ms = now_ms
    if before_ms is not None and now_ms - before_ms < STORM_MS:
        progress.revision = None


def note_call_failure(
    beliefs: Beliefs, progress: Progress, started_ms: int, reason: str
) -> float:
    """Note a failed call; gives the delay before the next in ms.

    A watch may hang while changes pass it by, so a read follows.
    """
    note_failure(beliefs, started_ms, reason)
    progress.revision = None
    n_before = progress.n_failures
    progress.n_failures += 1
    return draw_hold_ms(RETRY_FIRST_MS, RETRY_MOST_MS, n_before, random)


def version_of(beliefs: Beliefs) -> int | None:
    """Give the version in force, None before the first."""
    found = beliefs.configuration
    return None if found is None else found.version


def settle_outage(beliefs: Beliefs) -> None:
    """Note the end of an outage before the changes that it caused are read."""
    if beliefs.failing_since_ms is not None:
        note_success(beliefs, beliefs.confirmed_ms or beliefs.failing_since_ms)
