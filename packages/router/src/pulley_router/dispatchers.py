"""State shared by a router's attempts, and the choice of the next endpoint."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from pulley_base import Clock
from pulley_fleet.followers import Follower
from pulley_fleet.members import Members, usable_endpoints
from pulley_fleet.windows import Window
from pulley_policy.placement import (
    Candidate,
    PlacementFunction,
    place_home,
    select_local,
)
from pulley_policy.retries import RetryBudget
from pulley_rules import Rules, find_placement, is_drained

from .models import Call
from .peers import Peers, release_stream
from .recovery import RecoveryContext
from .streams import AttemptStream


@dataclass(slots=True)
class Dispatcher:
    """State that the attempts of all requests share.

    ``budgets`` maps a service to its retry budget, ``in_flight`` an endpoint to the
    work that this router has in flight there.
    """

    peers: Peers
    members: Members
    clock: Clock
    follower: Follower
    window: Window
    data_centre: str = ""
    place: PlacementFunction = place_home
    random: Random = field(default_factory=Random)
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    in_flight: Counter = field(default_factory=Counter)

    @property
    def recovery_context(self) -> RecoveryContext:
        """Return what the recovery of a lost attempt needs."""
        return RecoveryContext(self.peers, self.window, self.clock)


def close_attempt(dispatcher: Dispatcher, call: Call, stream: AttemptStream) -> None:
    """Release an attempt that is over and subtract its work from the endpoint's."""
    if not stream.closed:
        dispatcher.in_flight[stream.connection.peer] -= call.work
    release_stream(dispatcher.peers, stream)


def choose_endpoint(dispatcher: Dispatcher, call: Call) -> str | None:
    """Return the endpoint that the placement ranks first, None if there is none.

    Endpoints already tried, drained or closed by a rule are excluded. Those of other
    data centres are used only if no local one is left, and those in backoff after a
    connection failure only if no other is left: when all connections broke at once, the
    cause is more likely this router than the endpoints.
    """
    here = dispatcher.data_centre
    endpoints = allowed_endpoints(dispatcher, call, here)
    endpoints = endpoints or allowed_endpoints(dispatcher, call)
    endpoints = endpoints or allowed_endpoints(dispatcher, call, include_backoff=True)
    draw = dispatcher.random.random
    ranked = dispatcher.place(call.chat, endpoints, dispatcher.in_flight, draw)
    return ranked[0] if ranked else None


def allowed_endpoints(
    dispatcher: Dispatcher,
    call: Call,
    data_centre: str | None = None,
    include_backoff: bool = False,
) -> list[str]:
    """Return the endpoints, of one data centre or of all, that may be tried."""
    candidates = usable_endpoints(
        dispatcher.members, call.service, data_centre, include_backoff
    )
    allowed = apply_rules(dispatcher.follower.rules, call, candidates)
    return select_local(allowed, dispatcher.data_centre, call.route.tried)


def apply_rules(
    rules: Rules, call: Call, candidates: list[Candidate]
) -> list[Candidate]:
    """Return the candidates that the rules in force allow for this call."""
    places = find_placement(rules, call.chat, call.team)
    allowed = [
        candidate
        for candidate in candidates
        if candidate.name not in places.excluded_endpoints
        and candidate.data_centre not in places.excluded_data_centres
        and not is_drained(rules, candidate.name, candidate.data_centre)
    ]
    if not places.pinned_endpoints and not places.pinned_data_centres:
        return allowed
    return [
        candidate
        for candidate in allowed
        if candidate.name in places.pinned_endpoints
        or candidate.data_centre in places.pinned_data_centres
    ]
