"""Choice of the endpoint for an attempt, and of a source to copy context from."""

from dataclasses import dataclass
from random import random

from pulley_policy.homes import Place, order_places, order_sources
from pulley_policy.spreads import (
    Option,
    Spread,
    choose_idle,
    choose_warm,
    load_bound,
    measure_spread,
)

from ..state.jobs import Job, Placement
from ..state.loads import (
    estimate_load,
    is_backing_off,
    is_closed,
    is_eligible,
)
from ..state.models import Endpoint, PromptPart
from ..state.routers import Router
from .availability import is_open
from .departures import service_places, usable_endpoints
from .limits import count_request, current_limit

# The longest key, in bytes, that blake2b accepts; longer digests are truncated.
MAX_DIGEST_BYTES = 64
# A prompt is placed by its last part but one, which is the first part if there are two.
MIN_PARTS_FOR_SOURCE = 3


@dataclass(frozen=True, slots=True)
class Target:
    """The endpoint of an attempt, and where to copy the prompt's context from.

    ``context_source`` is the address of another endpoint that may hold the context,
    None for a request without prompt parts or if no such endpoint is available.
    """

    endpoint: Endpoint
    placement: Placement
    context_source: str | None = None


def choose_target(router: Router, job: Job) -> Target | None:
    """Choose the target of a job's next attempt, None if no endpoint is left.

    Endpoints in backoff or ejected are chosen only if there is no other, closed ones
    never. The attempt counts against the endpoint's limit at once.
    """
    target = find_target(router, job)
    if target is not None:
        count_request(router, target.endpoint)
    return target


def find_target(router: Router, job: Job) -> Target | None:
    """Find the target of a job's next attempt, None if no endpoint is left."""
    usable = usable_endpoints(router.fleet_view, job.service)
    endpoints = {
        one.name: one
        for one in usable
        if one.name not in job.excluded and is_open(router, one)
    }
    if not endpoints:
        return None
    eligible = {name for name in endpoints if is_eligible(router.loads, name)}
    candidates = eligible or set(endpoints)
    key = shared_part_key(job)
    factor = router.settings.bounds.load_factor
    if key is not None:
        places = service_places(router.fleet_view, job.service, usable)
        return choose_prompt_target(router, job, key, candidates, places)
    options = [make_option(router, endpoints[name]) for name in candidates]
    chosen = choose_idle(options, random)
    placement = describe_placement(chosen, measure_spread(options, factor))
    return Target(endpoints[chosen.name], placement)


def choose_prompt_target(
    router: Router, job: Job, key: bytes, candidates: set[str], places: list[Place]
) -> Target:
    """Choose a prompt's endpoint, and the source to copy its context from.

    The endpoint is the first of the candidates in the prompt's ranking whose load is
    below its bound, or the least loaded one if none is. The source is the first
    available endpoint of those that may hold more of the part by which the prompt is
    placed; if there are none, of those that may hold its first part.
    """
    endpoints = router.fleet_view.endpoints
    ordered = order_candidates(router, key, candidates, places)
    options = [make_option(router, endpoints[name]) for name in ordered]
    spread = measure_spread(options, router.settings.bounds.load_factor)
    option = choose_warm(options, spread)
    chosen = option.name
    sources = order_sources(key, places, chosen)
    if not sources:
        sources = order_first_part_holders(job, places, chosen)
    return Target(
        endpoints[chosen],
        describe_placement(option, spread, rank=ordered.index(chosen)),
        find_available_address(router, sources),
    )


def order_candidates(
    router: Router, key: bytes, candidates: set[str], places: list[Place]
) -> list[str]:
    """Return the candidates in a prompt's order, its home first if that is one.

    If it is not, those come first that have named a limit: what they take of it is
    lost unless it is used, and the others get the rest anyway.
    """
    ranked = order_places(key, places)
    ordered = [name for name in ranked if name in candidates]
    if ordered[0] == ranked[0]:
        return ordered
    endpoints = router.fleet_view.endpoints
    limited = {name for name in ordered if current_limit(router, endpoints[name])}
    return sorted(ordered, key=lambda name: name not in limited)


def describe_placement(
    chosen: Option, spread: Spread, rank: int | None = None
) -> Placement:
    """Return what was believed of the loads when an endpoint was chosen."""
    return Placement(rank, chosen.load, spread.mean, load_bound(chosen, spread))


def order_first_part_holders(job: Job, places: list[Place], chosen: str) -> list[str]:
    """Rank the usable endpoints other than ``chosen`` that may hold the first part.

    Returns an empty list for a prompt with fewer than ``MIN_PARTS_FOR_SOURCE`` parts,
    whose first part is the one that it is placed by.
    """
    parts = job.call.parts
    if len(parts) < MIN_PARTS_FOR_SOURCE:
        return []
    first = part_key(parts[0])
    return [name for name in order_places(first, places) if name != chosen]


def find_available_address(router: Router, names: list[str]) -> str | None:
    """Return the address of the first endpoint that is listed and can be used.

    None if there is none. One in backoff or closed can't be.
    """
    for name in names:
        endpoint = router.fleet_view.endpoints.get(name)
        if endpoint is None or is_closed(router.loads, name):
            continue
        if not is_backing_off(router.loads, name):
            return endpoint.address
    return None


def make_option(router: Router, endpoint: Endpoint) -> Option:
    """Return an endpoint's load, and its slot count as its share of the capacity.

    The share is at least 1.
    """
    load = estimate_load(router.loads, endpoint.name)
    return Option(endpoint.name, load, share=max(1, endpoint.slots))


def shared_part_key(job: Job) -> bytes | None:
    """Return the key of the part that a prompt is placed by.

    That is the last part but one, which is assumed to be shared with other prompts,
    or the only part; None for a prompt without parts.
    """
    parts = job.call.parts
    if not parts:
        return None
    shared = parts[-2] if len(parts) > 1 else parts[-1]
    return part_key(shared)


def part_key(part: PromptPart) -> bytes:
    """Return the key that ranks the endpoints for a part."""
    return part.digest.encode()[:MAX_DIGEST_BYTES]
