"""A request in progress, and the error of a failed attempt."""

import asyncio
from dataclasses import dataclass, field

from pulley_base import PulleyError, Reason
from pulley_http import Response
from pulley_policy.crashes import Scores

from .models import Call, Endpoint, Route, Team


@dataclass(frozen=True, slots=True)
class Loss:
    """An attempt whose endpoint may have crashed, and the probe that will tell.

    ``scores`` are those of the keys that the loss is held against.
    """

    endpoint: Endpoint
    scores: Scores
    probe: asyncio.Task
    answer_began: bool = False


@dataclass(slots=True)
class Job:
    """A caller's request while the router works on it.

    ``arrived_ms``, ``deadline_ms`` and ``sent_ms``, the time of the last attempt,
    are readings of the router's clock. ``version`` is that of the configuration
    in force when the job was created. ``sent_to`` lists the endpoints that the
    request was sent to, in order; ``excluded`` holds those that are not to be
    tried again. ``may_have_run`` says whether one of them may have begun to work
    on it, ``retry_reserved`` that its next retry has already been taken from the
    budget, ``streaming`` that the router has begun a streamed answer.
    ``last_bad_endpoint`` is the endpoint for which an attempt was last counted as
    bad, ``fallback_response`` an endpoint's error answer that is returned if no
    other attempt succeeds. ``scores`` are those of the request's keys when it was last
    sent, None once it had a good answer. ``losses`` are not reported yet.
    """

    call: Call
    route: Route
    service: str
    team: Team | None
    body: bytes
    arrived_ms: int
    deadline_ms: int
    version: int
    sent_to: list[str] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    may_have_run: bool = False
    retry_reserved: bool = False
    streaming: bool = False
    sent_ms: int = 0
    last_bad_endpoint: str | None = None
    fallback_response: Response | None = None
    scores: Scores | None = None
    losses: list[Loss] = field(default_factory=list)

    @property
    def may_retry(self) -> bool:
        """Return whether the route permits a retry and has attempts left.

        This applies also to a request that may have run.
        """
        return self.route.retryable and len(self.sent_to) < self.route.max_attempts


class AttemptFailed(PulleyError):
    """An attempt ended without an answer for the caller.

    ``reached`` is False if nothing was written to the endpoint; ``may_have_run``
    is False only if the endpoint reported that it did not run the request, or was
    not reached. ``answer_began`` says whether the head of its answer had arrived.
    """

    def __init__(
        self,
        reason: Reason,
        detail: str,
        endpoint: Endpoint,
        *,
        reached: bool = True,
        may_have_run: bool = True,
        answer_began: bool = False,
    ):
        super().__init__(detail, step=str(reason), peer=endpoint.address)
        self.reason = reason
        self.endpoint = endpoint
        self.reached = reached
        self.may_have_run = may_have_run
        self.answer_began = answer_began
