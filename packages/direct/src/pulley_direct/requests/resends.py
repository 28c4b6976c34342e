"""Whether a job is sent once more, and the retries that this takes from the budget."""

from pulley_base import Reason
from pulley_http import Response

from ..endpoints.budgets import spend_retry
from ..state.jobs import AttemptFailed, Job
from ..state.routers import Router
from ..transport.rotation import time_left_ms


def retry_denial_reason(
    router: Router, job: Job, failure: AttemptFailed
) -> Reason | None:
    """Return why a job must not be sent again, None if it may be.

    Takes a retry from the budget if the endpoint was reached.
    """
    if job.may_have_run and not job.route.retryable:
        return failure.reason
    if time_left_ms(router, job) <= 0:
        return Reason.DEADLINE
    if not failure.reached:
        return None
    if not has_attempts_left(job):
        return failure.reason
    if not spend_retry(router, job, failure.reason):
        return Reason.RETRY_BUDGET
    return None


def should_retry_error(router: Router, job: Job, response: Response) -> bool:
    """Keep an endpoint's error answer as a fallback and check whether to retry.

    Takes a retry from the budget if the job may be retried.
    """
    job.may_have_run = True
    job.fallback_response = response
    job.excluded.update(job.sent_to)
    if not job.may_retry:
        return False
    return spend_retry(router, job, Reason.ENGINE_ERROR)


def has_attempts_left(job: Job) -> bool:
    """Check whether the route allows another endpoint to be tried."""
    return len(job.sent_to) < job.route.max_attempts
