"""Requests at a router that stops: which it takes, and until when it answers them."""

from ..state.jobs import Job
from ..state.models import RetryClass
from ..state.routers import Router

# The balancer checks readiness each second and removes an instance after two failed
# checks.
BALANCER_REMOVAL_MS = 2_700
# The last connections from the balancer arrive up to this time after the stop began.
LAST_CONNECTIONS_MS = 3_500
# Before the process is killed: the last answers are made, then sent, then the remaining
# connections are closed.
LAST_ANSWER_MARGIN_MS = 600
SHUTDOWN_MARGIN_MS = 300


def can_finish(router: Router, job: Job) -> bool:
    """Check whether a request can be answered before the router stops.

    While the balancer may not have seen the stop yet, True for a request that may be
    sent again or whose answer is a stream, most of which end long before their
    deadline.
    """
    since_stop_ms = router.settings.bounds.grace_ms - stop_left_ms(router)
    is_seen = since_stop_ms >= BALANCER_REMOVAL_MS
    if not is_seen and job.route.retry_class is not RetryClass.NON_IDEMPOTENT:
        return True
    return job.deadline_ms <= router.stops_at_ms - LAST_ANSWER_MARGIN_MS


def stop_left_ms(router: Router) -> int:
    """Return the time until a stopping router is killed, in ms."""
    return router.stops_at_ms - router.clock.now_ms()


def time_left_ms(router: Router, job: Job) -> int:
    """Return the time until a job must have its answer, in ms, 0 or less from then on.

    That is its deadline, or the time of the last answers if the router stops before.
    """
    left_ms = job.deadline_ms - router.clock.now_ms()
    if router.stops_at_ms is None:
        return left_ms
    return min(left_ms, stop_left_ms(router) - LAST_ANSWER_MARGIN_MS)
