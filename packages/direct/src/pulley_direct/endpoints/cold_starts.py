"""Endpoints that are cold: they take a bounded rate from all routers together.

An endpoint is cold for some seconds after its start, and may be again at any moment.
Its entry tells so; that of one whose data centre was evacuated may be late.
"""

import logging

from pulley_base import log_event

from ..state.fleet_views import FleetView
from ..state.models import Endpoint, Service

logger = logging.getLogger(__name__)

# All routers together use this part of the rate: each sender may save up a request, and
# routers that start know of fewer others.
RATE_SHARE = 0.6


def find_service(fleet_view: FleetView, name: str) -> Service | None:
    """Return a service of the configuration in force, None if it has none such."""
    configuration = fleet_view.configuration
    return None if configuration is None else configuration.services.get(name)


def hear_of_cold(
    fleet_view: FleetView, endpoint: Endpoint, known: Endpoint | None
) -> None:
    """Record for how long an endpoint is cold, as its entry tells.

    A later entry that tells of no cold ends it, unless the endpoint has just started.
    """
    if endpoint.cold_left_ms > 0:
        record_cold(fleet_view, endpoint.name, endpoint.cold_left_ms)
    elif known is not None and known.cold_left_ms > 0:
        fleet_view.cold_until_ms.pop(endpoint.name, None)


def expect_cold(fleet_view: FleetView, name: str) -> None:
    """Count an endpoint as cold for as long as one is that has just started."""
    service = find_service(fleet_view, fleet_view.endpoints[name].service)
    if service is not None and service.cold_start_ms:
        record_cold(fleet_view, name, service.cold_start_ms)


def record_cold(fleet_view: FleetView, name: str, left_ms: int) -> None:
    """Count an endpoint as cold for a time in ms, or longer if it is already."""
    until_ms = fleet_view.clock.deadline_ms(left_ms)
    known_ms = fleet_view.cold_until_ms.get(name)
    fleet_view.cold_until_ms[name] = max(until_ms, known_ms or until_ms)
    if known_ms is None:
        log_event(logger, "endpoint_cold", endpoint=name, left_ms=left_ms)


def cold_rate_per_s(fleet_view: FleetView, endpoint: Endpoint) -> float | None:
    """Return the rate that a cold endpoint may get from all routers together.

    None if it is not cold, or its service has no such rate.
    """
    until_ms = fleet_view.cold_until_ms.get(endpoint.name)
    if until_ms is None:
        return None
    if until_ms <= fleet_view.clock.now_ms():
        del fleet_view.cold_until_ms[endpoint.name]
        return None
    service = find_service(fleet_view, endpoint.service)
    if service is None or not service.cold_rate_per_s:
        return None
    return service.cold_rate_per_s * RATE_SHARE
