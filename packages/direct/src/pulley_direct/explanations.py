"""Where a request would go now, and why, without sending or counting it."""

from urllib.parse import parse_qs

from pulley_base import Reason

from .endpoints.availability import opens_in_ms
from .endpoints.departures import is_leaving
from .endpoints.limits import limit_left_ms, list_limits
from .endpoints.placing import (
    Candidates,
    find_candidates,
    find_target,
    make_option,
    measure_candidates,
    shared_part_key,
)
from .endpoints.service_views import find_ranking
from .requests.trust import is_ready
from .state.jobs import Job
from .state.loads import closed_left_ms, is_backing_off, is_eligible
from .state.models import Call, Endpoint, PromptPart, Route
from .state.routers import Router
from .state.routes import find_route, refresh_index

DEFAULT_TIMEOUT_MS = 60_000
MAX_PARTS = 64


def explain_where(router: Router, query: str) -> dict:
    """Return where a request would go now: candidates in order, and what was chosen.

    ``query`` has ``host``, ``path`` and, for a prompt, ``parts`` as comma-separated
    DIGEST:TOKENS entries. Loads are in requests, ages and times in ms.
    """
    fields = {name: values[0] for name, values in parse_qs(query).items()}
    configuration = router.fleet_view.configuration
    if configuration is None:
        return refused(Reason.NOT_READY)
    host, path = fields.get("host", "").lower(), fields.get("path", "/")
    refresh_index(router.routes, configuration)
    route = find_route(router.routes, host, path)
    if route is None:
        return refused(Reason.NO_ROUTE)
    parts = read_parts(fields.get("parts", ""))
    services = [
        explain_service(router, make_job(router, route, share.service, parts))
        | {"weight": share.weight}
        for share in route.shares
    ]
    return {"route": route.name, "ready": is_ready(router), "services": services}


def refused(reason: Reason) -> dict:
    """Return that a request would be refused before any endpoint is looked at."""
    return {"refused": str(reason)}


def read_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; entries that can't be read are left out."""
    entries = (entry.partition(":") for entry in text.split(",")[:MAX_PARTS])
    return tuple(
        PromptPart(digest, int(tokens))
        for digest, _, tokens in entries
        if digest and tokens.isascii() and tokens.isdecimal()
    )


def make_job(
    router: Router, route: Route, service: str, parts: tuple[PromptPart, ...]
) -> Job:
    """Return the job that such a request would be, without a team."""
    now_ms = router.clock.now_ms()
    call = Call("", route.host, route.prefix, "POST", route.prefix, [], parts=parts)
    deadline_ms = now_ms + min(DEFAULT_TIMEOUT_MS, route.timeout_ms)
    version = router.fleet_view.configuration.version
    return Job(call, route, service, None, b"", now_ms, deadline_ms, version)


def explain_service(router: Router, job: Job) -> dict:
    """Return where a job of a service would go, and what is known of its endpoints."""
    target = find_target(router, job)
    listed = [
        one
        for one in router.fleet_view.endpoints.values()
        if one.service == job.service
    ]
    candidates = find_candidates(router, job)
    spread = measure_candidates(router, candidates)
    found = {
        "service": job.service,
        "mean_load": round(spread.mean, 2),
        "endpoints": [
            describe(router, candidates, one)
            for one in in_order(job, candidates, listed)
        ],
    }
    if target is None:
        left_ms = opens_in_ms(router, job.service)
        return found | {"refused": str(Reason.NO_ENDPOINT), "opens_in_ms": left_ms}
    return found | {
        "chosen": target.endpoint.name,
        "rank": target.placement.rank,
        "bound": round(target.placement.bound, 1),
        "context_from": target.context_source,
    }


def in_order(
    job: Job, candidates: Candidates, listed: list[Endpoint]
) -> list[Endpoint]:
    """Return a service's endpoints, those of a prompt in the order of its ranking."""
    key = shared_part_key(job)
    if key is None:
        return sorted(listed, key=lambda one: one.name)
    order = find_ranking(candidates.view, key).holders
    places = {name: place for place, name in enumerate(order)}
    return sorted(listed, key=lambda one: places.get(one.name, len(places)))


def describe(router: Router, candidates: Candidates, endpoint: Endpoint) -> dict:
    """Return what is believed of an endpoint, and why it can't be chosen, if so."""
    name = endpoint.name
    option = (
        make_option(candidates, name) if name in candidates.view.endpoints else None
    )
    sighting = candidates.sightings.get(name)
    return {
        "name": name,
        "data_centre": endpoint.data_centre,
        "load": None if option is None else round(option.load, 1),
        "age_ms": None if sighting is None else sighting.age_ms,
        "source": "mean" if sighting is None else "report",
        "duration": None if option is None else round(option.duration, 2),
        "withheld": why_withheld(router, endpoint),
    }


def why_withheld(router: Router, endpoint: Endpoint) -> str | None:
    """Return why an endpoint gets no request now, None if it may get one."""
    name = endpoint.name
    if is_leaving(router.fleet_view, endpoint):
        return "leaving"
    if endpoint.data_centre in router.fleet_view.evacuated:
        return "evacuated"
    if closed_left_ms(router.loads, name):
        return f"closed for {closed_left_ms(router.loads, name)} ms"
    if list_limits(router, endpoint) and limit_left_ms(router, endpoint) > 0:
        return f"rate used up for {limit_left_ms(router, endpoint):.0f} ms"
    if is_backing_off(router.loads, name):
        return "held off after failures"
    if not is_eligible(router.loads, name):
        return "passed over"
    return None
