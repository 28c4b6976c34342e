"""Steps that place prompts over lists of endpoints, without a connection."""

from collections import Counter
from random import Random

from behave import given, then, when

from pulley_policy.homes import Place, order_places, order_sources
from pulley_policy.spreads import Option, choose_idle, choose_warm, measure_spread

FACTOR = 2.0


def find_homes(contexts, places):
    return {context: order_places(context, places)[0] for context in contexts}


@given("{n_endpoints:d} endpoints and {n_contexts:d} contexts")
def given_endpoints(context, n_endpoints, n_contexts):
    context.places = [Place(f"endpoint-{number}") for number in range(n_endpoints)]
    context.contexts = [b"context-%d" % number for number in range(n_contexts)]
    context.homes_before = find_homes(context.contexts, context.places)


@when(
    "{n_routers:d} routers place each context, each with the list in a different order"
)
def place_by_routers(context, n_routers):
    context.homes_by_router = []
    for seed in range(n_routers):
        places = list(context.places)
        Random(seed).shuffle(places)
        context.homes_by_router.append(find_homes(context.contexts, places))


@then("all routers choose the same endpoint for each context")
def check_agreement(context):
    assert all(homes == context.homes_before for homes in context.homes_by_router)


@when("one endpoint joins")
def join_endpoint(context):
    context.places.append(Place("joined", joined=True))
    context.homes_after = find_homes(context.contexts, context.places)


@then("at most {share:g} of the contexts move, all of them to the endpoint that joined")
def check_moves(context, share):
    moved = [
        key
        for key in context.contexts
        if context.homes_after[key] != context.homes_before[key]
    ]
    assert 0 < len(moved) <= share * len(context.contexts), len(moved)
    assert {context.homes_after[key] for key in moved} == {"joined"}


@then("each moved context is copied from the endpoint that had it")
@then("each moved context is copied from the endpoint that drains")
def check_sources(context):
    for key in context.contexts:
        sources = order_sources(key, context.places, context.homes_after[key])
        if context.homes_after[key] == context.homes_before[key]:
            assert not sources, (key, sources)
        else:
            assert sources[0] == context.homes_before[key], (key, sources)


@when("one endpoint drains")
def drain_endpoint(context):
    draining = context.places[0].name
    context.places[0] = Place(draining, usable=False)
    context.draining = draining
    context.homes_after = find_homes(context.contexts, context.places)


@then("only its own contexts move")
def check_own_moves(context):
    for key in context.contexts:
        moved = context.homes_after[key] != context.homes_before[key]
        assert moved is (context.homes_before[key] == context.draining), key


@when("one context gets {share:g} of {n_requests:d} requests that all stay in flight")
def place_hot_context(context, share, n_requests):
    random = Random(7)
    loads = Counter({place.name: 0 for place in context.places})
    for _ in range(n_requests):
        key = context.contexts[0]
        if random.random() >= share:
            key = random.choice(context.contexts)
        ordered = order_places(key, context.places)
        options = [Option(name, loads[name]) for name in ordered]
        loads[choose_warm(options, measure_spread(options, FACTOR)).name] += 1
    context.loads = loads


@then("no endpoint holds more than twice the mean and {extra:d} requests")
def check_bound(context, extra):
    mean = context.loads.total() / len(context.loads)
    assert max(context.loads.values()) <= FACTOR * mean + extra, context.loads


@when("an endpoint has joined and then all routers restart")
def restart_routers(context):
    context.places.append(Place("joined", joined=True))
    context.homes_before = find_homes(context.contexts, context.places)
    context.places[-1] = Place("joined")
    context.homes_after = find_homes(context.contexts, context.places)


@then("all routers choose the same endpoints as before")
def check_restart(context):
    assert context.homes_after == context.homes_before


@when("every endpoint holds the same large load")
def fill_endpoints(context):
    options = [Option(place.name, 1_000.0) for place in context.places]
    context.chosen = choose_warm(options, measure_spread(options, 0.5))


@then("an endpoint is still chosen")
def check_chosen(context):
    assert context.chosen is not None
    assert choose_warm([], measure_spread([], FACTOR)) is None


@when("{n_requests:d} short requests come and all stay in flight")
def place_short_requests(context, n_requests):
    random = Random(3)
    loads = Counter({place.name: 0 for place in context.places})
    for _ in range(n_requests):
        options = [Option(name, load) for name, load in loads.items()]
        loads[choose_idle(options, random.random).name] += 1
    context.loads = loads


@then("no endpoint holds more than {max_requests:d} requests")
def check_even(context, max_requests):
    assert max(context.loads.values()) <= max_requests, context.loads
