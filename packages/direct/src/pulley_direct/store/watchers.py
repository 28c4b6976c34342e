"""Following the store by the word of another router, its watcher.

A watcher tells when the store last confirmed its word, counted from the moment at
which it read the request. That was after the request was sent: so, counted from then
on, a follower never takes the word for newer than it is, however late it arrives.
"""

import logging
from random import uniform

from pulley_base import PulleyError, log_event, warn_event
from pulley_policy.retries import double_ms
from pulley_policy.watchers import (
    MAX_WATCHERS_TRIED,
    Member,
    choose_watcher,
    order_watchers,
)

from ..endpoints.departures import are_doubts_over
from ..peers.relay_messages import RelayAnswer
from ..peers.relays import STORE_AWAY_STATUS, RelayRefused
from ..state.fleet_views import FleetView, configuration_age_ms, is_store_away
from ..state.models import RouterEntry
from .beliefs import apply_entries, record_confirmation, replace_entries
from .positions import Follower, Watchers, forget_if_restored
from .store_calls import Changes

logger = logging.getLogger(__name__)

# A process that was killed is back sooner than after a few of these.
HOLD_OFF_MS = 1_000
MAX_HOLD_OFF_MS = 8_000
# Followers of one watcher ask it again at different times.
HOLD_OFF_JITTER = 0.25
STORE_HOLD_OFF_MS = 250
MIN_TURN_MS = 20


class WatcherFailed(PulleyError):
    """A watcher did not answer, or its word can't be used.

    ``watcher`` is its name; ``is_stale`` says that it answered, but waits for the store
    itself.
    """

    def __init__(self, reason: str, watcher: str, is_stale: bool = False):
        super().__init__(reason, step="follow", peer=watcher)
        self.watcher = watcher
        self.is_stale = is_stale


def choose_next(follower: Follower) -> str | None:
    """Return the watcher to ask next, None to ask the store.

    A router that has read nothing yet knows no other; one whose watchers have just
    failed asks the store before it asks them again.
    """
    watchers = follower.watchers
    if watchers is None or follower.fleet_view.configuration is None:
        return None
    if watchers.n_tried >= MAX_WATCHERS_TRIED:
        return None
    return choose_watcher(
        watchers.own.name,
        list_watchers(follower),
        watchers.failed_until_ms,
        follower.clock.now_ms(),
    )


def list_watchers(follower: Follower) -> list[str]:
    """Return the routers of the own group in the order in which they are followed."""
    members = [
        Member(entry.name, entry.data_centre, entry.link_mbps)
        for entry in follower.fleet_view.routers.values()
        if entry.key
    ]
    return order_watchers(follower.watchers.own, members)


async def follow_watcher(follower: Follower, name: str) -> None:
    """Ask a watcher once and apply its answer.

    Raises WatcherFailed if it does not answer, or if its word is too old to rely on.
    """
    fleet_view = follower.fleet_view
    if are_doubts_over(fleet_view):
        follower.progress.revision = None
    sent_ms = follower.clock.now_ms()
    try:
        answer = await ask(follower, fleet_view.routers[name])
        await apply_answer(follower, answer, sent_ms)
    except WatcherFailed:
        raise
    except RelayRefused as error:
        is_stale = error.status == STORE_AWAY_STATUS
        raise WatcherFailed(str(error), name, is_stale=is_stale) from error
    except PulleyError as error:
        raise WatcherFailed(str(error), name) from error
    age_ms = configuration_age_ms(fleet_view)
    if age_ms is None or age_ms > follower.times.stale_ms:
        raise WatcherFailed(f"its word is {age_ms} ms old", name, is_stale=True)
    note_success(follower.watchers, name)
    start_following(fleet_view, name)


def note_success(watchers: Watchers, name: str) -> None:
    """Record that a watcher told a fresh word, so that the store answers some."""
    watchers.n_failures.pop(name, None)
    watchers.n_tried = watchers.store_retry_ms = 0


async def ask(follower: Follower, entry: RouterEntry) -> RelayAnswer:
    """Return a watcher's answer.

    Raises WatcherFailed if it does not know yet that the store was restored.
    """
    progress = follower.progress
    answer = await follower.watchers.ask(entry, progress.revision)
    if None not in (answer.era, progress.era) and answer.era < progress.era:
        raise WatcherFailed(f"it is in era {answer.era}", entry.name)
    return answer


async def apply_answer(follower: Follower, answer: RelayAnswer, sent_ms: int) -> None:
    """Apply a watcher's answer to a request that was sent at ``sent_ms``."""
    fleet_view, progress = follower.fleet_view, follower.progress
    entries = await follower.store.decode(answer.items)
    changes = Changes(tuple(entries), answer.revision, answer.era, answer.items)
    # What is confirmed from now on is not what this router's own copy holds.
    fleet_view.mirror = None
    if forget_if_restored(follower, changes) and not answer.whole:
        # What the new history holds up to this position is not known.
        return
    if answer.outage_ms is not None:
        ended_ms = sent_ms + answer.outage_ms
        fleet_view.outage_end_ms = max(ended_ms, fleet_view.outage_end_ms or ended_ms)
    if answer.whole:
        replace_entries(fleet_view, changes.entries, changes.revision)
    elif changes.entries:
        apply_entries(fleet_view, changes.entries)
    progress.revision = max(answer.revision, progress.revision or 0)
    now_ms = follower.clock.now_ms()
    record_confirmation(fleet_view, min(sent_ms + answer.confirmed_ms, now_ms))


def start_following(fleet_view: FleetView, name: str) -> None:
    """Record that a watcher is followed."""
    fleet_view.failing_since_ms = fleet_view.stale_word_ms = None
    if fleet_view.watcher != name:
        fleet_view.watcher = name
        log_event(
            logger,
            "watcher_followed",
            watcher=name,
            age_ms=configuration_age_ms(fleet_view),
        )


def stop_following(fleet_view: FleetView) -> None:
    """Record that this router goes by the store itself."""
    if fleet_view.watcher is not None:
        fleet_view.watcher = None
        log_event(logger, "store_watched", age_ms=configuration_age_ms(fleet_view))


def hold_off(follower: Follower, failure: WatcherFailed) -> None:
    """Ask a watcher that failed no more for a while, longer after each failure.

    While the store answers nobody, a watcher that answers is the first to know when it
    is back, and is asked again soon.
    """
    watchers, fleet_view, name = follower.watchers, follower.fleet_view, failure.watcher
    if failure.is_stale:
        fleet_view.stale_word_ms = follower.clock.now_ms()
    watchers.n_tried += 1
    n_failures = watchers.n_failures.get(name, 0)
    if failure.is_stale and fleet_view.failing_since_ms is not None:
        n_failures = 0
    watchers.n_failures[name] = n_failures + 1
    pause_ms = draw_pause_ms(HOLD_OFF_MS, n_failures)
    watchers.failed_until_ms[name] = follower.clock.deadline_ms(pause_ms)
    warn_event(
        logger,
        "watcher_failed",
        watcher=name,
        reason=str(failure),
        pause_ms=pause_ms,
        age_ms=configuration_age_ms(fleet_view),
    )


def draw_pause_ms(first_ms: int, n_failures: int) -> int:
    """Return how long not to ask who has failed so often before, in ms."""
    pause_ms = double_ms(first_ms, MAX_HOLD_OFF_MS, n_failures)
    return int(pause_ms * uniform(1.0 - HOLD_OFF_JITTER, 1.0 + HOLD_OFF_JITTER))


def hold_off_store(follower: Follower, delay_ms: float, n_failures: int) -> None:
    """Call the store no more for a while, after a call that failed.

    While another router's word can be followed, longer after each failure. Otherwise
    for ``delay_ms``, or longer if others wait for the store too and will tell.
    """
    watchers = follower.watchers
    if is_store_away(follower.fleet_view) and not is_asked(follower):
        delay_ms = draw_pause_ms(follower.times.away_poll_ms, 0)
    watchers.store_retry_ms = follower.clock.deadline_ms(int(delay_ms))
    pause_ms = draw_pause_ms(STORE_HOLD_OFF_MS, n_failures)
    watchers.failed_until_ms[watchers.own.name] = follower.clock.deadline_ms(pause_ms)


def is_asked(follower: Follower) -> bool:
    """Check whether others of the group would follow this router."""
    first = list_watchers(follower)[:MAX_WATCHERS_TRIED]
    return follower.watchers.own.name in first


def is_store_held_off(follower: Follower) -> bool:
    """Check whether a call to the store failed a short while ago."""
    watchers = follower.watchers
    return watchers is not None and follower.clock.now_ms() < watchers.store_retry_ms


def next_turn_in_ms(follower: Follower) -> int:
    """Return when a watcher or the store may be asked again, in ms from now."""
    watchers, now_ms = follower.watchers, follower.clock.now_ms()
    times_ms = [
        until_ms
        for name, until_ms in watchers.failed_until_ms.items()
        if name != watchers.own.name and until_ms > now_ms
    ]
    return max(MIN_TURN_MS, min([*times_ms, watchers.store_retry_ms]) - now_ms)
