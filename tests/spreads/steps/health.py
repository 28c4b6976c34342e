"""Steps that simulate outcomes of requests over time, without a connection."""

from collections import Counter
from math import isclose
from random import Random
from types import SimpleNamespace

from behave import given, then, when

from pulley_base import Clock
from pulley_direct.endpoints.outcomes import is_late
from pulley_direct.state.loads import (
    LoadTable,
    eject_outlier,
    is_eligible,
    record_outcome,
)
from pulley_direct.state.models import RetryClass, Route
from pulley_direct.transport.waits import should_ask_other
from pulley_policy.health import decay

SEED = 5
SERVICE = "model"
MS_PER_S = 1_000


class Simulation:
    """A router's records, each endpoint's failure rate, and the requests sent."""

    def __init__(self, n_endpoints, failure_rate):
        self.names = [f"endpoint-{number}" for number in range(n_endpoints)]
        self.failure_rates = dict.fromkeys(self.names, failure_rate)
        self.loads = LoadTable(Clock(lambda: self.now_ms))
        self.random = Random(SEED)
        self.now_ms = 0
        self.sent = []
        self.max_ejected = 0

    def serve(self, duration_s, requests_per_s):
        for _ in range(duration_s * requests_per_s):
            self.now_ms += MS_PER_S // requests_per_s
            eligible = [name for name in self.names if is_eligible(self.loads, name)]
            n_ejected = len(self.names) - len(eligible)
            self.max_ejected = max(self.max_ejected, n_ejected)
            name = self.random.choice(eligible)
            good = self.random.random() >= self.failure_rates[name]
            self.record(name, good)
            self.sent.append((self.now_ms, name))

    def record(self, name, good):
        """Record an outcome as the router does."""
        record_outcome(self.loads, name, SERVICE, good=good)
        if not good:
            eject_outlier(self.loads, name, SERVICE, self.names)

    def shares(self, from_s):
        """Return the work of each endpoint relative to an equal share."""
        names = [name for at_ms, name in self.sent if at_ms >= from_s * MS_PER_S]
        counts = Counter(names)
        return {name: counts[name] * len(self.names) / len(names) for name in counts}


@given("{n_endpoints:d} endpoints that fail {failure_rate:g} of their requests")
def start_simulation(context, n_endpoints, failure_rate):
    context.simulation = Simulation(n_endpoints, failure_rate)


@when(
    "one of them fails {failure_rate:g} for {duration_s:d} s "
    "at {requests_per_s:d} requests a second"
)
def fail_one(context, failure_rate, duration_s, requests_per_s):
    simulation = context.simulation
    context.bad, context.requests_per_s = simulation.names[0], requests_per_s
    before, simulation.failure_rates[context.bad] = (
        simulation.failure_rates[context.bad],
        failure_rate,
    )
    simulation.serve(duration_s, requests_per_s)
    simulation.failure_rates[context.bad] = before


@when("it serves normally for {duration_s:d} s")
def serve_normally(context, duration_s):
    context.simulation.serve(duration_s, context.requests_per_s)


@when("they serve for {duration_s:d} s at {requests_per_s:d} requests a second")
def serve_all(context, duration_s, requests_per_s):
    context.simulation.serve(duration_s, requests_per_s)


@when("{n_endpoints:d} of them fail every request for {duration_s:d} s")
def fail_some(context, n_endpoints, duration_s):
    context.failing = context.simulation.names[:n_endpoints]
    for name in context.failing:
        context.simulation.failure_rates[name] = 1.0
    context.simulation.serve(duration_s, 10)


@when("one of them has {bad:d} bad outcome and {good:d} good ones")
def record_outcomes(context, bad, good):
    simulation = context.simulation
    context.bad = simulation.names[0]
    for outcome in [True] * good + [False] * bad:
        simulation.record(context.bad, outcome)


@then("it gets at most half of its share from the {from_s:d}th second on")
def check_reduced_share(context, from_s):
    assert context.simulation.shares(from_s).get(context.bad, 0.0) <= 0.5, (
        context.simulation.shares(from_s)
    )


@then("it gets at least {share:g} of its share in the last {duration_s:d} s")
def check_recovered(context, share, duration_s):
    from_s = context.simulation.now_ms // MS_PER_S - duration_s
    shares = context.simulation.shares(from_s)
    assert shares.get(context.bad, 0.0) >= share, shares


@then("none of them gets less than {share:g} of its share")
def check_even(context, share):
    shares = context.simulation.shares(0)
    assert min(shares.get(name, 0.0) for name in context.simulation.names) >= share, (
        shares
    )


@then("each of them gets at most half of its share from the {from_s:d}th second on")
def check_all_less(context, from_s):
    shares = context.simulation.shares(from_s)
    assert all(shares.get(name, 0.0) <= 0.5 for name in context.failing), shares


@then("at most {n_endpoints:d} of them are ejected at a time")
def check_ejected(context, n_endpoints):
    assert 0 < context.simulation.max_ejected <= n_endpoints, (
        context.simulation.max_ejected
    )


@then("it is not ejected")
def check_not_ejected(context):
    assert is_eligible(context.simulation.loads, context.bad)


@given("a lookup on a route without a latency target")
def make_lookup(context):
    route = Route(
        name="lookup",
        host="",
        prefix="/",
        retry_class=RetryClass.IDEMPOTENT,
        shares=(),
        timeout_ms=60_000,
        target_ms=0,
        max_attempts=2,
    )
    context.job = SimpleNamespace(route=route, sent_ms=0, stream_head=None)


@when("its endpoint has sent nothing for {silent_ms:d} ms")
def set_silence(context, silent_ms):
    context.silent_ms = silent_ms


@then("the attempt is not abandoned and does not count as late")
def check_waiting(context):
    router = SimpleNamespace(clock=Clock(lambda: context.silent_ms))
    assert not should_ask_other(context.job, context.silent_ms, unreachable=False)
    assert not is_late(router, context.job)


@then("the service's outcomes are the sum of its endpoints'")
def check_sum(context):
    loads = context.simulation.loads
    records = [state.record for state in loads.states.values()]
    for record in (*records, loads.services[SERVICE]):
        decay(record, context.simulation.now_ms)
    total = loads.services[SERVICE]
    assert isclose(total.good, sum(record.good for record in records)), total
    assert isclose(total.bad, sum(record.bad for record in records)), total
