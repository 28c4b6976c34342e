"""Keeping beliefs in step with the store: one read, then a watch."""

import asyncio
import logging
from collections.abc import Callable
from random import random

from pulley_base import Clock, PulleyError, to_seconds, warn_event

from .beliefs import Beliefs, apply_facts, note_failure, note_success, replace_facts
from .store_calls import HISTORY_LOST, StoreCalls

logger = logging.getLogger(__name__)

# A watch that brings nothing confirms that nothing changed; half the time in
# which a change has to be in force leaves room for one lost answer.
WATCH_SHARE = 0.5
RETRY_FIRST_MS = 50
RETRY_MOST_MS = 500


async def follow_store(
    store: StoreCalls, beliefs: Beliefs, clock: Clock, wait_ms: int
) -> None:
    """Read the store and follow its changes for as long as the task runs."""
    revision = None
    n_failures = 0
    while True:
        started_ms = clock.now_ms()
        try:
            revision = await follow_once(store, beliefs, revision, wait_ms)
            note_success(beliefs, started_ms)
            n_failures = 0
        except PulleyError as error:
            note_failure(beliefs, started_ms, str(error))
            n_failures += 1
        except Exception as error:
            # A defect here must not leave the router with beliefs that only age.
            warn_event(logger, "follower_failed", error=repr(error))
            logger.debug("follower_failed", exc_info=error)
            note_failure(beliefs, started_ms, repr(error))
            revision = None
            n_failures += 1
        if n_failures:
            await asyncio.sleep(to_seconds(retry_delay_ms(n_failures, random)))


async def follow_once(
    store: StoreCalls, beliefs: Beliefs, revision: int | None, wait_ms: int
) -> int | None:
    """Make one read or one watch; gives the revision to go on from."""
    if revision is None:
        changes = await store.read_all()
        settle_outage(beliefs)
        replace_facts(beliefs, changes.facts)
        return changes.revision
    changes = await store.watch(revision, wait_ms)
    if changes is HISTORY_LOST:
        warn_event(logger, "history_lost", revision=revision)
        return await follow_once(store, beliefs, None, wait_ms)
    settle_outage(beliefs)
    if changes.facts:
        apply_facts(beliefs, changes.facts)
    return changes.revision


def settle_outage(beliefs: Beliefs) -> None:
    """Note the end of an outage before the changes that it caused are read."""
    if beliefs.failing_since_ms is not None:
        note_success(beliefs, beliefs.confirmed_ms or beliefs.failing_since_ms)


def retry_delay_ms(n_failures: int, draw: Callable[[], float]) -> float:
    """Give the wait before the next call: exponential, with jitter of a half."""
    most_ms = min(RETRY_MOST_MS, RETRY_FIRST_MS << min(n_failures - 1, 8))
    return most_ms * (0.5 + draw() / 2)
