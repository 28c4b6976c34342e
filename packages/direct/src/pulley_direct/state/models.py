"""Data types of the router: configuration, endpoints, calls and answers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from pulley_base import ABSENT, Sentinel
from pulley_http import Headers, Limits, Request
from pulley_policy.estimates import USUAL_PERCENT
from pulley_policy.losses import Clearance, LostRequest


class RetryClass(StrEnum):
    """Retry class of a route: which of its requests may be sent more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service's weight among those that a route is split over."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Target services and limits for requests with one host and path prefix.

    ``timeout_ms`` is the longest time that a request may take. ``target_ms`` is
    the time within which an answer should begin, 0 if none is set.
    ``max_attempts`` counts the first attempt too. A stream that is ``resumable``
    may be continued at another endpoint; a ``public`` route needs no token. ``regions``
    are those whose endpoints may serve it, all if there are none.
    """

    name: str
    host: str
    prefix: str
    retry_class: RetryClass
    shares: tuple[WeightedService, ...]
    timeout_ms: int
    target_ms: int
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    regions: frozenset[str] = frozenset()

    @property
    def retryable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.retry_class is RetryClass.IDEMPOTENT or (
            self.retry_class is RetryClass.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class Service:
    """A group of endpoints that serve the same requests.

    ``max_connections`` is the most connections that each endpoint accepts from
    all routers together, 0 if there is no limit. ``cold_rate_per_s`` is the most
    requests a second that one takes from all of them while it is cold, 0 if there is no
    limit; ``cold_start_ms`` is how long it stays cold after it starts.
    """

    name: str
    max_connections: int
    cold_rate_per_s: float = 0.0
    cold_start_ms: int = 0


@dataclass(frozen=True, slots=True)
class Team:
    """A team; its ``priority``, if set, replaces that of the route.

    ``regions`` are those whose endpoints may serve it, all if there are none; those of
    the route hold as well.
    """

    name: str
    priority: int | None = None
    regions: frozenset[str] = frozenset()


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
    """One endpoint as the platform lists it.

    A restarted endpoint has a new name, or its former name and a later start:
    ``started_ms`` is the Unix time of its start in ms, 0 if unknown. ``revision`` is
    the store's number of the entry's last change, 0 if unknown. ``cold_left_ms`` is for
    how long it was cold when the entry was written.
    """

    name: str
    service: str
    address: str
    slots: int = 0
    draining: bool = False
    started_ms: int = 0
    revision: int = 0
    data_centre: str = ""
    cold_left_ms: int = 0


@dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """The platform no longer lists this endpoint.

    ``revision`` is the store's number of the removal, 0 if unknown.
    """

    name: str
    revision: int = 0


@dataclass(frozen=True, slots=True)
class RouterEntry:
    """Another router of the fleet, and the address of its peer port, 0 for none.

    ``key`` is the secret under which it answers other routers, empty if it answers
    none; ``data_centre`` is empty, and ``link_mbps`` 0, if its entry does not tell.
    """

    name: str
    address: str
    data_centre: str = ""
    key: str = field(default="", repr=False)
    link_mbps: int = 0


@dataclass(frozen=True, slots=True)
class RouterRemoved:
    """A router whose lease has expired."""

    name: str


@dataclass(frozen=True, slots=True)
class EvacuationStarted:
    """An operator wants no new work for the endpoints of a data centre."""

    data_centre: str


@dataclass(frozen=True, slots=True)
class EvacuationEnded:
    """The endpoints of a data centre take work again."""

    data_centre: str


@dataclass(frozen=True, slots=True)
class CrashReports:
    """The requests that one router lost in crashes, and the keys that it cleared.

    ``reporter`` names one process of a router.
    """

    reporter: str
    lost: tuple[LostRequest, ...]
    cleared: tuple[Clearance, ...]


StoreEntry = (
    Configuration
    | Endpoint
    | EndpointRemoved
    | RouterEntry
    | RouterRemoved
    | EvacuationStarted
    | EvacuationEnded
    | CrashReports
)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt: its digest as text, and its size in tokens."""

    digest: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's decoded request.

    ``timeout_ms`` is how long the caller waits, None if it does not say.
    ``headers`` are those to forward: end-to-end headers without the ones that
    only the fleet may set.
    """

    request_id: str
    host: str
    path: str
    method: str
    target: str
    headers: Headers
    timeout_ms: int | None = None
    token: str | None = None
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptParameters:
    """Values that an attempt sends to its endpoint beside the caller's own headers.

    ``left_ms`` is the time left until the deadline. ``context_source`` is the
    address of another endpoint that may hold more of the prompt's context and
    from which it can be copied.
    """

    endpoint: str
    left_ms: int
    team: str | None
    last_event_id: int | None
    context_source: str | None = None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that an endpoint reported with an answer, in requests.

    ``duration_percent`` is how long work takes there at the moment, as a percentage of
    what it usually takes.
    """

    running: int
    waiting: int
    slots: int
    duration_percent: int = USUAL_PERCENT

    @property
    def n_requests(self) -> int:
        """Return all requests at the endpoint."""
        return self.running + self.waiting


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """Metadata from the headers of an endpoint's answer.

    ``request_id`` is the id of the request that it answers, None if absent;
    ``not_run`` says that the endpoint did not run the request, ``encoded`` that
    the body has a content encoding, ``signed`` that the endpoint's signature is there,
    ``leaving`` that the endpoint takes no new work any more. ``retry_after_ms`` is the
    time after which to come back, None if absent. ``rate_limit`` is the rate, in
    requests per second, that it takes from all routers together: ABSENT if it names
    none, UNKNOWN if that can't be read.
    """

    request_id: str | None
    not_run: bool
    encoded: bool
    signed: bool
    load: ReportedLoad | None = None
    idle_timeout_ms: int | None = None
    leaving: bool = False
    rate_limit: float | Sentinel = ABSENT
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class HeaderCodec:
    """Header formats of the platform that the router runs on.

    ``read_call`` raises RequestRefused for a request that can't be decoded.
    """

    read_call: Callable[[Request], Call]
    attempt_headers: Callable[[Call, AttemptParameters], Headers]
    read_answer: Callable[[Headers], AnswerMetadata]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the deployment guarantees to its callers; times are in milliseconds.

    ``revoke_ms`` is the time until a removed token stops working,
    ``configuration_ms`` until a new configuration is in force, ``drain_ms`` until
    a draining endpoint gets no new requests; ``grace_ms`` is the time between
    SIGTERM and the kill. ``load_factor`` is the most load an endpoint may carry,
    as a multiple of its service's mean. The retry budget allows ``retry_ratio``
    of the requests plus ``retry_slack`` in each window of ``retry_window_ms``, over
    all routers together.
    """

    revoke_ms: int = 5_000
    configuration_ms: int = 2_000
    drain_ms: int = 2_000
    grace_ms: int = 8_000
    load_factor: float = 2.0
    retry_ratio: float = 0.2
    retry_slack: int = 100
    retry_window_ms: int = 10_000


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Memory in MB and descriptors that the platform lets a process have.

    ``link_mbps`` is the bandwidth of its instance's link in Mbit/s, 0 if unknown.
    """

    memory_mb: int = 512
    descriptors: int = 8_192
    link_mbps: int = 0


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings that a router gets at its start.

    ``metrics_port`` is 0 if there is no listener for operators; ``regions`` tells the
    region of each data centre.
    """

    instance: str
    ip: str
    data_centre: str
    callers_address: str
    ready_address: str
    peer_ports: tuple[int, int]
    store_address: str
    bounds: Bounds = field(default_factory=Bounds)
    limits: ProcessLimits = field(default_factory=ProcessLimits)
    store_min_ttl_ms: int = 1_000
    metrics_port: int = 0
    regions: Mapping[str, str] = field(default_factory=dict)
