"""What the router knows: configuration, endpoints, calls and answers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from pulley_http import Headers, Limits, Request


class Kind(StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Share:
    """One service's weight among those that a route is split over."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go, and on what terms.

    ``target_ms`` is the time in which an answer should begin, 0 where none is set.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_ms: int
    target_ms: int
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have run may be sent again."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints that serve the same requests."""

    name: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Team:
    """A team, and the priority that its requests have instead of the route's."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration, in full."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits
    teams_by_token: Mapping[str, Team]
    needs_token: bool


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint as the platform lists it; ``name`` is one incarnation's id.

    ``started_ms`` is the Unix time of its start, 0 where it is not told.
    """

    name: str
    service: str
    address: str
    slots: int = 0
    draining: bool = False
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """The platform no longer lists this endpoint."""

    name: str


@dataclass(frozen=True, slots=True)
class RouterSeen:
    """Another router of the fleet, and the address of its peer port."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class RouterRemoved:
    """A router whose lease has ended."""

    name: str


Fact = Configuration | Endpoint | EndpointRemoved | RouterSeen | RouterRemoved


@dataclass(frozen=True, slots=True)
class Part:
    """One part of a prompt: its digest as text, and its size in tokens."""

    digest: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request, decoded.

    ``timeout_ms`` is how long the caller waits, None where it does not say.
    ``headers`` are those to pass on: end to end, without the ones that only the
    fleet may set.
    """

    request_id: str
    host: str
    path: str
    method: str
    target: str
    headers: Headers
    timeout_ms: int | None = None
    token: str | None = None
    parts: tuple[Part, ...] = ()
    output_tokens: int = 0
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptTerms:
    """What an attempt tells its endpoint beside the caller's own headers.

    ``context_source`` is the address of another endpoint that may hold more of
    the prompt's context, to copy it from.
    """

    endpoint: str
    left_ms: int
    team: str | None
    last_event_id: int | None
    context_source: str | None = None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What an endpoint said of its load when it answered, in requests."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the headers of an endpoint's answer say."""

    request_id: str | None
    not_run: bool
    encoded: bool
    load: ReportedLoad | None = None
    idle_timeout_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Dialect:
    """How requests and answers are spelled where the router runs.

    ``read_call`` raises RequestRefused for a request that can't be read.
    """

    read_call: Callable[[Request], Call]
    attempt_headers: Callable[[Call, AttemptTerms], Headers]
    read_answer: Callable[[Headers], AnswerFacts]


@dataclass(frozen=True, slots=True)
class Bounds:
    """The limits that the deployment promises its callers, in milliseconds.

    ``load_factor`` is the most load an endpoint may carry, as a multiple of its
    service's mean. The retry budget allows ``retry_ratio`` of the requests plus
    ``retry_slack`` in each window of some seconds, over all routers together.
    """

    revoke_ms: int = 5_000
    configuration_ms: int = 2_000
    drain_ms: int = 2_000
    grace_ms: int = 8_000
    load_factor: float = 2.0
    retry_ratio: float = 0.2
    retry_slack: int = 100


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Everything that a router is told at its start.

    ``metrics_port`` is 0 where nothing is shown to operators.
    """

    instance: str
    ip: str
    data_centre: str
    callers_address: str
    ready_address: str
    peer_ports: tuple[int, int]
    store_address: str
    bounds: Bounds = field(default_factory=Bounds)
    store_min_ttl_ms: int = 1_000
    metrics_port: int = 0
