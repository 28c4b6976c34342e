"""A request in progress, and the error of a failed attempt."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from pulley_base import PulleyError, Reason
from pulley_http import Response
from pulley_policy.holdings import Holder
from pulley_policy.losses import Scores

from .models import Call, Endpoint, ReportedLoad, Route, Team


@dataclass(frozen=True, slots=True)
class Placement:
    """What the router believed when it chose an endpoint.

    ``load`` is the estimate of the requests at the endpoint, ``mean`` that of all
    endpoints that could have been chosen; ``bound`` is the endpoint's load bound.
    ``rank`` is the endpoint's place among them for a prompt, 0 for its home, None for
    other requests.
    """

    rank: int | None
    load: float
    mean: float
    bound: float


@dataclass(frozen=True, slots=True)
class Loss:
    """An attempt whose endpoint may have crashed, and the probe that will tell.

    ``scores`` are those of the keys that the loss is held against.
    """

    endpoint: Endpoint
    scores: Scores
    probe: asyncio.Task
    answer_began: bool = False


@dataclass(frozen=True, slots=True)
class StreamHead:
    """Status and media type of a streamed answer, the same for its continuations.

    ``media_type`` is empty if the answer names none.
    """

    status: int
    media_type: bytes


@dataclass(slots=True)
class Job:
    """A caller's request while the router works on it.

    ``arrived_ms``, ``deadline_ms`` and ``sent_ms``, the time of the last attempt, are
    readings of the router's clock. ``version`` is that of the configuration in force
    when the job was created. ``sent_to`` lists the endpoints that the request was sent
    to, in order, ``addresses`` where they are; ``excluded`` holds those that are not to
    be tried again. ``may_have_run`` says whether one of them may have begun to work on
    it, ``retry_reserved`` that its next retry has already been taken from the budget,
    ``stream_head`` is that of the streamed answer that the router has begun.
    ``last_bad_endpoint`` is the endpoint for which an attempt was last counted as bad,
    ``fallback_response`` an endpoint's error answer that is returned if no other
    attempt succeeds. ``scores`` are those of the request's keys when it was last sent,
    None once it had a good answer. ``placement`` tells why the endpoint of the last
    attempt was chosen, ``reported`` is the load that this endpoint reported.
    ``elsewhere`` is set once the job is dispatched; ``other`` is the attempt beside the
    present one, if that is silent. ``losses`` are not reported yet. ``holder`` is the
    room that the request has reserved. ``has_paused`` says that the router itself stood
    still while it waited for the present attempt.
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
    addresses: set[str] = field(default_factory=set)
    excluded: set[str] = field(default_factory=set)
    may_have_run: bool = False
    retry_reserved: bool = False
    stream_head: StreamHead | None = None
    sent_ms: int = 0
    last_bad_endpoint: str | None = None
    fallback_response: Response | None = None
    scores: Scores | None = None
    placement: Placement | None = None
    reported: ReportedLoad | None = None
    elsewhere: "Elsewhere | None" = None
    other: "OtherAttempt | None" = None
    losses: list[Loss] = field(default_factory=list)
    holder: Holder = field(default_factory=Holder)
    has_paused: bool = False

    @property
    def may_retry(self) -> bool:
        """Return whether the route permits a retry and has attempts left.

        This applies also to a request that may have run.
        """
        return self.route.retryable and len(self.sent_to) < self.route.max_attempts


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """How a job is tried at another endpoint while its present one is silent.

    ``ask`` gets a copy of the job and the silent endpoint; it returns an answer, None
    if there is none. ``discard`` releases an answer that is not used.
    """

    ask: Callable[[Job, Endpoint], Coroutine[Any, Any, Any]]
    discard: Callable[[Any], None]


@dataclass(frozen=True, slots=True)
class OtherAttempt:
    """An attempt beside a silent one: its copy of the job, and its task.

    The copy shares the lists of endpoints with the job; ``discard`` releases the
    task's answer if it is not used.
    """

    job: Job
    task: asyncio.Task
    discard: Callable[[Any], None]


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
