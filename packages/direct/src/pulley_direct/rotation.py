"""Requests that arrive while the load balancer removes a stopping router."""

from .models import Route
from .routers import Router

# The balancer checks readiness each second and removes an instance after two failed
# checks.
BALANCER_REMOVAL_MS = 2_700
# The last connections from the balancer arrive up to this time after the stop began.
LAST_CONNECTIONS_MS = 3_500


def can_finish(router: Router, route: Route) -> bool:
    """Check whether a request can be answered before the router stops.

    Always True while the balancer may not have seen the stop yet.
    """
    left_ms = router.stops_at_ms - router.clock.now_ms()
    since_stop_ms = router.settings.bounds.grace_ms - left_ms
    return since_stop_ms < BALANCER_REMOVAL_MS or route.timeout_ms < left_ms
