"""This router's part of the fleet's retry budget, for each service."""

import logging
from random import random

from pulley_base import Reason, log_event
from pulley_policy import retry_shares
from pulley_policy.retry_shares import SharedRetryBudget

from ..state.fleet_views import sharing_routers
from ..state.jobs import Job
from ..state.routers import Router

logger = logging.getLogger(__name__)

# A router that does not know the others yet assumes this many.
MIN_ROUTERS = 4


def earn_retry(router: Router, service: str) -> None:
    """Credit a first attempt to the service's retry budget."""
    budget = get_budget(router, service)
    retry_shares.earn_retry(budget, slack_share(router), router.clock.now_ms())


def spend_retry(router: Router, job: Job, reason: Reason) -> bool:
    """Take one retry from the service's budget; return False if none is left.

    A retry that was reserved for the job is used first.
    """
    if job.retry_reserved:
        job.retry_reserved = False
        return True
    budget, share = get_budget(router, job.service), slack_share(router)
    granted = retry_shares.spend_retry(budget, share, router.clock.now_ms(), random)
    log_event(
        logger,
        "retry_granted" if granted else "retry_denied",
        request=job.call.request_id,
        service=job.service,
        reason=reason,
        left=round(budget.left, 2),
        share=round(share, 2),
    )
    if granted:
        router.counters.retries[reason] += 1
    return granted


def reserve_retry(router: Router, job: Job) -> bool:
    """Take the job's next retry from the budget in advance; False if none is left.

    Another endpoint is asked beside a silent one only if its retry is certain.
    """
    job.retry_reserved = spend_retry(router, job, Reason.STALLED)
    return job.retry_reserved


def get_budget(router: Router, service: str) -> SharedRetryBudget:
    """Return this router's part of a service's retry budget."""
    budget = router.budgets.get(service)
    if budget is None:
        bounds = router.settings.bounds
        budget = SharedRetryBudget(
            bounds.retry_ratio, bounds.retry_window_ms, router.clock.now_ms()
        )
        router.budgets[service] = budget
    return budget


def slack_share(router: Router) -> float:
    """Return this router's part of the retries beyond the ratio, for each service.

    It has none before the store has told of the routers a whole window after its
    start: others that started with it may not be listed yet, and a process before it
    may have used the same part.
    """
    bounds, confirmed_ms = router.settings.bounds, router.fleet_view.confirmed_ms
    if confirmed_ms is None:
        return 0.0
    if confirmed_ms - router.started_ms < bounds.retry_window_ms:
        return 0.0
    return bounds.retry_slack / count_routers(router)


def count_routers(router: Router) -> int:
    """Return the number of routers that share the limits of endpoints and budgets."""
    return max(MIN_ROUTERS, len(sharing_routers(router.fleet_view)))
