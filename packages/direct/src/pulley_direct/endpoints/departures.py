"""Endpoints that leave, or may have left: which of them still take new work."""

import logging

from pulley_base import log_event
from pulley_policy.homes import Place

from ..state.fleet_views import Departure, FleetView, Leaving, LeavingSource
from ..state.models import Endpoint

logger = logging.getLogger(__name__)

# Entries that expired during an outage of the store are written again within two
# seconds of its return.
LAPSE_GRACE_MS = 2_200
# How long an endpoint counts as having joined or left recently: contexts that are in
# use are requested again within this time.
RECENT_CHANGE_MS = 60_000
# Endpoints that start this soon after a service's first one count as part of its
# initial set, not as having joined.
INITIAL_START_MS = 15_000
# The entry of an endpoint that has ended lapses sooner, also one that came back with a
# copy of the store.
DOUBT_MS = 5_000
# An older word about an endpoint that is gone comes sooner than this.
MEMORY_MS = 600_000


def usable_endpoints(fleet_view: FleetView, service: str) -> list[Endpoint]:
    """Return the endpoints of a service that may get new work."""
    drop_lapsed(fleet_view)
    return [
        endpoint
        for endpoint in fleet_view.endpoints.values()
        if endpoint.service == service and not is_withheld(fleet_view, endpoint)
    ]


def takes_work(fleet_view: FleetView, endpoint: Endpoint) -> bool:
    """Check whether an endpoint that was chosen before may still get new work."""
    drop_lapsed(fleet_view)
    listed = endpoint.name in fleet_view.endpoints
    return listed and not is_withheld(fleet_view, endpoint)


def is_withheld(fleet_view: FleetView, endpoint: Endpoint) -> bool:
    """Check whether an endpoint gets no new work: it leaves, or is evacuated."""
    if endpoint.data_centre in fleet_view.evacuated:
        return True
    return is_leaving(fleet_view, endpoint)


def drop_lapsed(fleet_view: FleetView) -> None:
    """Remove the endpoints that were not listed again in time."""
    if not fleet_view.lapsed:
        return
    now_ms = fleet_view.clock.now_ms()
    gone = [name for name, until_ms in fleet_view.lapsed.items() if until_ms <= now_ms]
    for name in gone:
        drop_endpoint(fleet_view, fleet_view.endpoints[name])
        log_event(logger, "endpoint_lapsed", endpoint=name)


def lapse_grace_end_ms(fleet_view: FleetView) -> int | None:
    """Return until when a missing entry may be listed again, None if it may not."""
    if fleet_view.outage_end_ms is None:
        return None
    until_ms = fleet_view.outage_end_ms + LAPSE_GRACE_MS
    return until_ms if fleet_view.clock.now_ms() < until_ms else None


def record_leaving(
    fleet_view: FleetView, endpoint: Endpoint, source: LeavingSource
) -> bool:
    """Record that an endpoint leaves; return False if that was known.

    It gets no new work any more until it starts again, whatever is said of it later.
    """
    if is_leaving(fleet_view, endpoint):
        return False
    now_ms = fleet_view.clock.now_ms()
    fleet_view.n_changes += 1
    fleet_view.leaving[endpoint.name] = Leaving(endpoint.started_ms, now_ms)
    listed = fleet_view.endpoints.get(endpoint.name, endpoint)
    if listed.started_ms <= endpoint.started_ms:
        fleet_view.departed.setdefault(endpoint.name, Departure(endpoint, now_ms))
    log_event(
        logger,
        "endpoint_leaving",
        endpoint=endpoint.name,
        service=endpoint.service,
        source=source,
    )
    return True


def is_leaving(fleet_view: FleetView, endpoint: Endpoint) -> bool:
    """Check whether an endpoint has said that it leaves, and not started again since.

    A later start under the same name is another endpoint.
    """
    leaving = fleet_view.leaving.get(endpoint.name)
    return leaving is not None and endpoint.started_ms <= leaving.started_ms


def is_doubtful(fleet_view: FleetView, endpoint: Endpoint) -> bool:
    """Check whether an entry may have come back with the copy of a restored store.

    It may if the endpoint's removal was read before, unless it has started since.
    """
    last = fleet_view.last_words.get(endpoint.name)
    if last is None or last.removed_started_ms is None:
        return False
    if last.n_restores == fleet_view.n_restores:
        return False
    if endpoint.started_ms > last.removed_started_ms:
        return False
    return fleet_view.clock.now_ms() < fleet_view.restored_ms + DOUBT_MS


def are_doubts_over(fleet_view: FleetView) -> bool:
    """Check whether entries that were not believed are now, if they are still there."""
    if not fleet_view.has_doubts:
        return False
    return fleet_view.clock.now_ms() >= fleet_view.restored_ms + DOUBT_MS


def forget_gone(fleet_view: FleetView) -> None:
    """Forget what was said long ago of endpoints that are no longer listed."""
    oldest_ms = fleet_view.clock.now_ms() - MEMORY_MS
    for heard in (fleet_view.leaving, fleet_view.last_words):
        for name in heard.keys() - fleet_view.endpoints.keys():
            if heard[name].heard_ms < oldest_ms:
                del heard[name]


def drop_endpoint(fleet_view: FleetView, endpoint: Endpoint) -> None:
    """Remove an endpoint that is no longer listed, and keep it as recently departed."""
    fleet_view.n_changes += 1
    del fleet_view.endpoints[endpoint.name]
    fleet_view.lapsed.pop(endpoint.name, None)
    fleet_view.cold_until_ms.pop(endpoint.name, None)
    departure = Departure(endpoint, fleet_view.clock.now_ms())
    fleet_view.departed.setdefault(endpoint.name, departure)


def service_places(
    fleet_view: FleetView, service: str, usable: list[Endpoint]
) -> list[Place]:
    """Return a service's ``usable`` and recently departed endpoints for ranking."""
    departed = [one for one in recently_departed(fleet_view) if one.service == service]
    departed += list_evacuated(fleet_view, service)
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


def list_evacuated(fleet_view: FleetView, service: str) -> list[Endpoint]:
    """Return a service's endpoints in evacuated data centres that do not leave.

    They keep their rank, so that prompts come home when they take work again.
    """
    return [
        one
        for one in fleet_view.endpoints.values()
        if one.service == service
        and one.data_centre in fleet_view.evacuated
        and one.name not in fleet_view.departed
    ]


def recently_departed(fleet_view: FleetView) -> list[Endpoint]:
    """Return the endpoints that left recently, and drop the older ones."""
    oldest_ms = fleet_view.clock.now_ms() - RECENT_CHANGE_MS
    for name, departure in list(fleet_view.departed.items()):
        if departure.since_ms <= oldest_ms:
            del fleet_view.departed[name]
    return [departure.endpoint for departure in fleet_view.departed.values()]
