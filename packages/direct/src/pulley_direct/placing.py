"""Choosing the endpoint of an attempt, and where it may copy context from."""

from dataclasses import dataclass
from random import random

from pulley_policy.homes import Place, order_places, order_sources
from pulley_policy.spreads import Option, choose_idle, choose_warm

from .beliefs import service_places, usable_endpoints
from .jobs import Job
from .loads import estimate_load, is_held_off, is_ready
from .models import Endpoint, Part
from .routers import Router

# Longer names of parts are cut, as the ranking takes no more.
DIGEST_BYTES = 64
# A prompt whose first part is not the one that its home is found by.
FEWEST_PARTS = 3


@dataclass(frozen=True, slots=True)
class Target:
    """The endpoint of an attempt, and the address that may hold its context."""

    endpoint: Endpoint
    context_source: str | None = None


def choose_target(router: Router, job: Job) -> Target | None:
    """Give the target of a job's next attempt, None where there is none."""
    usable = usable_endpoints(router.beliefs, job.service)
    endpoints = {one.name: one for one in usable if one.name not in job.excluded}
    if not endpoints:
        return None
    ready = {name for name in endpoints if is_ready(router.loads, name)}
    candidates = ready or set(endpoints)
    key = shared_key(job)
    if key is not None:
        places = service_places(router.beliefs, job.service, usable)
        return choose_prompt_target(router, job, key, candidates, places)
    options = [make_option(router, endpoints[name]) for name in candidates]
    return Target(endpoints[choose_idle(options, random).name])


def choose_prompt_target(
    router: Router, job: Job, key: bytes, candidates: set[str], places: list[Place]
) -> Target:
    """Give the target of a prompt: its home, or the next within the bound."""
    endpoints = router.beliefs.endpoints
    ordered = [name for name in order_places(key, places) if name in candidates]
    options = [make_option(router, endpoints[name]) for name in ordered]
    factor = router.settings.bounds.load_factor
    chosen = choose_warm(options, factor).name
    sources = order_sources(key, places, chosen)
    if not sources:
        sources = holders_of_first_part(job, places, chosen)
    return Target(endpoints[chosen], first_alive(router, sources))


def holders_of_first_part(job: Job, places: list[Place], chosen: str) -> list[str]:
    """Order the endpoints that may hold the first part of a prompt of many."""
    parts = job.call.parts
    if len(parts) < FEWEST_PARTS:
        return []
    first = part_key(parts[0])
    return [name for name in order_places(first, places) if name != chosen]


def first_alive(router: Router, names: list[str]) -> str | None:
    """Give the address of the first endpoint that is listed and answers."""
    for name in names:
        endpoint = router.beliefs.endpoints.get(name)
        if endpoint is not None and not is_held_off(router.loads, name):
            return endpoint.address
    return None


def make_option(router: Router, endpoint: Endpoint) -> Option:
    """Describe an endpoint to the decision."""
    load = estimate_load(router.loads, endpoint.name)
    return Option(endpoint.name, load, share=max(1, endpoint.slots))


def shared_key(job: Job) -> bytes | None:
    """Give the last part that a prompt shares with others, None without parts."""
    parts = job.call.parts
    if not parts:
        return None
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    return part_key(shared)


def part_key(part: Part) -> bytes:
    """Give the bytes by which a part is ranked."""
    return part.digest.encode()[:DIGEST_BYTES]
