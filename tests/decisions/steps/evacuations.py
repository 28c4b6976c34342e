"""Steps about evacuated data centres, cold endpoints and regions."""

from collections import deque
from dataclasses import replace
from random import Random
from types import SimpleNamespace

from behave import given, then, when

from pulley_adapter.documents import decode_entry
from pulley_base import Clock
from pulley_direct.endpoints.cold_starts import RATE_SHARE, cold_rate_per_s
from pulley_direct.endpoints.departures import (
    record_leaving,
    takes_work,
    usable_endpoints,
)
from pulley_direct.endpoints.placing import (
    Candidates,
    list_outside,
    measure_candidates,
)
from pulley_direct.endpoints.service_views import view_service
from pulley_direct.state.fleet_views import FleetView, LeavingSource
from pulley_direct.state.models import (
    Bounds,
    Configuration,
    Endpoint,
    EvacuationEnded,
    EvacuationStarted,
    Service,
)
from pulley_direct.store.beliefs import apply_entries, replace_entries
from pulley_http import Limits
from pulley_policy.estimates import Sighting
from pulley_policy.rate_shares import choose_role, take_request, update_allowance

SERVICE = Service("model", 0, cold_rate_per_s=10.0, cold_start_ms=3_000)
COLD_RATE_PER_S = 10.0
LENGTH_MS = 6_000
STEP_MS = 5
WINDOW_MS = 1_000
MIN_ROUTERS = 4
SEED = 11


def find_view(context):
    if not hasattr(context, "view"):
        context.now_ms = 1_000_000
        context.view = FleetView(Clock(lambda: context.now_ms))
        services = {"model": SERVICE}
        context.view.configuration = Configuration(
            1, (), services, Limits(), {}, needs_token=False
        )
    return context.view


def make_endpoint(data_centre, **changes):
    endpoint = Endpoint(
        f"in-{data_centre}", "model", "10.0.0.1:80", slots=8, data_centre=data_centre
    )
    return replace(endpoint, **changes)


@given("endpoints in the data centres north and south")
@when("endpoints in north and south are listed")
def list_both(context):
    entries = [make_endpoint("north"), make_endpoint("south")]
    apply_entries(find_view(context), entries)


@when("{name} is evacuated")
def evacuate(context, name):
    apply_entries(find_view(context), [EvacuationStarted(name)])


@when("{name} is taken back")
def take_back(context, name):
    apply_entries(find_view(context), [EvacuationEnded(name)])


@when("the store is read without any evacuation")
def read_without(context):
    entries = [make_endpoint("north"), make_endpoint("south")]
    replace_entries(context.view, entries, 0)


@when("the endpoint in north leaves")
def leave(context):
    record_leaving(context.view, make_endpoint("north"), LeavingSource.ANSWER)


def working_centres(context):
    view = view_service(context.view, "model")
    assert set(view.endpoints.values()) == set(usable_endpoints(context.view, "model"))
    return sorted(one.data_centre for one in view.endpoints.values())


@then("only endpoints in south take work")
def check_south(context):
    assert working_centres(context) == ["south"]


@then("endpoints in north and south take work")
def check_both(context):
    assert working_centres(context) == ["north", "south"]


@then("an endpoint in north that was chosen before takes none")
def check_none(context):
    assert not takes_work(context.view, make_endpoint("north"))


@then("endpoints in north are cold for {duration_ms:d} ms")
def check_cold_for(context, duration_ms):
    endpoint = make_endpoint("north")
    context.now_ms += duration_ms - 1
    assert cold_rate_per_s(context.view, endpoint) == COLD_RATE_PER_S * RATE_SHARE
    context.now_ms += 1
    assert cold_rate_per_s(context.view, endpoint) is None


@then("the key {key} with the value {value} evacuates north")
def check_key(context, key, value):
    assert decode_entry(key, value.encode()) == EvacuationStarted("north")


@when("the entry of the endpoint in north says that it is cold for {left_ms:d} ms")
def say_cold(context, left_ms):
    apply_entries(context.view, [make_endpoint("north", cold_left_ms=left_ms)])


@then("the endpoint in north is cold")
def check_cold(context):
    assert cold_rate_per_s(context.view, make_endpoint("north")) is not None


@then("no endpoint is cold")
def check_none_cold(context):
    assert cold_rate_per_s(context.view, make_endpoint("north")) is None


@when(
    "{n:d} routers, of which {n_new:d} start in the middle, know {known:d} in 100"
    " others"
)
def send_all(context, n, n_new, known):
    random = Random(SEED)
    names = [f"router-{number}" for number in range(n)]
    started = {name: 0 for name in names}
    for name in names[:n_new]:
        started[name] = LENGTH_MS // 2
    allowances = {}
    context.sent_ms = []
    for now_ms in range(0, LENGTH_MS, STEP_MS):
        for name in names:
            if now_ms < started[name]:
                continue
            if name not in allowances:
                role = draw_role(random, name, names, known)
                allowances[name] = update_allowance(None, role, now_ms, random.random)
            if take_request(allowances[name], now_ms):
                context.sent_ms.append(now_ms)


def draw_role(random, name, names, known):
    """Return a router's role by the routers that it happens to know."""
    heard = [one for one in names if one == name or random.random() < known / 100]
    rate_per_s = COLD_RATE_PER_S * RATE_SHARE
    return choose_role(rate_per_s, b"cold", name, heard, max(MIN_ROUTERS, len(heard)))


@then("no second brings it more than {n:d} requests")
def check_seconds(context, n):
    window, most = deque(), 0
    for sent_ms in context.sent_ms:
        window.append(sent_ms)
        while window[0] <= sent_ms - WINDOW_MS:
            window.popleft()
        most = max(most, len(window))
    assert 0 < most <= n, most


@given("a load of {n:d} requests at the endpoint in south")
def hold_requests(context, n):
    context.sightings = {"in-south": Sighting(float(n), 0, 0)}
    context.bound = measure_bound(context)


def measure_bound(context):
    view = view_service(context.view, "model")
    excluded = view.endpoints.keys() - context.sightings.keys()
    router = SimpleNamespace(settings=SimpleNamespace(bounds=Bounds()))
    candidates = Candidates(view, set(excluded), context.sightings, 0.0)
    return measure_candidates(router, candidates).bound_per_share


@then("the bound on loads is half of what it was")
def check_bound(context):
    assert measure_bound(context) == context.bound / 2


def make_job(route_regions, team_regions=()):
    route = SimpleNamespace(regions=frozenset(route_regions))
    team = SimpleNamespace(regions=frozenset(team_regions))
    return SimpleNamespace(route=route, team=team)


def allowed_centres(context, job):
    regions = {"north": "up", "south": "down"}
    router = SimpleNamespace(settings=SimpleNamespace(regions=regions))
    view = view_service(context.view, "model")
    outside = list_outside(router, job, view)
    return sorted(
        one.data_centre for one in view.endpoints.values() if one.name not in outside
    )


@then("a job for the region up may go to north alone")
def check_region(context):
    assert allowed_centres(context, make_job(["up"])) == ["north"]


@then("a job for the region up of a team kept to down may go nowhere")
def check_no_region(context):
    assert allowed_centres(context, make_job(["up"], ["down"])) == []
