"""The rules in force, as routers and agents read them."""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


class Priority(IntEnum):
    """Priority classes; a lower number goes first."""

    INTERACTIVE = 0
    QUICK = 1
    BATCH = 2


class Subject(StrEnum):
    """Kinds of object that a hold, drain or pin rule can name."""

    SERVICE = "service"
    TEAM = "team"
    CHAT = "chat"
    ENDPOINT = "endpoint"
    DATA_CENTRE = "data-centre"


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """The settings of one service.

    ``kind`` is ``"model"`` (load in tokens) or ``"plain"`` (load in requests).
    ``load_multiple`` bounds an endpoint's load as a multiple of the mean load.
    ``deadline_ms`` and ``queue_ms`` limit a request's total time and its time in
    the queue. ``batch_share`` is the share of an endpoint's capacity, from 0 to 1,
    that batch calls may use.
    ``fencing`` is True if the endpoints refuse old fencing numbers.
    """

    name: str
    kind: str = "model"
    load_multiple: float = 1.5
    deadline_ms: int = 60_000
    queue_ms: int = 10_000
    batch_share: float = 0.5
    fencing: bool = False


@dataclass(frozen=True, slots=True)
class TeamRule:
    """The settings of one team: its weight in the queues, its limit and its token.

    ``max_running`` is 0 for no limit. ``token_sha256`` is empty if the team has
    no token.
    """

    name: str
    weight: float = 1.0
    max_running: int = 0
    token_sha256: str = ""


@dataclass(frozen=True, slots=True)
class CallRule:
    """The settings of a service's calls under one path prefix.

    ``method`` is ``"*"`` for every method. ``idempotent`` and ``priority`` are None
    if the rule leaves them to a less specific rule or to the defaults.
    """

    service: str
    method: str
    path: str
    idempotent: bool | None = None
    priority: Priority | None = None


@dataclass(frozen=True, slots=True)
class HoldRule:
    """A service or team on hold: its requests are refused with the outcome not-run."""

    subject: Subject
    name: str


@dataclass(frozen=True, slots=True)
class DrainRule:
    """An endpoint or data centre that is drained: it gets no new requests."""

    subject: Subject
    name: str


@dataclass(frozen=True, slots=True)
class PinRule:
    """A chat or team that is pinned to an endpoint or data centre, or kept out of it.

    A chat is named by the 32 hexadecimal digits of its digest. ``kept_out`` is
    True if the rule excludes the place and False if it requires it.
    """

    subject: Subject
    name: str
    place: Subject
    place_name: str
    kept_out: bool = False


@dataclass(frozen=True, slots=True)
class Rules:
    """All rules of one revision of the file.

    ``tokens`` maps the SHA-256 of each token to its team. ``known`` maps the text
    of each line to its rule, so that parsing a later revision parses only the
    lines that changed.
    """

    revision: int = 0
    services: dict[str, ServiceRule] = field(default_factory=dict)
    teams: dict[str, TeamRule] = field(default_factory=dict)
    calls: tuple[CallRule, ...] = ()
    holds: frozenset[HoldRule] = frozenset()
    drains: frozenset[DrainRule] = frozenset()
    pins: tuple[PinRule, ...] = ()
    tokens: dict[str, str] = field(default_factory=dict)
    text: str = ""
    known: dict[str, object] = field(default_factory=dict, repr=False, compare=False)
