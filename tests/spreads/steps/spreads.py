"""Steps that play placement over lists of endpoints, without a connection."""

from collections import Counter
from random import Random

from behave import given, then, when

from pulley_direct.followers import watch_wait_ms
from pulley_policy.homes import Place, order_places, order_sources
from pulley_policy.spreads import Option, choose_idle, choose_warm

FACTOR = 2.0


def name_homes(contexts, places):
    return {context: order_places(context, places)[0] for context in contexts}


@given("{n_endpoints:d} endpoints and {n_contexts:d} contexts")
def given_endpoints(context, n_endpoints, n_contexts):
    context.places = [Place(f"endpoint-{number}") for number in range(n_endpoints)]
    context.contexts = [b"context-%d" % number for number in range(n_contexts)]
    context.before = name_homes(context.contexts, context.places)


@when("{n_routers:d} routers place each context, with the list in orders of their own")
def play_routers(context, n_routers):
    context.named = []
    for seed in range(n_routers):
        places = list(context.places)
        Random(seed).shuffle(places)
        context.named.append(name_homes(context.contexts, places))


@then("all routers name the same endpoint for each context")
def check_agreement(context):
    assert all(named == context.before for named in context.named)


@when("one endpoint joins")
def play_join(context):
    context.places.append(Place("joined", joined=True))
    context.after = name_homes(context.contexts, context.places)


@then("at most {share:g} of the contexts move, all of them to the one that joined")
def check_moves(context, share):
    moved = [
        one for one in context.contexts if context.after[one] != context.before[one]
    ]
    assert 0 < len(moved) <= share * len(context.contexts), len(moved)
    assert {context.after[one] for one in moved} == {"joined"}


@then("each moved context is copied from the endpoint that had it")
@then("each moved context is copied from the endpoint that drains")
def check_sources(context):
    for one in context.contexts:
        sources = order_sources(one, context.places, context.after[one])
        if context.after[one] == context.before[one]:
            assert not sources, (one, sources)
        else:
            assert sources[0] == context.before[one], (one, sources)


@when("one endpoint drains")
def play_drain(context):
    leaving = context.places[0].name
    context.places[0] = Place(leaving, usable=False)
    context.leaving = leaving
    context.after = name_homes(context.contexts, context.places)


@then("only its own contexts move")
def check_own_moves(context):
    for one in context.contexts:
        moved = context.after[one] != context.before[one]
        assert moved is (context.before[one] == context.leaving), one


@when("one context gets {share:g} of {n_requests:d} requests that all stay in flight")
def play_hot_context(context, share, n_requests):
    random = Random(7)
    loads = Counter({place.name: 0 for place in context.places})
    for _ in range(n_requests):
        one = context.contexts[0]
        if random.random() >= share:
            one = random.choice(context.contexts)
        ordered = order_places(one, context.places)
        options = [Option(name, loads[name]) for name in ordered]
        loads[choose_warm(options, FACTOR).name] += 1
    context.loads = loads


@then("no endpoint holds more than twice the mean and {extra:d} requests")
def check_bound(context, extra):
    mean = context.loads.total() / len(context.loads)
    assert max(context.loads.values()) <= FACTOR * mean + extra, context.loads


@when("an endpoint has joined and then all routers start again")
def play_restart(context):
    context.places.append(Place("joined", joined=True))
    context.before = name_homes(context.contexts, context.places)
    context.places[-1] = Place("joined")
    context.after = name_homes(context.contexts, context.places)


@then("all routers name the same endpoints as before")
def check_restart(context):
    assert context.after == context.before


@when("every endpoint holds the same large load")
def play_full(context):
    options = [Option(place.name, 1_000.0) for place in context.places]
    context.chosen = choose_warm(options, 0.5)


@then("an endpoint is chosen all the same")
def check_chosen(context):
    assert context.chosen is not None
    assert choose_warm([], FACTOR) is None


@when("{n_requests:d} short requests come and all stay in flight")
def play_short(context, n_requests):
    random = Random(3)
    loads = Counter({place.name: 0 for place in context.places})
    for _ in range(n_requests):
        options = [Option(name, load) for name, load in loads.items()]
        loads[choose_idle(options, random.random).name] += 1
    context.loads = loads


@then("no endpoint holds more than {most:d} requests")
def check_even(context, most):
    assert max(context.loads.values()) <= most, context.loads


@when("{n_routers:d} routers watch a store whose changes bind within {within_ms:d} ms")
def play_watch(context, n_routers, within_ms):
    context.wait_ms = watch_wait_ms(within_ms, n_routers)


@then("each watch waits {wait_ms:d} ms")
def check_watch(context, wait_ms):
    assert context.wait_ms == wait_ms, context.wait_ms
