"""Steps about estimates of loads, and choices that go by them."""

from collections import Counter
from random import Random

from behave import given, then, when

from pulley_adapter.headers import parse_load
from pulley_policy.estimates import Sighting, estimate_load, estimate_mean
from pulley_policy.spreads import (
    Option,
    choose_home,
    choose_of_two,
    measure_spread,
)

FACTOR = 1.4
NEVER_MS = 1_000_000
SEED = 7


@given(
    "{n:d} endpoints, of which {n_known:d} reported loads of {load:d} requests"
    " {age_ms:d} ms ago"
)
def report_some(context, n, n_known, load, age_ms):
    known = [Sighting(float(load), 0, age_ms) for _ in range(n_known)]
    unknown = [Sighting(0.0, 0, NEVER_MS) for _ in range(n - n_known)]
    context.sightings = known + unknown


@then("the mean load is {load:g} requests")
def check_mean(context, load):
    context.mean = estimate_mean(context.sightings)
    assert abs(context.mean - load) < 1e-9, context.mean


@then("an endpoint that nobody has told of counts as holding {load:g} requests")
def check_unknown(context, load):
    found = estimate_load(context.sightings[-1], context.mean)
    assert abs(found - load) < 1e-9, found


@given("a home with {home:d} requests and two other endpoints with {other:d} requests")
def make_home(context, home, other):
    loads = {"home": home, "second": other, "third": other}
    context.options = [Option(name, float(load)) for name, load in loads.items()]


def choose(context, tokens):
    spread = measure_spread(context.options, FACTOR)
    return choose_home(context.options, spread, tokens).name


@then("a prompt with a context of {tokens:d} tokens goes to its home")
def check_home(context, tokens):
    assert choose(context, tokens) == "home"


@then("a prompt with a context of {tokens:d} tokens goes to another endpoint")
def check_not_home(context, tokens):
    assert choose(context, tokens) != "home"


@given("4 endpoints with 6 slots that hold 1, 4, 4 and 4 requests")
def make_plain(context):
    loads = enumerate((1.0, 4.0, 4.0, 4.0))
    context.options = [Option(str(number), load, 6) for number, load in loads]


@given("4 endpoints of which one takes {percent:d} percent of the usual time")
def make_slow(context, percent):
    slow = Option("slow", 1.0, 6, percent / 100)
    context.options = [slow, *(Option(str(n), 1.0, 6) for n in range(3))]


@when("{n:d} routers choose at the same moment")
def choose_at_once(context, n):
    draw = Random(SEED).random
    chosen = [choose_of_two(context.options, draw).name for _ in range(n)]
    context.chosen = Counter(chosen)


@then("no endpoint is chosen more than {n:d} times")
def check_spread(context, n):
    assert max(context.chosen.values()) <= n, context.chosen


@then("the least loaded one is chosen most often")
def check_least(context):
    assert context.chosen.most_common(1)[0][0] == "0", context.chosen


@then("the slow one is never chosen beside a usual one")
def check_slow(context):
    assert not context.chosen["slow"], context.chosen


@then("a load of {text} is read as {running:d}, {waiting:d}, {slots:d} and {percent:d}")
def check_load(context, text, running, waiting, slots, percent):
    found = parse_load(text)
    values = found.running, found.waiting, found.slots, found.duration_percent
    assert values == (running, waiting, slots, percent), values


@then("a load of {text} is not read")
def check_no_load(context, text):
    assert parse_load(text) is None
