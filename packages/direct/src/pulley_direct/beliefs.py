"""What a router knows of the fleet, and how old that knowledge is."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from pulley_base import Clock, log_event, wall_time_ms
from pulley_policy.homes import Place

from .crash_log import CrashLog, apply_reports
from .models import (
    Configuration,
    CrashReports,
    Endpoint,
    EndpointRemoved,
    RouterEntry,
    RouterRemoved,
    StoreEntry,
)
from .signals import Signal

logger = logging.getLogger(__name__)

# Entries that expired during an outage of the store are written again within two
# seconds of its return.
LAPSE_GRACE_MS = 2_200
# Shorter outages can't have made an entry expire.
MIN_OUTAGE_MS = 1_000
# How long an endpoint counts as having joined or left recently: contexts that are in
# use are requested again within this time.
RECENT_CHANGE_MS = 60_000
# Endpoints that start this soon after a service's first one count as part of its
# initial set, not as having joined.
INITIAL_START_MS = 15_000


@dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint that takes no new work any more, and since when."""

    endpoint: Endpoint
    since_ms: int


@dataclass(slots=True)
class FleetView:
    """The configuration in force, the endpoints and the other routers.

    ``confirmed_ms`` is the latest clock reading at which the store is known to
    have held nothing newer, None before the first answer. ``lapsed`` holds the
    endpoints whose entries were missing after an outage of the store, with the
    clock reading at which they count as removed. ``departed`` holds those that
    left recently. ``crash_log`` holds what is known of requests that crash endpoints.
    ``failing_since_ms`` is set while the store does not answer,
    ``outage_end_ms`` after its last outage. ``wall_clock`` reads the time of day
    and is used only to tell how long ago an endpoint started.
    """

    clock: Clock
    wall_clock: Clock = field(default_factory=lambda: Clock(wall_time_ms))
    configuration: Configuration | None = None
    confirmed_ms: int | None = None
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    routers: dict[str, str] = field(default_factory=dict)
    lapsed: dict[str, int] = field(default_factory=dict)
    departed: dict[str, Departure] = field(default_factory=dict)
    crash_log: CrashLog = field(default_factory=CrashLog)
    failing_since_ms: int | None = None
    outage_end_ms: int | None = None
    changed: Signal = field(default_factory=Signal)
    confirmed: Signal = field(default_factory=Signal)


def configuration_age_ms(fleet_view: FleetView) -> int | None:
    """Return how long ago the configuration was known to be the newest, in ms.

    None if the store has not answered yet.
    """
    if fleet_view.confirmed_ms is None:
        return None
    return fleet_view.clock.now_ms() - fleet_view.confirmed_ms


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
    if fleet_view.failing_since_ms is not None:
        lasted_ms = now_ms - fleet_view.failing_since_ms
        fleet_view.failing_since_ms = None
        if lasted_ms >= MIN_OUTAGE_MS:
            fleet_view.outage_end_ms = now_ms
        log_event(logger, "store_regained", lasted_ms=lasted_ms)
    fleet_view.confirmed_ms = max(confirmed_ms, fleet_view.confirmed_ms or confirmed_ms)
    fleet_view.confirmed.notify()


def replace_entries(fleet_view: FleetView, entries: Iterable[StoreEntry]) -> None:
    """Apply everything that the store holds, and remove what it no longer lists."""
    entries = list(entries)
    listed = {entry.name for entry in entries if isinstance(entry, Endpoint)}
    routers = {entry.name for entry in entries if isinstance(entry, RouterEntry)}
    missing = [EndpointRemoved(name) for name in fleet_view.endpoints.keys() - listed]
    missing += [RouterRemoved(name) for name in fleet_view.routers.keys() - routers]
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
        remove_endpoint(fleet_view, entry.name)
    elif isinstance(entry, RouterEntry):
        fleet_view.routers[entry.name] = entry.address
    elif isinstance(entry, RouterRemoved):
        fleet_view.routers.pop(entry.name, None)
    elif isinstance(entry, CrashReports):
        apply_reports(fleet_view.crash_log, entry, fleet_view.clock.now_ms())


def install_configuration(fleet_view: FleetView, candidate: Configuration) -> None:
    """Put a configuration in force unless the current one is as new or newer."""
    current = fleet_view.configuration
    if current is not None and candidate.version <= current.version:
        return
    fleet_view.configuration = candidate
    log_event(
        logger,
        "configuration_installed",
        version=candidate.version,
        replaced=None if current is None else current.version,
        n_routes=len(candidate.routes),
    )


def list_endpoint(fleet_view: FleetView, endpoint: Endpoint) -> None:
    """Add or update an endpoint's entry."""
    known = fleet_view.endpoints.get(endpoint.name)
    fleet_view.endpoints[endpoint.name] = endpoint
    fleet_view.lapsed.pop(endpoint.name, None)
    update_departure(fleet_view, endpoint)
    if known is None or known.draining != endpoint.draining:
        log_event(
            logger,
            "endpoint_listed",
            endpoint=endpoint.name,
            service=endpoint.service,
            address=endpoint.address,
            draining=endpoint.draining,
        )


def update_departure(fleet_view: FleetView, endpoint: Endpoint) -> None:
    """Record that an endpoint takes no new work, or that it takes work again."""
    if endpoint.draining:
        departure = Departure(endpoint, fleet_view.clock.now_ms())
        fleet_view.departed.setdefault(endpoint.name, departure)
    else:
        fleet_view.departed.pop(endpoint.name, None)


def drop_endpoint(fleet_view: FleetView, endpoint: Endpoint) -> None:
    """Remove an endpoint that is no longer listed, and keep it as recently departed."""
    del fleet_view.endpoints[endpoint.name]
    fleet_view.lapsed.pop(endpoint.name, None)
    departure = Departure(endpoint, fleet_view.clock.now_ms())
    fleet_view.departed.setdefault(endpoint.name, departure)


def service_places(
    fleet_view: FleetView, service: str, usable: list[Endpoint]
) -> list[Place]:
    """Return a service's ``usable`` and recently departed endpoints for ranking."""
    departed = [one for one in recently_departed(fleet_view) if one.service == service]
    started = [one.started_ms for one in usable + departed if one.started_ms]
    joined_after_ms = max(
        min(started, default=0) + INITIAL_START_MS,
        fleet_view.wall_clock.now_ms() - RECENT_CHANGE_MS,
    )
    places = [
        Place(one.name, joined=one.started_ms > joined_after_ms) for one in usable
    ]
    places += [
        Place(one.name, usable=False, joined=one.started_ms > joined_after_ms)
        for one in departed
    ]
    return places


def recently_departed(fleet_view: FleetView) -> list[Endpoint]:
    """Return the endpoints that left recently, and drop the older ones."""
    oldest_ms = fleet_view.clock.now_ms() - RECENT_CHANGE_MS
    for name, departure in list(fleet_view.departed.items()):
        if departure.since_ms <= oldest_ms:
            del fleet_view.departed[name]
    return [departure.endpoint for departure in fleet_view.departed.values()]


def remove_endpoint(fleet_view: FleetView, name: str) -> None:
    """Remove an endpoint, or keep it for a grace period after an outage of the store.

    A draining endpoint gets no grace period.
    """
    endpoint = fleet_view.endpoints.get(name)
    if endpoint is None:
        return
    until_ms = lapse_grace_end_ms(fleet_view)
    if until_ms is not None and not endpoint.draining:
        fleet_view.lapsed[name] = until_ms
    else:
        drop_endpoint(fleet_view, endpoint)
    log_event(logger, "endpoint_removed", endpoint=name, kept_until_ms=until_ms)


def lapse_grace_end_ms(fleet_view: FleetView) -> int | None:
    """Return until when a missing entry may be listed again, None if it may not."""
    if fleet_view.outage_end_ms is None:
        return None
    until_ms = fleet_view.outage_end_ms + LAPSE_GRACE_MS
    return until_ms if fleet_view.clock.now_ms() < until_ms else None


def usable_endpoints(fleet_view: FleetView, service: str) -> list[Endpoint]:
    """Return the endpoints of a service that may get new work."""
    drop_lapsed(fleet_view)
    return [
        endpoint
        for endpoint in fleet_view.endpoints.values()
        if endpoint.service == service and not endpoint.draining
    ]


def drop_lapsed(fleet_view: FleetView) -> None:
    """Remove the endpoints that were not listed again in time."""
    if not fleet_view.lapsed:
        return
    now_ms = fleet_view.clock.now_ms()
    gone = [name for name, until_ms in fleet_view.lapsed.items() if until_ms <= now_ms]
    for name in gone:
        drop_endpoint(fleet_view, fleet_view.endpoints[name])
        log_event(logger, "endpoint_lapsed", endpoint=name)
