"""What choices derive from a service's endpoints, kept until these change."""

from pulley_policy.homes import Ranking, rank_places

from ..state.fleet_views import FleetView, ServiceView
from ..state.models import Endpoint
from .departures import (
    drop_lapsed,
    list_evacuated,
    service_places,
    usable_endpoints,
)

# Endpoints cease to count as having joined or departed lately as time passes.
MAX_AGE_MS = 1_000
# Of parts in use, at eight bytes for each of a service's endpoints twice.
MAX_RANKINGS = 64


def view_service(fleet_view: FleetView, service: str) -> ServiceView:
    """Return the view of a service, built anew if its endpoints may have changed."""
    drop_lapsed(fleet_view)
    now_ms = fleet_view.clock.now_ms()
    view = fleet_view.services.get(service)
    if view is None or is_outdated(fleet_view, view, now_ms):
        view = build_view(fleet_view, service, now_ms)
        fleet_view.services[service] = view
    return view


def is_outdated(fleet_view: FleetView, view: ServiceView, now_ms: int) -> bool:
    """Check whether a view may differ from one that is built now."""
    if view.n_changes != fleet_view.n_changes:
        return True
    return now_ms - view.built_ms >= MAX_AGE_MS


def build_view(fleet_view: FleetView, service: str, now_ms: int) -> ServiceView:
    """Build the view of a service."""
    usable = usable_endpoints(fleet_view, service)
    places = service_places(fleet_view, service, usable)
    view = ServiceView(
        now_ms,
        fleet_view.n_changes,
        {one.name: one for one in usable},
        places,
        sum(map(share_of, usable)),
        sum(map(share_of, list_evacuated(fleet_view, service))),
    )
    previous = fleet_view.services.get(service)
    if previous is not None and previous.places == places:
        view.rankings = previous.rankings
    return view


def share_of(endpoint: Endpoint) -> int:
    """Return an endpoint's part of its service's capacity relative to the others."""
    return max(1, endpoint.slots)


def find_ranking(view: ServiceView, key: bytes) -> Ranking:
    """Return the ranking of a part, worked out if it is not in use yet."""
    ranking = view.rankings.pop(key, None)
    if ranking is None:
        ranking = rank_places(key, view.places)
        if len(view.rankings) >= MAX_RANKINGS:
            # The one that was used longest ago.
            del view.rankings[next(iter(view.rankings))]
    view.rankings[key] = ranking
    return ranking
