"""Failed attempts: recorded for their endpoint and their job, and logged."""

import logging

from pulley_base import Reason, log_event

from ..state.jobs import AttemptFailed, Job
from ..state.loads import get_state
from ..state.models import Call
from ..state.routers import Router
from .outcomes import record_failed_attempt

logger = logging.getLogger(__name__)

MAX_LOGGED_PARTS = 8
# Characters of a part's digest in a log line.
MAX_LOGGED_DIGEST = 16


def handle_attempt_failure(router: Router, job: Job, failure: AttemptFailed) -> None:
    """Record a failed attempt for its endpoint and its job, and log it."""
    name = failure.endpoint.name
    job.may_have_run = job.may_have_run or failure.may_have_run
    backoff_until_ms = record_failed_attempt(
        router, job, failure.endpoint, failure.reason
    )
    if failure.reason is Reason.ENGINE_UNREACHABLE:
        get_state(router.loads, name).unreachable = True
    log_event(
        logger,
        "attempt_failed",
        request=job.call.request_id,
        endpoint=name,
        reason=failure.reason,
        detail=failure.args[0],
        may_have_run=failure.may_have_run,
        answer_began=failure.answer_began,
        parts=list_shared_parts(job.call) if failure.may_have_run else None,
        held_until_ms=backoff_until_ms,
        n_sent=len(job.sent_to),
        left_ms=job.deadline_ms - router.clock.now_ms(),
    )


def list_shared_parts(call: Call) -> str | None:
    """Return the digests of a prompt's shared parts for the log, None without any.

    All parts but the last may be shared; of a long prompt only the first ones are
    listed.
    """
    shared = call.parts[:-1][:MAX_LOGGED_PARTS]
    return ",".join(part.digest[:MAX_LOGGED_DIGEST] for part in shared) or None
