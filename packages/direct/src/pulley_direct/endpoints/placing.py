"""Choice of the endpoint for an attempt, and of a source to copy context from."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import chain
from random import random, sample

from pulley_policy.estimates import (
    Sighting,
    estimate_duration,
    estimate_load,
    estimate_mean,
)
from pulley_policy.homes import Ranking, find_sources
from pulley_policy.spreads import (
    Option,
    Spread,
    choose_home,
    choose_of_two,
    is_short_context,
    load_bound,
    spread_totals,
)

from ..state.fleet_views import ServiceView
from ..state.jobs import Job, Placement
from ..state.loads import (
    find_sighting,
    is_backing_off,
    is_closed,
    is_eligible,
)
from ..state.models import Endpoint, PromptPart
from ..state.routers import Router
from .availability import is_open
from .limits import count_request, current_limit
from .service_views import find_ranking, share_of, view_service

# The longest key, in bytes, that blake2b accepts; longer digests are truncated.
MAX_DIGEST_BYTES = 64
# Routers keep to this part of the bound on loads: what others send meanwhile is heard
# of late.
BOUND_SHARE = 0.7
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


@dataclass(frozen=True, slots=True)
class Candidates:
    """The endpoints that a job may be sent to: those of ``view`` but ``excluded``.

    ``sightings`` are those of endpoints that this router knows more of, ``mean`` is the
    load that it assumes of the others. ``cold`` are those excluded ones that have had
    their part of the rate of a cold endpoint.
    """

    view: ServiceView
    excluded: set[str]
    sightings: dict[str, Sighting]
    mean: float
    cold: frozenset[str] = frozenset()

    @property
    def n_left(self) -> int:
        """Return how many there are."""
        return len(self.view.endpoints) - len(self.excluded)


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
    candidates = find_candidates(router, job)
    if not candidates.n_left:
        return None
    spread = measure_candidates(router, candidates)
    key = shared_part_key(job)
    if key is not None:
        return choose_prompt_target(router, job, key, candidates, spread)
    chosen = choose_least_loaded(candidates)
    option = make_option(candidates, chosen)
    return Target(candidates.view.endpoints[chosen], describe_placement(option, spread))


def find_candidates(router: Router, job: Job) -> Candidates:
    """Find the endpoints that a job may be sent to.

    Those in backoff or ejected are among them only if there is no other.
    """
    view = view_service(router.fleet_view, job.service)
    excluded = view.endpoints.keys() & job.excluded
    excluded |= list_outside(router, job, view)
    avoided, cold, sightings = set(), set(), {}
    known = router.loads.states.keys() | router.fleet_view.cold_until_ms.keys()
    for name in view.endpoints.keys() & known:
        if not is_open(router, view.endpoints[name]):
            excluded.add(name)
            if name in router.fleet_view.cold_until_ms:
                cold.add(name)
            continue
        sightings[name] = find_sighting(router.loads, name)
        if not is_eligible(router.loads, name):
            avoided.add(name)
    if len(excluded | avoided) < len(view.endpoints):
        excluded |= avoided
    mean = estimate_mean(sightings.values())
    return Candidates(view, excluded, sightings, mean, frozenset(cold))


def list_outside(router: Router, job: Job, view: ServiceView) -> set[str]:
    """Return the endpoints outside the regions that the route and the team allow."""
    allowed = [job.route.regions]
    if job.team is not None:
        allowed.append(job.team.regions)
    allowed = [regions for regions in allowed if regions]
    if not allowed:
        return set()
    within = frozenset.intersection(*allowed)
    regions = router.settings.regions
    return {
        one.name
        for one in view.endpoints.values()
        if regions.get(one.data_centre) not in within
    }


def measure_candidates(router: Router, candidates: Candidates) -> Spread:
    """Measure the load of all candidates.

    Endpoints that are evacuated, or cold, count for the bound: they are part of the
    service, and what the others may hold is a multiple of the mean of all.
    """
    view, excluded = candidates.view, candidates.excluded
    known = [
        estimate_load(sighting, candidates.mean)
        for name, sighting in candidates.sightings.items()
        if name not in excluded
    ]
    total_load = sum(known) + (candidates.n_left - len(known)) * candidates.mean
    excluded_share = sum(
        share_of(view.endpoints[name]) for name in excluded - candidates.cold
    )
    return spread_totals(
        total_load,
        view.total_share - excluded_share + view.evacuated_share,
        candidates.n_left,
        router.settings.bounds.load_factor * BOUND_SHARE,
    )


def choose_least_loaded(candidates: Candidates) -> str:
    """Return the better one of two candidates at random."""
    view, excluded = candidates.view, candidates.excluded
    names = [name for name in view.endpoints if name not in excluded]
    if len(names) > 2:
        names = sample(names, 2)
    options = [make_option(candidates, name) for name in names]
    return choose_of_two(options, random).name


def choose_prompt_target(
    router: Router, job: Job, key: bytes, candidates: Candidates, spread: Spread
) -> Target:
    """Choose a prompt's endpoint, and the source to copy its context from.

    The endpoint is the first of the candidates in the prompt's ranking whose load is
    below its bound, or the least loaded one if none is. The source is the first
    available endpoint of those that may hold more of the part by which the prompt is
    placed; if there are none, of those that may hold its first part.
    """
    ranking = find_ranking(candidates.view, key)
    ordered = order_candidates(router, ranking, candidates)
    options = (make_option(candidates, name) for name in ordered)
    n_tokens = context_tokens(job)
    option = choose_home(options, spread, n_tokens)
    source = None
    if not is_short_context(n_tokens):
        source = find_context_source(router, job, ranking, candidates.view, option.name)
    return Target(
        candidates.view.endpoints[option.name],
        describe_placement(option, spread, rank=ordered.index(option.name)),
        source,
    )


def find_context_source(
    router: Router, job: Job, ranking: Ranking, view: ServiceView, chosen: str
) -> str | None:
    """Return the address from which to copy a prompt's context, None without one."""
    sources = find_sources(ranking, chosen)
    first = next(sources, None)
    if first is None:
        sources = find_first_part_holders(job, view, chosen)
    else:
        sources = chain([first], sources)
    return find_available_address(router, sources)


def context_tokens(job: Job) -> int:
    """Return the size of what a prompt may share with others, in tokens."""
    return sum(part.tokens for part in job.call.parts[:-1])


def order_candidates(
    router: Router, ranking: Ranking, candidates: Candidates
) -> list[str]:
    """Return the candidates in a prompt's order, its home first if that is one.

    If it is not, those come first that have named a limit: what they take of it is
    lost unless it is used, and the others get the rest anyway.
    """
    excluded, endpoints = candidates.excluded, candidates.view.endpoints
    if not excluded:
        return ranking.usable
    ordered = [name for name in ranking.usable if name not in excluded]
    if ordered[0] == ranking.usable[0]:
        return ordered
    limited = {
        name
        for name in candidates.sightings
        if name not in excluded and current_limit(router, endpoints[name])
    }
    if not limited:
        return ordered
    return sorted(ordered, key=lambda name: name not in limited)


def describe_placement(
    chosen: Option, spread: Spread, rank: int | None = None
) -> Placement:
    """Return what was believed of the loads when an endpoint was chosen."""
    return Placement(rank, chosen.load, spread.mean, load_bound(chosen, spread))


def find_first_part_holders(job: Job, view: ServiceView, chosen: str) -> Iterator[str]:
    """Yield, in order, the usable endpoints that may hold a prompt's first part.

    Without ``chosen``. None for a prompt with fewer than ``MIN_PARTS_FOR_SOURCE``
    parts, whose first part is the one that it is placed by.
    """
    parts = job.call.parts
    if len(parts) >= MIN_PARTS_FOR_SOURCE:
        ranking = find_ranking(view, part_key(parts[0]))
        yield from (name for name in ranking.usable if name != chosen)


def find_available_address(router: Router, names: Iterable[str]) -> str | None:
    """Return the address of the first endpoint that is listed and can be used.

    None if there is none. One in backoff or closed can't be.
    """
    for name in names:
        endpoint = router.fleet_view.endpoints.get(name)
        if endpoint is None or is_closed(router.loads, name):
            continue
        if endpoint.data_centre in router.fleet_view.evacuated:
            continue
        if not is_backing_off(router.loads, name):
            return endpoint.address
    return None


def make_option(candidates: Candidates, name: str) -> Option:
    """Return a candidate's load, and its share of the capacity."""
    share = share_of(candidates.view.endpoints[name])
    sighting = candidates.sightings.get(name)
    if sighting is None:
        return Option(name, candidates.mean, share)
    load = estimate_load(sighting, candidates.mean)
    return Option(name, load, share, estimate_duration(sighting))


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
