"""The store's words, applied to what a router knows of the fleet."""

import logging
from collections.abc import Iterable, Sequence

from pulley_base import log_event, warn_event

from ..endpoints.evacuations import end_evacuation, start_evacuation
from ..state.crash_log import apply_reports, share_again
from ..state.fleet_views import (
    FleetView,
    configuration_age_ms,
)
from ..state.models import (
    Configuration,
    CrashReports,
    Endpoint,
    EndpointRemoved,
    EvacuationEnded,
    EvacuationStarted,
    RouterEntry,
    RouterRemoved,
    StoreEntry,
)
from .endpoint_words import list_endpoint, remove_endpoint

logger = logging.getLogger(__name__)

# Shorter outages can't have made an entry expire.
MIN_OUTAGE_MS = 1_000


def record_store_failure(fleet_view: FleetView, started_ms: int, reason: str) -> None:
    """Record that a call to the store which began at ``started_ms`` failed."""
    if fleet_view.failing_since_ms is None:
        fleet_view.failing_since_ms = started_ms
        log_event(
            logger, "store_lost", reason=reason, age_ms=configuration_age_ms(fleet_view)
        )


def record_store_success(fleet_view: FleetView, confirmed_ms: int) -> None:
    """Record that the store answered; its state is known as of ``confirmed_ms``."""
    now_ms = fleet_view.clock.now_ms()
    fleet_view.stale_word_ms = None
    if fleet_view.failing_since_ms is not None:
        lasted_ms = now_ms - fleet_view.failing_since_ms
        fleet_view.failing_since_ms = None
        if lasted_ms >= MIN_OUTAGE_MS:
            fleet_view.outage_end_ms = now_ms
        log_event(logger, "store_regained", lasted_ms=lasted_ms)
    record_confirmation(fleet_view, confirmed_ms)


def record_confirmation(fleet_view: FleetView, confirmed_ms: int) -> None:
    """Record that the store held nothing newer at ``confirmed_ms``, in clock ms.

    A store that holds an older configuration than the one in force, as it was restored
    from a copy, may have lost a newer one as well, and confirms nothing.
    """
    if not is_store_behind(fleet_view):
        known_ms = fleet_view.confirmed_ms
        fleet_view.confirmed_ms = max(confirmed_ms, known_ms or confirmed_ms)
    fleet_view.confirmed.notify()


def is_store_behind(fleet_view: FleetView) -> bool:
    """Check whether the store holds an older configuration than the one in force."""
    configuration, stored = fleet_view.configuration, fleet_view.stored_version
    if configuration is None or stored is None:
        return False
    return stored < configuration.version


def record_restore(fleet_view: FleetView) -> None:
    """Record that the store has gone back to an older copy of itself.

    Its revisions are those of another history from then on, and entries that the copy
    lacks may be written again, as after an outage. So are those of this router.
    """
    now_ms = fleet_view.clock.now_ms()
    fleet_view.n_restores += 1
    fleet_view.restored_ms = now_ms
    fleet_view.outage_end_ms = now_ms
    share_again(fleet_view.crash_log)
    fleet_view.restored.notify()


def replace_entries(
    fleet_view: FleetView, entries: Iterable[StoreEntry], revision: int
) -> None:
    """Apply everything that the store holds, and remove what it no longer lists.

    ``revision`` is the store's at the time of the read.
    """
    entries = list(entries)
    fleet_view.has_doubts = False
    routers = {entry.name for entry in entries if isinstance(entry, RouterEntry)}
    missing = [RouterRemoved(name) for name in fleet_view.routers.keys() - routers]
    apply_entries(fleet_view, missing)
    replace_endpoints(fleet_view, entries, revision)


def replace_endpoints(
    fleet_view: FleetView, entries: Sequence[StoreEntry], revision: int
) -> None:
    """Apply entries, and remove the endpoints and evacuations that are not among them.

    ``revision`` is the store's at the time of the read.
    """
    listed = {entry.name for entry in entries if isinstance(entry, Endpoint)}
    unlisted = fleet_view.endpoints.keys() - listed
    missing = [EndpointRemoved(name, revision) for name in unlisted]
    evacuated = {
        entry.data_centre for entry in entries if isinstance(entry, EvacuationStarted)
    }
    missing += [EvacuationEnded(name) for name in fleet_view.evacuated - evacuated]
    apply_entries(fleet_view, [*entries, *missing])


def apply_entries(fleet_view: FleetView, entries: Iterable[StoreEntry]) -> None:
    """Apply changes in the order of the store."""
    for entry in entries:
        apply_entry(fleet_view, entry)
    fleet_view.changed.notify()


def apply_entry(fleet_view: FleetView, entry: StoreEntry) -> None:
    if isinstance(entry, Configuration):
        install_configuration(fleet_view, entry)
    elif isinstance(entry, Endpoint):
        list_endpoint(fleet_view, entry)
    elif isinstance(entry, EndpointRemoved):
        remove_endpoint(fleet_view, entry.name, entry.revision)
    elif isinstance(entry, RouterEntry):
        list_router(fleet_view, entry)
    elif isinstance(entry, RouterRemoved):
        remove_router(fleet_view, entry.name)
    elif isinstance(entry, EvacuationStarted):
        start_evacuation(fleet_view, entry.data_centre)
    elif isinstance(entry, EvacuationEnded):
        end_evacuation(fleet_view, entry.data_centre)
    elif isinstance(entry, CrashReports):
        apply_reports(fleet_view.crash_log, entry, fleet_view.clock.now_ms())


def list_router(fleet_view: FleetView, entry: RouterEntry) -> None:
    """Add or update a router's entry."""
    fleet_view.routers[entry.name] = entry
    fleet_view.former_routers.pop(entry.name, None)


def remove_router(fleet_view: FleetView, name: str) -> None:
    """Remove a router's entry; it counts for a while, as it may have lapsed."""
    if fleet_view.routers.pop(name, None) is not None:
        fleet_view.former_routers[name] = fleet_view.clock.now_ms()


def install_configuration(fleet_view: FleetView, candidate: Configuration) -> None:
    """Put a configuration in force unless the current one is as new or newer."""
    current = fleet_view.configuration
    fleet_view.stored_version = candidate.version
    if current is not None and candidate.version <= current.version:
        if candidate.version < current.version:
            warn_event(
                logger,
                "older_configuration_ignored",
                version=candidate.version,
                known_version=current.version,
            )
        return
    fleet_view.configuration = candidate
    log_event(
        logger,
        "configuration_installed",
        version=candidate.version,
        replaced=None if current is None else current.version,
        n_routes=len(candidate.routes),
    )
