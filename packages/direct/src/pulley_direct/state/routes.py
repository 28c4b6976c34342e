"""Route, team and service of a request."""

from dataclasses import dataclass, field

from pulley_base import Outcome, Reason
from pulley_http import RequestRefused

from .models import Call, Configuration, Route, Team, WeightedService


@dataclass(slots=True)
class RouteIndex:
    """A configuration's routes by host and prefix; rebuilt for each version."""

    version: int | None = None
    by_host: dict[str, dict[str, Route]] = field(default_factory=dict)


def refresh_index(index: RouteIndex, configuration: Configuration) -> None:
    """Rebuild an index if its version differs from the configuration's."""
    if index.version == configuration.version:
        return
    by_host: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, {})[route.prefix] = route
    index.version = configuration.version
    index.by_host = by_host


def find_route(index: RouteIndex, host: str, path: str) -> Route | None:
    """Return a host's route with the longest prefix of ``path``, None if none matches.

    Only prefixes that end with ``/`` can match.
    """
    prefixes = index.by_host.get(host)
    if not prefixes:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def find_team(configuration: Configuration, route: Route, call: Call) -> Team | None:
    """Return the team that a call's token belongs to.

    None on a public route, or if the configuration has no tokens. Raises
    RequestRefused with 401 for an absent or unknown token.
    """
    if route.public or not configuration.needs_token:
        return None
    if call.token is None:
        raise token_refusal(Reason.NO_TOKEN, "the request carries no token")
    team = configuration.teams_by_token.get(call.token)
    if team is None:
        raise token_refusal(Reason.BAD_TOKEN, "the token is not known")
    return team


def token_refusal(reason: Reason, detail: str) -> RequestRefused:
    """Return the refusal, with status 401, of a caller without a valid token."""
    return RequestRefused(401, reason, detail, outcome=Outcome.NOT_RUN, step="token")


def choose_service(shares: tuple[WeightedService, ...], point: float) -> str:
    """Choose one of a route's services by weight.

    ``point``, from 0 to below 1, is the position as a fraction of the sum of the
    weights.

    >>> choose_service((WeightedService("a", 90.0), WeightedService("b", 10.0)), 0.95)
    'b'
    """
    remaining = point * sum(share.weight for share in shares)
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return shares[-1].service
