"""What a router knows of the fleet: the state that the store's words change."""

from dataclasses import dataclass, field
from enum import StrEnum

from pulley_base import Clock, wall_time_ms
from pulley_policy.homes import Place, Ranking

from .crash_log import CrashLog
from .mirrors import Mirror
from .models import Configuration, Endpoint, RouterEntry
from .signals import Signal

# A live router whose entry has lapsed writes it again within a renewal's interval.
ROUTER_MEMORY_MS = 30_000
# Watchers are asked again within a part of this time.
STALE_WORD_MEMORY_MS = 4_000


@dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint that takes no new work any more, and since when."""

    endpoint: Endpoint
    since_ms: int


class LeavingSource(StrEnum):
    """Who said that an endpoint leaves: its entry, an answer of its own or a peer."""

    STORE = "store"
    ANSWER = "answer"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Leaving:
    """An endpoint's start, as Unix time in ms, after which it said that it leaves.

    ``heard_ms`` is the clock reading at which the router first heard of it.
    """

    started_ms: int
    heard_ms: int


@dataclass(frozen=True, slots=True)
class LastWord:
    """The store's newest word about an endpoint, and when it was heard, in clock ms.

    ``n_restores`` tells the history that it belongs to. ``removed_started_ms`` is the
    start of the endpoint that it removed, as Unix time in ms, None if it lists one.
    """

    revision: int
    heard_ms: int
    n_restores: int
    removed_started_ms: int | None = None


@dataclass(slots=True)
class ServiceView:
    """A service's usable endpoints by name, and what choices derive from them.

    It was built at ``built_ms``, in clock ms, after ``n_changes`` changes of endpoints.
    ``places`` are its usable and recently departed endpoints, ``rankings`` those of
    parts in use; ``total_share`` is the sum of the usable endpoints' shares,
    ``evacuated_share`` that of endpoints whose data centres are evacuated.
    """

    built_ms: int
    n_changes: int
    endpoints: dict[str, Endpoint]
    places: list[Place]
    total_share: int
    evacuated_share: int = 0
    rankings: dict[bytes, Ranking] = field(default_factory=dict)


@dataclass(slots=True)
class FleetView:
    """The configuration in force, the endpoints and the other routers.

    ``confirmed_ms`` is the latest clock reading at which the store is known to
    have held nothing newer than the configuration in force, None before the first
    answer; ``stored_version`` is the version that it held when it was read last,
    ``peer_version`` the newest that another router told, at ``peer_version_ms``;
    ``n_version_answers`` counts what they told, ``versions_heard`` is notified of each,
    and ``awaits_versions`` is set while a router that starts waits for that.
    ``routers`` holds the listed routers by name, ``former_routers``
    when the entries of others went. ``lapsed`` holds the endpoints whose entries were
    missing after an outage of the store, with the clock reading at which they count as
    removed. ``departed`` holds those that left recently, ``leaving`` those that said
    that they leave, ``last_words`` what the store last said of each. ``crash_log``
    holds what is known of requests that crash endpoints. ``failing_since_ms`` is set
    while the store does not answer, ``outage_end_ms`` after its last outage.
    ``n_restores`` counts how often the store was seen to be restored from a copy, the
    last time at ``restored_ms``; ``restored`` is notified then. ``has_doubts`` is set
    while an entry of the copy is not believed. ``evacuated`` holds the data centres
    whose endpoints take no new work, ``cold_until_ms`` until which clock reading an
    endpoint counts as cold. ``n_changes`` counts the changes of
    endpoints, ``services`` holds what was derived from them for each service.
    ``mirror`` is the copy of the store that a router which watches it keeps for its
    followers, None while it does not; ``watcher`` is the router that it follows
    instead, ``stale_word_ms`` when one told last that its own word is too old.
    ``wall_clock`` reads the time of day and is used only to tell how long ago an
    endpoint started.
    """

    clock: Clock
    wall_clock: Clock = field(default_factory=lambda: Clock(wall_time_ms))
    configuration: Configuration | None = None
    confirmed_ms: int | None = None
    stored_version: int | None = None
    peer_version: int = 0
    peer_version_ms: int = 0
    n_version_answers: int = 0
    awaits_versions: bool = False
    versions_heard: Signal = field(default_factory=Signal)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    routers: dict[str, RouterEntry] = field(default_factory=dict)
    former_routers: dict[str, int] = field(default_factory=dict)
    lapsed: dict[str, int] = field(default_factory=dict)
    departed: dict[str, Departure] = field(default_factory=dict)
    leaving: dict[str, Leaving] = field(default_factory=dict)
    last_words: dict[str, LastWord] = field(default_factory=dict)
    crash_log: CrashLog = field(default_factory=CrashLog)
    failing_since_ms: int | None = None
    outage_end_ms: int | None = None
    n_restores: int = 0
    restored_ms: int | None = None
    restored: Signal = field(default_factory=Signal)
    has_doubts: bool = False
    evacuated: set[str] = field(default_factory=set)
    cold_until_ms: dict[str, int] = field(default_factory=dict)
    n_changes: int = 0
    services: dict[str, ServiceView] = field(default_factory=dict)
    mirror: Mirror | None = None
    watcher: str | None = None
    stale_word_ms: int | None = None
    changed: Signal = field(default_factory=Signal)
    confirmed: Signal = field(default_factory=Signal)


def configuration_age_ms(fleet_view: FleetView) -> int | None:
    """Return how long ago the configuration was known to be the newest, in ms.

    None if the store has not answered yet.
    """
    if fleet_view.confirmed_ms is None:
        return None
    return fleet_view.clock.now_ms() - fleet_view.confirmed_ms


def is_store_away(fleet_view: FleetView) -> bool:
    """Check whether the store answers neither this router nor those that it asked."""
    if fleet_view.stale_word_ms is None:
        return False
    return fleet_view.clock.now_ms() < fleet_view.stale_word_ms + STALE_WORD_MEMORY_MS


def sharing_routers(fleet_view: FleetView) -> list[str]:
    """Return the names of the routers that may share limits and budgets.

    Those whose entries went lately are among them: a live router writes its entry
    again after an outage of the store.
    """
    oldest_ms = fleet_view.clock.now_ms() - ROUTER_MEMORY_MS
    for name, since_ms in list(fleet_view.former_routers.items()):
        if since_ms <= oldest_ms:
            del fleet_view.former_routers[name]
    return [*fleet_view.routers, *fleet_view.former_routers]
