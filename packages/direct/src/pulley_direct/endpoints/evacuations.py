"""Data centres that operators evacuate, and take back."""

import logging

from pulley_base import log_event, warn_event

from ..state.fleet_views import FleetView
from .cold_starts import expect_cold

logger = logging.getLogger(__name__)


def start_evacuation(fleet_view: FleetView, data_centre: str) -> None:
    """Give the endpoints of a data centre no new work from now on.

    What they have begun goes on there.
    """
    if data_centre in fleet_view.evacuated:
        return
    fleet_view.evacuated.add(data_centre)
    fleet_view.n_changes += 1
    endpoints = list_endpoints(fleet_view, data_centre)
    log_event(
        logger,
        "evacuation_started",
        data_centre=data_centre,
        n_endpoints=len(endpoints),
    )
    warn_if_none_left(fleet_view)


def end_evacuation(fleet_view: FleetView, data_centre: str) -> None:
    """Let the endpoints of a data centre take work again; they may be cold."""
    if data_centre not in fleet_view.evacuated:
        return
    fleet_view.evacuated.discard(data_centre)
    fleet_view.n_changes += 1
    for name in list_endpoints(fleet_view, data_centre):
        expect_cold(fleet_view, name)
    log_event(logger, "evacuation_ended", data_centre=data_centre)


def list_endpoints(fleet_view: FleetView, data_centre: str) -> list[str]:
    """Return the names of the endpoints in a data centre."""
    return [
        one.name
        for one in fleet_view.endpoints.values()
        if one.data_centre == data_centre
    ]


def warn_if_none_left(fleet_view: FleetView) -> None:
    """Log each service all of whose endpoints are evacuated: it is refused."""
    served = {one.service for one in fleet_view.endpoints.values()}
    left = {
        one.service
        for one in fleet_view.endpoints.values()
        if one.data_centre not in fleet_view.evacuated
    }
    for service in sorted(served - left):
        warn_event(logger, "service_evacuated", service=service)
