"""Steps in which simulated routers share an endpoint's rate."""

from random import Random

from behave import then, when

from pulley_policy.rate_shares import (
    ObserverAllowance,
    allow_one,
    choose_role,
    sends_in_ms,
    take_request,
    update_allowance,
)

DURATION_MS = 120_000
STEP_MS = 50
WINDOW_MS = 4_000
RATE_FACTOR = 1.5
SLACK_REQUESTS = 5
WAVE_MS = 15_000
ENDPOINT = b"endpoint-1"


def make_names(n):
    return [f"router-{number}" for number in range(n)]


def make_allowances(known_names, rates, draw, allowances=None, now_ms=0):
    """Return each router's allowance; ``known_names`` has the names that it knows."""
    allowances = allowances or {}
    return {
        name: update_allowance(
            allowances.get(name),
            choose_role(rates, ENDPOINT, name, known, len(known)),
            now_ms,
            draw,
        )
        for name, known in known_names.items()
    }


def is_wanted(demand, now_ms):
    """Check whether callers want all that is allowed; waves begin after a lull."""
    return demand == "steady demand" or now_ms % WAVE_MS >= WAVE_MS // 2


def send_all(allowances, now_ms, random):
    """Send what all routers may send now, in any order; return when it was sent."""
    times = []
    for name in random.sample(list(allowances), len(allowances)):
        while take_request(allowances[name], now_ms):
            times.append(now_ms)
    return times


def simulate(known_names, rate_at, demand):
    """Return when requests reach the endpoint, in ms."""
    random = Random(1)
    rate = rate_at(0)
    allowances = make_allowances(known_names, rate, random.random)
    times = []
    for now_ms in range(0, DURATION_MS, STEP_MS):
        if rate_at(now_ms) != rate:
            rate = rate_at(now_ms)
            allowances = make_allowances(
                known_names, rate, random.random, allowances, now_ms
            )
        if is_wanted(demand, now_ms):
            times += send_all(allowances, now_ms, random)
    return times


def most_in_window(times, start_ms=0, end_ms=DURATION_MS):
    """Return the most requests in any window that lies between two times."""
    inside = [time for time in times if start_ms <= time < end_ms]
    return max(
        (sum(first <= time < first + WINDOW_MS for time in inside) for first in inside),
        default=0,
    )


def allowed(rate):
    return RATE_FACTOR * rate * WINDOW_MS / 1_000 + SLACK_REQUESTS


@when("{n:d} routers share a rate of {rate:f} a second for two minutes under {demand}")
def share(context, n, rate, demand):
    names = make_names(n)
    context.rate = rate
    context.times = simulate(dict.fromkeys(names, names), lambda _: rate, demand)


@when("eight routers, half of which know only six, share a rate of {rate:f} a second")
def share_unevenly(context, rate):
    names = make_names(8)
    known = {
        name: names if number % 2 else sorted({*names[:5], name, names[6]})[:6]
        for number, name in enumerate(names)
    }
    context.rate = rate
    context.times = simulate(known, lambda _: rate, "steady demand")


@when("the rate of an endpoint before 46 routers rises from 1 to 40 and falls again")
def change_rate(context):
    names = make_names(46)

    def rate_at(now_ms):
        return 40.0 if 40_000 <= now_ms < 80_000 else 1.0

    times = simulate(dict.fromkeys(names, names), rate_at, "steady demand")
    context.rate = 1.0
    # The requests of the first seconds after a fall were allowed before it.
    context.times = [
        time for time in times if time < 40_000 or time >= 80_000 + STEP_MS
    ]
    middle = [time for time in times if 40_000 <= time < 80_000]
    assert most_in_window(middle) <= allowed(40.0), most_in_window(middle)


@then("in no 4 s the endpoint gets more than one and a half times that, and 5 more")
def check_windows(context):
    most = most_in_window(context.times)
    assert most <= allowed(context.rate), (most, allowed(context.rate))


@then("the endpoint gets at least nine tenths of it")
def check_used(context):
    expected = 0.9 * context.rate * DURATION_MS / 1_000
    assert len(context.times) >= expected, (len(context.times), expected)


@when("a router that is no sender is allowed one request")
def allow_observer(context):
    names = make_names(46)
    allowances = make_allowances(dict.fromkeys(names, names), 1.0, lambda: 0.9)
    observers = [
        one for one in allowances.values() if isinstance(one, ObserverAllowance)
    ]
    context.allowance = observers[0]
    assert sends_in_ms(context.allowance, 0) > 0
    allow_one(context.allowance, 0)


@then("it may send one at once, and no second one")
def check_one(context):
    assert sends_in_ms(context.allowance, 0) == 0
    assert take_request(context.allowance, 0)
    assert not take_request(context.allowance, 0)
