"""This router's share of the fleet's retry budget, for each service."""

import logging

from pulley_base import Reason, log_event
from pulley_policy.retries import RetryBudget

from ..state.fleet_views import sharing_routers
from ..state.jobs import Job
from ..state.routers import Router

logger = logging.getLogger(__name__)

# Each router uses this part of its share of the fleet's retry budget; the rest is for
# routers that have just started with a full share of their own.
BUDGET_SHARE = 0.6
# A router that does not know the others yet assumes this many.
MIN_ROUTERS = 4


def earn_retry(router: Router, service: str) -> None:
    """Credit a first attempt to the service's retry budget."""
    budget = get_budget(router, service)
    budget.maximum = budget_maximum(router)
    budget.earn()


def spend_retry(router: Router, job: Job, reason: Reason) -> bool:
    """Take one retry from the service's budget; return False if none is left.

    A retry that was reserved for the job is used first.
    """
    if job.retry_reserved:
        job.retry_reserved = False
        return True
    budget = get_budget(router, job.service)
    granted = budget.spend()
    log_event(
        logger,
        "retry_granted" if granted else "retry_denied",
        request=job.call.request_id,
        service=job.service,
        reason=reason,
        left=round(budget.left, 2),
        n_routers=count_routers(router),
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


def get_budget(router: Router, service: str) -> RetryBudget:
    """Return this router's share of a service's retry budget."""
    budget = router.budgets.get(service)
    if budget is None:
        maximum = budget_maximum(router)
        ratio = router.settings.bounds.retry_ratio * BUDGET_SHARE
        budget = RetryBudget(ratio=ratio, maximum=maximum, left=maximum)
        router.budgets[service] = budget
    return budget


def budget_maximum(router: Router) -> float:
    """Return the most retries that this router may accumulate for one service."""
    slack = router.settings.bounds.retry_slack * BUDGET_SHARE
    return max(1.0, slack / count_routers(router))


def count_routers(router: Router) -> int:
    """Return the number of routers that share the limits of endpoints and budgets."""
    return max(MIN_ROUTERS, len(sharing_routers(router.fleet_view)))
