"""The position of a router that follows the store, and what its turns share."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from pulley_base import Clock, warn_event
from pulley_policy.watchers import FollowTimes, Member

from ..peers.relay_messages import RelayAnswer
from ..state.fleet_views import FleetView
from ..state.models import RouterEntry
from .beliefs import record_restore, record_store_success
from .store_calls import Changes, StoreClient

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Watchers:
    """The routers that may watch the store for this one, ``own``.

    ``ask`` takes a router and the revision to go on from, None to read everything, and
    returns its answer. ``failed_until_ms`` tells until which clock reading one that
    failed is not asked, ``n_failures`` how often in succession it has. ``n_tried``
    counts the failures of all since one was followed or the store was called, which it
    is not before ``store_retry_ms``.
    """

    own: Member
    ask: Callable[[RouterEntry, int | None], Awaitable[RelayAnswer]]
    failed_until_ms: dict[str, int] = field(default_factory=dict)
    n_failures: dict[str, int] = field(default_factory=dict)
    n_tried: int = 0
    store_retry_ms: int = 0


@dataclass(slots=True)
class WatchProgress:
    """Position in the store's history.

    ``revision`` is None if everything has to be read again. ``era`` is that of the
    last answer that told it, ``changed_ms`` the clock reading at which the last new
    configuration was installed, ``answered_ms`` that at which the present watch's
    answer began to arrive. ``checked`` is what the last check told beside this watch.
    """

    revision: int | None = None
    era: int | None = None
    changed_ms: int | None = None
    answered_ms: int | None = None
    checked: "Checked | None" = None
    n_failures: int = 0


@dataclass(frozen=True, slots=True)
class Checked:
    """The store's revision at a check, which began at the clock reading ``at_ms``."""

    revision: int
    at_ms: int


@dataclass(slots=True)
class Follower:
    """What following the store needs: its calls, the beliefs, the position and times.

    ``in_force_ms`` is the time within which a change must be in force.

    ``watchers`` are the routers that may be asked instead, None for a router that asks
    none.
    """

    store: StoreClient
    fleet_view: FleetView
    clock: Clock
    times: FollowTimes
    batch_delay_ms: int
    in_force_ms: int
    watchers: Watchers | None = None
    progress: WatchProgress = field(default_factory=WatchProgress)


def forget_if_restored(follower: Follower, changes: Changes) -> bool:
    """Check whether the store was restored; its new history is then read anew."""
    if not note_era(follower.progress, changes.era, changes.revision):
        return False
    record_restore(follower.fleet_view)
    follower.fleet_view.mirror = None
    follower.progress.revision = None
    return True


def note_era(progress: WatchProgress, era: int | None, revision: int) -> bool:
    """Record the store's era, and return whether it was restored since the last call.

    An answer that does not tell the era says nothing of that.
    """
    if era is None:
        return False
    known, progress.era = progress.era, era
    if known is None or known == era:
        return False
    warn_event(logger, "store_restored", era=era, known_era=known, revision=revision)
    return True


def end_outage(fleet_view: FleetView) -> None:
    """Record the end of an outage before the changes that it caused are applied."""
    if fleet_view.failing_since_ms is not None:
        record_store_success(
            fleet_view, fleet_view.confirmed_ms or fleet_view.failing_since_ms
        )
