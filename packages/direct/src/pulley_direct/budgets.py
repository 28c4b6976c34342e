"""This router's part of the fleet's retry budget, for each service."""

from pulley_base import Reason
from pulley_policy.retries import RetryBudget

from .jobs import Job
from .routers import Router

# Each router takes this part of its share of the fleet's retry budget; the rest is
# for routers that have just started with a full share of their own.
BUDGET_MARGIN = 0.6
# A router that has not heard of others yet counts these.
FEWEST_ROUTERS = 4


def earn_retry(router: Router, service: str) -> None:
    """Note a first attempt in the service's budget."""
    budget = budget_of(router, service)
    budget.maximum = budget_maximum(router)
    budget.earn()


def spend_retry(router: Router, job: Job, reason: Reason) -> bool:
    """Take one retry from the service's budget; False where none is left."""
    if job.retry_reserved:
        job.retry_reserved = False
        return True
    if not budget_of(router, job.service).spend():
        return False
    router.counters.retries[reason] += 1
    return True


def reserve_retry(router: Router, job: Job) -> bool:
    """Take the job's next retry out of the budget before it is needed.

    An attempt that only seems lost is given up for one that can be made.
    """
    job.retry_reserved = spend_retry(router, job, Reason.STALLED)
    return job.retry_reserved


def budget_of(router: Router, service: str) -> RetryBudget:
    """Give this router's part of a service's retry budget."""
    budget = router.budgets.get(service)
    if budget is None:
        maximum = budget_maximum(router)
        ratio = router.settings.bounds.retry_ratio * BUDGET_MARGIN
        budget = RetryBudget(ratio=ratio, maximum=maximum, left=maximum)
        router.budgets[service] = budget
    return budget


def budget_maximum(router: Router) -> float:
    """Give the retries that this router may have in hand at a time."""
    slack = router.settings.bounds.retry_slack * BUDGET_MARGIN
    return max(1.0, slack / count_routers(router))


def count_routers(router: Router) -> int:
    """Give how many routers share what endpoints allow to all of them."""
    return max(FEWEST_ROUTERS, len(router.beliefs.routers))
