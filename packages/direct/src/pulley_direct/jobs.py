"""One request on its way, and the errors that an attempt may end in."""

from dataclasses import dataclass, field

from pulley_base import PulleyError, Reason
from pulley_http import Response

from .models import Call, Endpoint, Route, Team


@dataclass(slots=True)
class Job:
    """A caller's request while the router works on it.

    ``deadline_ms`` is a reading of the router's clock. ``sent`` lists the
    endpoints that it was sent to in order; ``may_have_run`` says whether one of
    them may have begun to work on it, ``retry_reserved`` that its next retry has
    been taken out of the budget already, ``streaming`` that its caller has had
    the first event. ``sent_ms`` is when the last attempt was sent, ``bad_at`` the
    endpoint at which one was last counted as bad.
    """

    call: Call
    route: Route
    service: str
    team: Team | None
    body: bytes
    arrived_ms: int
    deadline_ms: int
    version: int
    sent: list[str] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    may_have_run: bool = False
    retry_reserved: bool = False
    streaming: bool = False
    sent_ms: int = 0
    bad_at: str | None = None
    fallback: Response | None = None

    @property
    def may_resend(self) -> bool:
        """Tell whether another endpoint may get the request after this one."""
        return self.route.repeatable and len(self.sent) < self.route.max_attempts


class AttemptFailed(PulleyError):
    """An attempt brought no answer to pass on.

    ``reached`` is False where nothing was written to the endpoint;
    ``may_have_run`` is False only where the endpoint said that it did not run
    the request, or was not reached.
    """

    def __init__(
        self,
        reason: Reason,
        detail: str,
        endpoint: Endpoint,
        *,
        reached: bool = True,
        may_have_run: bool = True,
    ):
        super().__init__(detail, step=str(reason), peer=endpoint.address)
        self.reason = reason
        self.endpoint = endpoint
        self.reached = reached
        self.may_have_run = may_have_run
