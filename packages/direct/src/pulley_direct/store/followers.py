"""Following the store: one full read, then watches that apply each change."""

import asyncio
import logging
from dataclasses import dataclass
from random import random

from pulley_base import Clock, PulleyError, to_seconds, warn_event
from pulley_policy.retries import draw_half_jitter_ms

from ..endpoints.departures import are_doubts_over
from ..state.fleet_views import FleetView
from .beliefs import (
    apply_entries,
    record_restore,
    record_store_failure,
    record_store_success,
    replace_entries,
)
from .store_calls import HISTORY_LOST, Changes, StoreClient

logger = logging.getLogger(__name__)

# A watch that returns no change confirms that nothing changed. Its wait is a share of
# the time within which a change must be in force, longer the more routers watch, to
# limit the load on the store.
WATCH_WAIT_SHARES = (0.5, 0.7)
WATCHES_PER_S = 10
# Watches may miss changes for this long before the store drops its history.
MAX_WATCH_MISS_MS = 1_000
# The router notices the return of the store within half a second, at two calls a
# second.
RETRY_INITIAL_MS = 50
RETRY_MAX_MS = 500
# Changes come in groups: after one, the router waits for this part of the time within
# which they must be in force, and reads the next ones together.
BATCH_DELAY_SHARE = 0.2
# When configurations follow each other faster than this, the router reads the whole
# store again and so takes only the last one.
RAPID_CHANGE_MS = 1_000
MS_PER_S = 1_000


@dataclass(slots=True)
class WatchProgress:
    """Position in the store's history.

    ``revision`` is None if everything has to be read again. ``era`` is that of the
    last answer that told it, ``changed_ms`` the clock reading at which the last new
    configuration arrived.
    """

    revision: int | None = None
    era: int | None = None
    changed_ms: int | None = None
    n_failures: int = 0


async def follow_store(
    store: StoreClient, fleet_view: FleetView, clock: Clock, configuration_ms: int
) -> None:
    """Read the store and follow its changes for as long as the task runs.

    ``configuration_ms`` is the time within which a change must be in force.
    """
    progress = WatchProgress()
    batch_delay_ms = int(configuration_ms * BATCH_DELAY_SHARE)
    while True:
        started_ms = clock.now_ms()
        wait_ms = watch_wait_ms(configuration_ms, len(fleet_view.routers))
        try:
            delay_ms = await follow_once(
                store, fleet_view, clock, progress, wait_ms, batch_delay_ms
            )
            progress.n_failures = 0
        except PulleyError as error:
            delay_ms = record_call_failure(fleet_view, progress, started_ms, str(error))
        except Exception as error:
            # A bug here must not stop the updates: the router's view would only age.
            warn_event(logger, "follower_failed", error=repr(error))
            logger.debug("follower_failed", exc_info=error)
            delay_ms = record_call_failure(
                fleet_view, progress, started_ms, repr(error)
            )
        if delay_ms:
            await asyncio.sleep(to_seconds(delay_ms))


def watch_wait_ms(configuration_ms: int, n_routers: int) -> int:
    """Return how long a watch waits, within its two shares of ``configuration_ms``.

    >>> [watch_wait_ms(2_000, n) for n in (1, 12, 600)]
    [1000, 1200, 1400]
    """
    min_wait_ms, max_wait_ms = (
        int(configuration_ms * share) for share in WATCH_WAIT_SHARES
    )
    wait_ms = n_routers * MS_PER_S // WATCHES_PER_S
    return max(min_wait_ms, min(max_wait_ms, wait_ms))


async def follow_once(
    store: StoreClient,
    fleet_view: FleetView,
    clock: Clock,
    progress: WatchProgress,
    wait_ms: int,
    batch_delay_ms: int,
) -> int:
    """Make one read or one watch, and return the delay before the next one in ms."""
    started_ms = clock.now_ms()
    version = current_version(fleet_view)
    if progress.revision is None or are_doubts_over(fleet_view):
        confirmed_ms = started_ms
        changes = await store.read_all()
        if note_era(progress, changes):
            record_restore(fleet_view)
        end_outage(fleet_view)
        replace_entries(fleet_view, changes.entries, changes.revision)
    else:
        changes = await store.watch(progress.revision, wait_ms)
        if changes is HISTORY_LOST:
            warn_event(logger, "history_lost", revision=progress.revision)
            progress.revision = None
            return 0
        if note_era(progress, changes):
            # What the new history holds up to this position is not known.
            record_restore(fleet_view)
            progress.revision = None
            return 0
        confirmed_ms = watch_confirmed_ms(changes, started_ms, wait_ms)
        end_outage(fleet_view)
        apply_entries(fleet_view, changes.entries)
    record_store_success(fleet_view, confirmed_ms)
    progress.revision = changes.revision
    if current_version(fleet_view) != version:
        record_version_change(progress, clock.now_ms())
    return batch_delay_ms if changes.entries else 0


def note_era(progress: WatchProgress, changes: Changes) -> bool:
    """Record the store's era, and return whether it was restored since the last call.

    An answer that does not tell the era says nothing of that.
    """
    if changes.era is None:
        return False
    known, progress.era = progress.era, changes.era
    if known is None or known == changes.era:
        return False
    warn_event(
        logger,
        "store_restored",
        era=changes.era,
        known_era=known,
        revision=changes.revision,
    )
    return True


def watch_confirmed_ms(changes: Changes, started_ms: int, wait_ms: int) -> int:
    """Return the time up to which a watch's answer is known to include all changes.

    An answer without changes was made at the end of its wait, however late it
    arrived.
    """
    return started_ms if changes.entries else started_ms + wait_ms - MAX_WATCH_MISS_MS


def record_version_change(progress: WatchProgress, now_ms: int) -> None:
    """Record a new configuration; if one came shortly before, request a full read."""
    previous_ms = progress.changed_ms
    progress.changed_ms = now_ms
    if previous_ms is not None and now_ms - previous_ms < RAPID_CHANGE_MS:
        progress.revision = None


def record_call_failure(
    fleet_view: FleetView, progress: WatchProgress, started_ms: int, reason: str
) -> float:
    """Record a failed call, and return the delay before the next one in ms.

    A watch may hang and miss changes, so a full read follows.
    """
    record_store_failure(fleet_view, started_ms, reason)
    progress.revision = None
    n_previous = progress.n_failures
    progress.n_failures += 1
    return draw_half_jitter_ms(RETRY_INITIAL_MS, RETRY_MAX_MS, n_previous, random)


def current_version(fleet_view: FleetView) -> int | None:
    """Return the version in force, None before the first."""
    configuration = fleet_view.configuration
    return None if configuration is None else configuration.version


def end_outage(fleet_view: FleetView) -> None:
    """Record the end of an outage before the changes that it caused are applied."""
    if fleet_view.failing_since_ms is not None:
        record_store_success(
            fleet_view, fleet_view.confirmed_ms or fleet_view.failing_since_ms
        )
