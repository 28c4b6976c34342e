"""Leaving the balancer's rotation: who is still taken in before the stop."""

from .models import Route
from .routers import Router

# The balancer asks for readiness each second and takes an instance out after two
# misses.
ROTATION_MS = 2_700
# The last connections that it has handed out arrive up to then.
LAST_CALLERS_MS = 3_500


def may_finish(router: Router, route: Route) -> bool:
    """Tell whether a request can be answered before the router stops.

    Those that still arrive while the balancer learns of the stop are taken in
    any case.
    """
    left_ms = router.stops_at_ms - router.clock.now_ms()
    learning_ms = router.settings.bounds.grace_ms - left_ms
    return learning_ms < ROTATION_MS or route.timeout_ms < left_ms
