"""Whether endpoints take a request now, and when they do."""

from math import ceil

from ..state.loads import closed_left_ms, is_closed
from ..state.models import Endpoint
from ..state.routers import Router
from .departures import usable_endpoints
from .limits import fleet_left_ms, limit_left_ms


def is_open(router: Router, endpoint: Endpoint) -> bool:
    """Check that an endpoint wants no pause and that its limit is not used up."""
    if is_closed(router.loads, endpoint.name):
        return False
    return limit_left_ms(router, endpoint) <= 0


def opens_in_ms(router: Router, service: str) -> int | None:
    """Return when the first endpoint of a service takes work, in ms from now.

    That may be work of another router, which the caller may reach as well.

    None if the service has no usable endpoint.
    """
    usable = usable_endpoints(router.fleet_view, service)
    waits_ms = (
        max(closed_left_ms(router.loads, one.name), fleet_left_ms(router, one))
        for one in usable
    )
    wait_ms = min(waits_ms, default=None)
    return None if wait_ms is None else ceil(wait_ms)
