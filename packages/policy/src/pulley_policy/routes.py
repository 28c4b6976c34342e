"""Track one request's redirects: the endpoints tried and the next one.

The number of redirects is bounded. An agent redirects a request only while
``n_hops`` is below ``admission.MAX_HOPS``. A redirect to an endpoint already tried, or
to one that can't be reached, sets ``n_hops`` to that maximum, so that the next agent
queues the request or refuses it.
"""

from dataclasses import dataclass, field

from .admission import MAX_HOPS


@dataclass(slots=True)
class Route:
    """The endpoints tried so far and the target of the last redirect.

    ``sender`` is the agent that sent the redirect; ``warm`` means that the target is
    tried because of a pointer.
    """

    tried: list[str] = field(default_factory=list)
    n_hops: int = 0
    target: str = ""
    sender: str = ""
    warm: bool = False


def take_target(route: Route) -> str:
    """Return and clear the redirect's target; empty if there is none."""
    target, route.target = route.target, ""
    return target


def follow_redirect(route: Route, sender: str, target: str, warm: bool) -> None:
    """Record the endpoint to which ``sender`` redirects the request.

    A redirect without a target, or past ``MAX_HOPS``, is ignored.
    """
    if not target or route.n_hops >= MAX_HOPS:
        return
    route.n_hops = MAX_HOPS if target in route.tried else route.n_hops + 1
    route.target = target
    route.sender = sender
    route.warm = warm


def return_to_sender(route: Route) -> None:
    """Return to the agent whose redirect target was unreachable.

    That agent must then queue the request or refuse it.
    """
    route.target, route.sender = route.sender, ""
    route.warm = False
    if route.target:
        route.n_hops = MAX_HOPS


def start_over(route: Route) -> None:
    """Clear the redirect before a retry; the endpoints tried are kept."""
    route.target = route.sender = ""
    route.warm = False
