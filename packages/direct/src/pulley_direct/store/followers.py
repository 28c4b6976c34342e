"""Following the store: watches of this router's own, or another router's word."""

import asyncio
import logging
from random import random

from pulley_base import Clock, PulleyError, to_seconds, warn_event
from pulley_policy.retries import draw_half_jitter_ms
from pulley_policy.watchers import WATCH_WAIT_MS, derive_times

from ..endpoints.departures import are_doubts_over
from ..state.fleet_views import FleetView
from ..state.mirrors import build_mirror, record_items
from .beliefs import (
    apply_entries,
    record_restore,
    record_store_failure,
    record_store_success,
    replace_entries,
)
from .endpoint_guards import guard_endpoints
from .positions import (
    Checked,
    Follower,
    Watchers,
    WatchProgress,
    end_outage,
    forget_if_restored,
    note_era,
)
from .store_calls import HISTORY_LOST, Changes, StoreClient
from .watchers import (
    WatcherFailed,
    choose_next,
    follow_watcher,
    hold_off,
    hold_off_store,
    is_asked,
    is_store_held_off,
    next_turn_in_ms,
    stop_following,
)

logger = logging.getLogger(__name__)

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


async def follow_store(
    store: StoreClient,
    fleet_view: FleetView,
    clock: Clock,
    in_force_ms: int,
    watchers: Watchers | None = None,
) -> None:
    """Read the store and follow its changes for as long as the task runs.

    ``in_force_ms`` is the time within which a change must be in force. Without
    ``watchers`` no other router is asked.
    """
    follower = Follower(
        store,
        fleet_view,
        clock,
        derive_times(in_force_ms),
        int(in_force_ms * BATCH_DELAY_SHARE),
        in_force_ms,
        watchers,
    )
    guard = asyncio.create_task(guard_endpoints(follower))
    try:
        while True:
            delay_ms = await take_turn(follower)
            if delay_ms:
                await asyncio.sleep(to_seconds(delay_ms))
    finally:
        guard.cancel()


async def take_turn(follower: Follower) -> float:
    """Ask a watcher or the store once; return the delay before the next turn in ms."""
    started_ms = follower.clock.now_ms()
    try:
        return await follow_once(follower)
    except WatcherFailed as failure:
        hold_off(follower, failure)
        return 0
    except PulleyError as error:
        return record_call_failure(follower, started_ms, str(error))
    except Exception as error:
        # A bug here must not stop the updates: the router's view would only age.
        warn_event(logger, "follower_failed", error=repr(error))
        logger.debug("follower_failed", exc_info=error)
        return record_call_failure(follower, started_ms, repr(error))


async def follow_once(follower: Follower) -> int:
    """Follow a watcher or the store for one answer; return a delay in ms."""
    watcher = choose_next(follower)
    if watcher is not None:
        await follow_watcher(follower, watcher)
        return 0
    stop_following(follower.fleet_view)
    if follower.watchers is not None:
        follower.watchers.n_tried = 0
    if is_store_held_off(follower):
        return next_turn_in_ms(follower)
    return await follow_store_once(follower)


async def follow_store_once(follower: Follower) -> int:
    """Make one read or one watch; return the delay before the next one in ms."""
    progress, fleet_view = follower.progress, follower.fleet_view
    version = current_version(fleet_view)
    progress.answered_ms = progress.checked = None
    if needs_full_read(follower):
        changes = await read_everything(follower)
    else:
        changes = await watch(follower)
    if changes is None and progress.revision is None:
        # Nobody is asked before, as the store is known to answer.
        changes = await read_everything(follower)
    if changes is None:
        return 0
    progress.n_failures = 0
    progress.revision = changes.revision
    fleet_view.confirmed.notify()
    if current_version(fleet_view) != version:
        record_version_change(progress, follower.clock.now_ms())
    return follower.batch_delay_ms if changes.entries else 0


def needs_full_read(follower: Follower) -> bool:
    """Check whether to read everything: after a loss, or to answer followers."""
    if follower.progress.revision is None or are_doubts_over(follower.fleet_view):
        return True
    if follower.watchers is None or follower.fleet_view.mirror is not None:
        return False
    return is_asked(follower)


async def read_everything(follower: Follower) -> Changes:
    """Read all that the store holds, and keep a copy for other routers."""
    fleet_view = follower.fleet_view
    confirmed_ms = follower.clock.now_ms()
    changes = await follower.store.read_all()
    if note_era(follower.progress, changes.era, changes.revision):
        record_restore(fleet_view)
    end_outage(fleet_view)
    replace_entries(fleet_view, changes.entries, changes.revision)
    if follower.watchers is not None:
        fleet_view.mirror = build_mirror(changes.items, changes.revision, changes.era)
    record_store_success(fleet_view, confirmed_ms)
    return changes


async def watch(follower: Follower) -> Changes | None:
    """Watch the store until it tells of changes; None if they have to be read.

    Checks beside it confirm that there are none. An answer without changes confirms
    nothing: a watch may have missed some.
    """
    progress, fleet_view = follower.progress, follower.fleet_view
    started_ms = follower.clock.now_ms()
    changes = await watch_and_check(follower)
    if changes is HISTORY_LOST:
        warn_event(logger, "history_lost", revision=progress.revision)
        progress.revision = None
        return None
    if changes is None or forget_if_restored(follower, changes):
        return None
    if is_short(progress, changes):
        warn_event(logger, "watch_behind", revision=progress.revision)
        progress.revision = None
        return None
    end_outage(fleet_view)
    apply_entries(fleet_view, changes.entries)
    if fleet_view.mirror is not None:
        record_items(fleet_view.mirror, changes.items, changes.revision)
    record_store_success(fleet_view, find_confirmed_ms(progress, changes, started_ms))
    return changes


def is_short(progress: WatchProgress, changes: Changes) -> bool:
    """Check whether a watch ended without a change that a check beside it saw."""
    checked = progress.checked
    if checked is None or checked.revision <= progress.revision:
        return False
    return not (changes.entries or changes.items)


def find_confirmed_ms(
    progress: WatchProgress, changes: Changes, started_ms: int
) -> int:
    """Return as of which clock reading a watch's changes were all that there was.

    That is the last check beside it, if the changes go as far as that one saw.
    """
    checked = progress.checked
    if checked is not None and checked.revision <= changes.revision:
        return checked.at_ms
    return started_ms


async def watch_and_check(follower: Follower) -> Changes | None:
    """Return a watch's answer, None if it is given up.

    That is when a check found changes that it does not begin to bring, and when another
    router can be followed. Raises the error of the watch, or that of a check.
    """
    progress = follower.progress
    revision = progress.revision

    def hear_answer() -> None:
        progress.answered_ms = follower.clock.now_ms()

    watching = asyncio.create_task(
        follower.store.watch(revision, WATCH_WAIT_MS, hear_answer)
    )
    try:
        while not await is_done_within(watching, next_check_in_ms(follower)):
            if await is_unchanged(follower):
                if is_watch_needless(follower):
                    return None
                continue
            if progress.revision is None:
                # The store was restored; the watch may still tell of the time before.
                return None
            if await is_done_within(watching, follower.times.watch_lag_ms):
                break
            if progress.answered_ms is not None:
                # A large answer arrives over a narrow link; reading it anew takes as
                # long.
                break
            warn_event(logger, "watch_behind", revision=revision)
            progress.revision = None
            return None
        return await watching
    finally:
        watching.cancel()


def is_watch_needless(follower: Follower) -> bool:
    """Check whether to read everything, or follow another router, instead."""
    if are_doubts_over(follower.fleet_view):
        return True
    return choose_next(follower) is not None


async def is_done_within(task: asyncio.Task, timeout_ms: int) -> bool:
    """Wait until a task is done; return False if it is not in time."""
    done, _ = await asyncio.wait({task}, timeout=to_seconds(timeout_ms))
    return bool(done)


def next_check_in_ms(follower: Follower) -> int:
    """Return when to ask the store whether anything has changed, in ms from now."""
    confirmed_ms = follower.fleet_view.confirmed_ms
    now_ms = follower.clock.now_ms()
    if confirmed_ms is None:
        return 0
    return max(0, confirmed_ms + follower.times.check_ms - now_ms)


async def is_unchanged(follower: Follower) -> bool:
    """Ask the store whether its last change is the last one that is known here."""
    started_ms = follower.clock.now_ms()
    found = await follower.store.read_revision()
    if forget_if_restored(follower, found):
        return False
    follower.progress.checked = Checked(found.revision, started_ms)
    if found.revision != follower.progress.revision:
        return False
    end_outage(follower.fleet_view)
    record_store_success(follower.fleet_view, started_ms)
    return True


def record_version_change(progress: WatchProgress, now_ms: int) -> None:
    """Record a new configuration; if one came shortly before, request a full read.

    The time that it took to arrive doesn't count.
    """
    previous_ms = progress.changed_ms
    progress.changed_ms = now_ms
    began_ms = now_ms if progress.answered_ms is None else progress.answered_ms
    if previous_ms is not None and began_ms - previous_ms < RAPID_CHANGE_MS:
        progress.revision = None


def record_call_failure(follower: Follower, started_ms: int, reason: str) -> float:
    """Record a failed call, and return the delay before the next one in ms.

    A watch may hang and miss changes, so a full read follows.
    """
    progress = follower.progress
    record_store_failure(follower.fleet_view, started_ms, reason)
    progress.revision = None
    n_previous = progress.n_failures
    progress.n_failures += 1
    delay_ms = draw_half_jitter_ms(RETRY_INITIAL_MS, RETRY_MAX_MS, n_previous, random)
    if follower.watchers is None:
        return delay_ms
    hold_off_store(follower, delay_ms, n_previous)
    return 0


def current_version(fleet_view: FleetView) -> int | None:
    """Return the version in force, None before the first."""
    configuration = fleet_view.configuration
    return None if configuration is None else configuration.version
