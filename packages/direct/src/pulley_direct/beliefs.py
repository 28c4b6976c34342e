"""What a router knows of the fleet, and how old that knowledge is."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from pulley_base import Clock, log_event, wall_time_ms
from pulley_policy.homes import Place

from .models import (
    Configuration,
    Endpoint,
    EndpointRemoved,
    Fact,
    RouterRemoved,
    RouterSeen,
)
from .signals import Signal

logger = logging.getLogger(__name__)

# Entries that expired during an outage of the store are written again within two
# seconds of its return.
LAPSE_GRACE_MS = 2_200
# Shorter outages can't have made an entry expire.
MIN_OUTAGE_MS = 1_000
# How long an endpoint counts as having joined or left recently: contexts that are in
# use are requested again within this time.
RECENT_CHANGE_MS = 60_000
# Endpoints that start this soon after a service's first one count as part of its
# initial set, not as having joined.
INITIAL_START_MS = 15_000


@dataclass(frozen=True, slots=True)
class Departure:
    """An endpoint that takes no new work any more, and since when."""

    endpoint: Endpoint
    since_ms: int


@dataclass(slots=True)
class Beliefs:
    """The configuration in force, the endpoints and the other routers.

    ``confirmed_ms`` is the latest clock reading at which the store is known to
    have held nothing newer, None before the first answer. ``lapsed`` holds the
    endpoints whose entries were missing after an outage of the store, with the
    clock reading at which they count as removed. ``departed`` holds those that
    left recently. ``failing_since_ms`` is set while the store does not answer,
    ``outage_end_ms`` after its last outage. ``wall_clock`` reads the time of day
    and is used only to tell how long ago an endpoint started.
    """

    clock: Clock
    wall_clock: Clock = field(default_factory=lambda: Clock(wall_time_ms))
    configuration: Configuration | None = None
    confirmed_ms: int | None = None
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    routers: dict[str, str] = field(default_factory=dict)
    lapsed: dict[str, int] = field(default_factory=dict)
    departed: dict[str, Departure] = field(default_factory=dict)
    failing_since_ms: int | None = None
    outage_end_ms: int | None = None
    changed: Signal = field(default_factory=Signal)
    confirmed: Signal = field(default_factory=Signal)


def configuration_age_ms(beliefs: Beliefs) -> int | None:
    """Return how long ago the configuration was known to be the newest, in ms.

    None if the store has not answered yet.
    """
    if beliefs.confirmed_ms is None:
        return None
    return beliefs.clock.now_ms() - beliefs.confirmed_ms


def record_store_failure(beliefs: Beliefs, started_ms: int, reason: str) -> None:
    """Record that a call to the store which began at ``started_ms`` failed."""
    if beliefs.failing_since_ms is None:
        beliefs.failing_since_ms = started_ms
        log_event(
            logger, "store_lost", reason=reason, age_ms=configuration_age_ms(beliefs)
        )


def record_store_success(beliefs: Beliefs, confirmed_ms: int) -> None:
    """Record that the store answered; its state is known as of ``confirmed_ms``."""
    now_ms = beliefs.clock.now_ms()
    if beliefs.failing_since_ms is not None:
        lasted_ms = now_ms - beliefs.failing_since_ms
        beliefs.failing_since_ms = None
        if lasted_ms >= MIN_OUTAGE_MS:
            beliefs.outage_end_ms = now_ms
        log_event(logger, "store_regained", lasted_ms=lasted_ms)
    beliefs.confirmed_ms = max(confirmed_ms, beliefs.confirmed_ms or confirmed_ms)
    beliefs.confirmed.notify()


def replace_facts(beliefs: Beliefs, facts: Iterable[Fact]) -> None:
    """Apply everything that the store holds, and remove what it no longer lists."""
    facts = list(facts)
    listed = {fact.name for fact in facts if isinstance(fact, Endpoint)}
    routers = {fact.name for fact in facts if isinstance(fact, RouterSeen)}
    missing = [EndpointRemoved(name) for name in beliefs.endpoints.keys() - listed]
    missing += [RouterRemoved(name) for name in beliefs.routers.keys() - routers]
    apply_facts(beliefs, [*facts, *missing])


def apply_facts(beliefs: Beliefs, facts: Iterable[Fact]) -> None:
    """Apply changes in the order of the store."""
    for fact in facts:
        apply_fact(beliefs, fact)
    beliefs.changed.notify()


def apply_fact(beliefs: Beliefs, fact: Fact) -> None:
    if isinstance(fact, Configuration):
        install_configuration(beliefs, fact)
    elif isinstance(fact, Endpoint):
        list_endpoint(beliefs, fact)
    elif isinstance(fact, EndpointRemoved):
        remove_endpoint(beliefs, fact.name)
    elif isinstance(fact, RouterSeen):
        beliefs.routers[fact.name] = fact.address
    elif isinstance(fact, RouterRemoved):
        beliefs.routers.pop(fact.name, None)


def install_configuration(beliefs: Beliefs, candidate: Configuration) -> None:
    """Put a configuration in force unless the current one is as new or newer."""
    current = beliefs.configuration
    if current is not None and candidate.version <= current.version:
        return
    beliefs.configuration = candidate
    log_event(
        logger,
        "configuration_installed",
        version=candidate.version,
        replaced=None if current is None else current.version,
        n_routes=len(candidate.routes),
    )


def list_endpoint(beliefs: Beliefs, endpoint: Endpoint) -> None:
    """Add or update an endpoint's entry."""
    known = beliefs.endpoints.get(endpoint.name)
    beliefs.endpoints[endpoint.name] = endpoint
    beliefs.lapsed.pop(endpoint.name, None)
    update_departure(beliefs, endpoint)
    if known is None or known.draining != endpoint.draining:
        log_event(
            logger,
            "endpoint_listed",
            endpoint=endpoint.name,
            service=endpoint.service,
            address=endpoint.address,
            draining=endpoint.draining,
        )


def update_departure(beliefs: Beliefs, endpoint: Endpoint) -> None:
    """Record that an endpoint takes no new work, or that it takes work again."""
    if endpoint.draining:
        departure = Departure(endpoint, beliefs.clock.now_ms())
        beliefs.departed.setdefault(endpoint.name, departure)
    else:
        beliefs.departed.pop(endpoint.name, None)


def drop_endpoint(beliefs: Beliefs, endpoint: Endpoint) -> None:
    """Remove an endpoint that is no longer listed, and keep it as recently departed."""
    del beliefs.endpoints[endpoint.name]
    beliefs.lapsed.pop(endpoint.name, None)
    departure = Departure(endpoint, beliefs.clock.now_ms())
    beliefs.departed.setdefault(endpoint.name, departure)


def service_places(
    beliefs: Beliefs, service: str, usable: list[Endpoint]
) -> list[Place]:
    """Return a service's ``usable`` and recently departed endpoints for ranking."""
    departed = [one for one in recently_departed(beliefs) if one.service == service]
    started = [one.started_ms for one in usable + departed if one.started_ms]
    joined_after_ms = max(
        min(started, default=0) + INITIAL_START_MS,
        beliefs.wall_clock.now_ms() - RECENT_CHANGE_MS,
    )
    places = [
        Place(one.name, joined=one.started_ms > joined_after_ms) for one in usable
    ]
    places += [
        Place(one.name, usable=False, joined=one.started_ms > joined_after_ms)
        for one in departed
    ]
    return places


def recently_departed(beliefs: Beliefs) -> list[Endpoint]:
    """Return the endpoints that left recently, and drop the older ones."""
    oldest_ms = beliefs.clock.now_ms() - RECENT_CHANGE_MS
    for name, departure in list(beliefs.departed.items()):
        if departure.since_ms <= oldest_ms:
            del beliefs.departed[name]
    return [departure.endpoint for departure in beliefs.departed.values()]


def remove_endpoint(beliefs: Beliefs, name: str) -> None:
    """Remove an endpoint, or keep it for a grace period after an outage of the store.

    A draining endpoint gets no grace period.
    """
    endpoint = beliefs.endpoints.get(name)
    if endpoint is None:
        return
    until_ms = lapse_grace_end_ms(beliefs)
    if until_ms is not None and not endpoint.draining:
        beliefs.lapsed[name] = until_ms
    else:
        drop_endpoint(beliefs, endpoint)
    log_event(logger, "endpoint_removed", endpoint=name, kept_until_ms=until_ms)


def lapse_grace_end_ms(beliefs: Beliefs) -> int | None:
    """Return until when a missing entry may be listed again, None if it may not."""
    if beliefs.outage_end_ms is None:
        return None
    until_ms = beliefs.outage_end_ms + LAPSE_GRACE_MS
    return until_ms if beliefs.clock.now_ms() < until_ms else None


def usable_endpoints(beliefs: Beliefs, service: str) -> list[Endpoint]:
    """Return the endpoints of a service that may get new work."""
    drop_lapsed(beliefs)
    return [
        endpoint
        for endpoint in beliefs.endpoints.values()
        if endpoint.service == service and not endpoint.draining
    ]


def drop_lapsed(beliefs: Beliefs) -> None:
    """Remove the endpoints that were not listed again in time."""
    if not beliefs.lapsed:
        return
    now_ms = beliefs.clock.now_ms()
    gone = [name for name, until_ms in beliefs.lapsed.items() if until_ms <= now_ms]
    for name in gone:
        drop_endpoint(beliefs, beliefs.endpoints[name])
        log_event(logger, "endpoint_lapsed", endpoint=name)
