"""Steps that compare choices with those from looking at every endpoint anew."""

from random import Random
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when

from pulley_base import Clock
from pulley_direct.endpoints import placing
from pulley_direct.endpoints.availability import is_open
from pulley_direct.endpoints.departures import (
    record_leaving,
    service_places,
    usable_endpoints,
)
from pulley_direct.endpoints.limits import current_limit, record_limit
from pulley_direct.endpoints.service_views import MAX_RANKINGS
from pulley_direct.state.fleet_views import FleetView, LeavingSource
from pulley_direct.state.loads import (
    LoadTable,
    close_endpoint,
    find_sighting,
    get_state,
    is_backing_off,
    is_closed,
    is_eligible,
    record_load,
    start_backoff,
)
from pulley_direct.state.models import Endpoint, PromptPart, RouterSettings
from pulley_direct.state.routers import Router
from pulley_direct.store.endpoint_words import list_endpoint, remove_endpoint
from pulley_policy.estimates import estimate_load, estimate_mean
from pulley_policy.homes import order_places, order_sources
from pulley_policy.spreads import Option, choose_home, measure_spread

SERVICES = ("model", "other")
N_ENDPOINTS = 24
N_STEPS = 120
N_SUBJECTS = 12
FIRST_MS = 10_000_000


def build_router():
    """Return a router without connections, and its clock's reading in a list."""
    reading = [FIRST_MS]
    clock = Clock(lambda: reading[0])
    view = FleetView(clock, wall_clock=clock)
    settings = RouterSettings("own", "", "", "", "", (0, 0), "")
    router = Router(settings, None, clock, view, None, LoadTable(clock))
    return router, reading


def make_endpoint(number, started_ms, revision):
    service = SERVICES[number % len(SERVICES)]
    address = f"10.0.0.{number}:80"
    return Endpoint(
        f"endpoint-{number}",
        service,
        address,
        slots=number % 3,
        started_ms=started_ms,
        revision=revision,
    )


def make_job(subject, excluded):
    parts = tuple(PromptPart(one, 1_000) for one in ("all", subject, "own"))
    call = SimpleNamespace(parts=parts)
    route = SimpleNamespace(regions=frozenset())
    return SimpleNamespace(
        service="model", excluded=excluded, call=call, route=route, team=None
    )


def change_fleet(random, router, reading, revision):
    """Change something of a random endpoint, or let time pass."""
    view, loads = router.fleet_view, router.loads
    number = random.randrange(N_ENDPOINTS)
    name = f"endpoint-{number}"
    listed = view.endpoints.get(name)
    change = random.choice(
        ("list", "list", "list", "remove", "leave", "outage", "close", "fail", "load")
        + ("load", "limit", "wait", "wait")
    )
    if change == "wait":
        reading[0] += random.choice((1, 200, 900, 3_000, 61_000))
    elif change == "outage":
        view.outage_end_ms = reading[0]
    elif change == "list":
        list_endpoint(view, make_endpoint(number, reading[0], revision))
    elif listed is None:
        return
    elif change == "remove":
        remove_endpoint(view, name, revision)
    elif change == "leave":
        record_leaving(view, listed, LeavingSource.ANSWER)
    elif change == "close":
        close_endpoint(loads, name, random.choice((100, 2_000)))
    elif change == "fail":
        start_backoff(loads, name)
    elif change == "limit":
        record_limit(router, listed, random.choice((0.5, 5.0)))
    else:
        get_state(loads, name).in_flight = random.randrange(6)
        record_load(loads, name, random.randrange(12))


def choose_anew(router, job):
    """Return the name and source that all endpoints, looked at anew, give."""
    view, loads = router.fleet_view, router.loads
    usable = usable_endpoints(view, job.service)
    places = service_places(view, job.service, usable)
    by_name = {one.name: one for one in usable}
    open_names = [
        one.name
        for one in usable
        if one.name not in job.excluded and is_open(router, one)
    ]
    if not open_names:
        return None
    candidates = {name for name in open_names if is_eligible(loads, name)}
    candidates = candidates or set(open_names)
    key = placing.shared_part_key(job)
    ranked = order_places(key, places)
    ordered = [name for name in ranked if name in candidates]
    if ordered[0] != ranked[0]:
        limited = {name for name in ordered if current_limit(router, by_name[name])}
        ordered.sort(key=lambda name: name not in limited)
    sightings = {
        name: find_sighting(loads, name) for name in open_names if name in loads.states
    }
    mean = estimate_mean(sightings.values())
    options = [
        Option(
            name,
            estimate_load(sightings[name], mean) if name in sightings else mean,
            max(1, by_name[name].slots),
        )
        for name in ordered
    ]
    factor = router.settings.bounds.load_factor * placing.BOUND_SHARE
    spread = measure_spread(options, factor)
    chosen = choose_home(options, spread, placing.context_tokens(job)).name
    sources = order_sources(key, places, chosen)
    if not sources:
        first = placing.part_key(job.call.parts[0])
        sources = [name for name in order_places(first, places) if name != chosen]
    return chosen, find_usable_source(router, sources)


def find_usable_source(router, names):
    for name in names:
        endpoint = router.fleet_view.endpoints.get(name)
        if endpoint is None or is_closed(router.loads, name):
            continue
        if not is_backing_off(router.loads, name):
            return endpoint.address
    return None


@given("fleets whose endpoints join, leave, lapse, pause, fail and name limits")
def given_fleets(context):
    """The fleets are built with the choices, one for each seed."""


@when("choices are made between these changes, from seeds {first:d} to {last:d}")
def choose_between_changes(context, first, last):
    context.choices = []
    for seed in range(first, last + 1):
        random = Random(seed)
        router, reading = build_router()
        for revision in range(1, N_STEPS):
            change_fleet(random, router, reading, revision)
            names = [f"endpoint-{n}" for n in random.sample(range(N_ENDPOINTS), 2)]
            excluded = set(random.choice(([], names[:1], names)))
            job = make_job(f"subject-{random.randrange(N_SUBJECTS)}", excluded)
            expected = choose_anew(router, job)
            target = placing.find_target(router, job)
            found = target and (target.endpoint.name, target.context_source)
            context.choices.append((seed, revision, expected, found))


@then("each is the one that all endpoints, ranked anew, give")
def check_choices(context):
    different = [row for row in context.choices if row[2] != row[3]]
    assert not different, different[:3]
    chosen = [row[3] for row in context.choices if row[3]]
    assert len(set(chosen)) > N_ENDPOINTS, "too few different choices"


@when("a router chooses for {n_parts:d} parts among {n_endpoints:d} endpoints")
def choose_often(context, n_parts, n_endpoints):
    router, _ = build_router()
    for number in range(n_endpoints):
        list_endpoint(router.fleet_view, make_endpoint(2 * number, 1, number + 1))
    for number in range(n_parts):
        placing.find_target(router, make_job(f"subject-{number}", set()))
    context.n_kept = len(router.fleet_view.services["model"].rankings)


@then("it keeps the rankings of at most {n_parts:d} parts")
def check_kept(context, n_parts):
    assert n_parts == MAX_RANKINGS
    assert context.n_kept <= n_parts, context.n_kept


@when(
    "a router that has sent to {n_known:d} of {n_endpoints:d} endpoints "
    "chooses for a part in use"
)
def choose_among_many(context, n_known, n_endpoints):
    router, _ = build_router()
    for number in range(n_endpoints):
        list_endpoint(router.fleet_view, make_endpoint(2 * number, 1, number + 1))
    for number in range(n_known):
        record_load(router.loads, f"endpoint-{2 * number}", 1)
    job = make_job("subject", set())
    placing.find_target(router, job)
    looked_at = []

    def look(router, endpoint):
        looked_at.append(endpoint.name)
        return is_open(router, endpoint)

    with patch.object(placing, "is_open", look):
        placing.find_target(router, job)
    context.n_looked_at = len(looked_at)


@then("it looks at no more than {n_endpoints:d} of them")
def check_looked_at(context, n_endpoints):
    assert context.n_looked_at <= n_endpoints, context.n_looked_at
