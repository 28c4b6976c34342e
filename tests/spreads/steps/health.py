"""Steps that play outcomes of requests over time, without a connection."""

from collections import Counter
from math import isclose
from random import Random
from types import SimpleNamespace

from behave import given, then, when

from pulley_base import Clock
from pulley_direct.loads import LoadTable, is_ready, note_outcome, pass_over_outlier
from pulley_direct.models import Kind, Route
from pulley_direct.outcomes import is_late
from pulley_direct.waits import may_abandon
from pulley_policy.health import fade

SEED = 5
SERVICE = "model"
MS_PER_S = 1_000


class Play:
    """A router's records, what each endpoint fails, and who was sent what."""

    def __init__(self, n_endpoints, fails):
        self.names = [f"endpoint-{number}" for number in range(n_endpoints)]
        self.fails = dict.fromkeys(self.names, fails)
        self.loads = LoadTable(Clock(lambda: self.now_ms))
        self.random = Random(SEED)
        self.now_ms = 0
        self.sent = []
        self.most_passed_over = 0

    def serve(self, seconds, per_second):
        for _ in range(seconds * per_second):
            self.now_ms += MS_PER_S // per_second
            ready = [name for name in self.names if is_ready(self.loads, name)]
            n_passed_over = len(self.names) - len(ready)
            self.most_passed_over = max(self.most_passed_over, n_passed_over)
            name = self.random.choice(ready)
            good = self.random.random() >= self.fails[name]
            self.note(name, good)
            self.sent.append((self.now_ms, name))

    def note(self, name, good):
        """Note an outcome as the router does."""
        note_outcome(self.loads, name, SERVICE, good=good)
        if not good:
            pass_over_outlier(self.loads, name, SERVICE, self.names)

    def shares(self, from_s):
        """Give what each endpoint got against an equal share."""
        names = [name for at_ms, name in self.sent if at_ms >= from_s * MS_PER_S]
        counts = Counter(names)
        return {name: counts[name] * len(self.names) / len(names) for name in counts}


@given("{n:d} endpoints that fail {fails:g} of their requests")
def start_play(context, n, fails):
    context.play = Play(n, fails)


@when("one of them fails {fails:g} for {seconds:d} s at {rate:d} requests a second")
def fail_one(context, fails, seconds, rate):
    play = context.play
    context.bad, context.rate = play.names[0], rate
    before, play.fails[context.bad] = play.fails[context.bad], fails
    play.serve(seconds, rate)
    play.fails[context.bad] = before


@when("it is well for {seconds:d} s")
def serve_well(context, seconds):
    context.play.serve(seconds, context.rate)


@when("they serve for {seconds:d} s at {rate:d} requests a second")
def serve_all(context, seconds, rate):
    context.play.serve(seconds, rate)


@when("{n:d} of them fail every request for {seconds:d} s")
def fail_most(context, n, seconds):
    context.failing = context.play.names[:n]
    for name in context.failing:
        context.play.fails[name] = 1.0
    context.play.serve(seconds, 10)


@when("one of them has {bad:d} bad outcome and {good:d} good ones")
def note_some(context, bad, good):
    play = context.play
    context.bad = play.names[0]
    for outcome in [True] * good + [False] * bad:
        play.note(context.bad, outcome)


@then("it gets at most half of its share from the {second:d}th second on")
def check_less(context, second):
    assert context.play.shares(second).get(context.bad, 0.0) <= 0.5, (
        context.play.shares(second)
    )


@then("it gets at least {share:g} of its share in the last {seconds:d} s")
def check_back(context, share, seconds):
    from_s = context.play.now_ms // MS_PER_S - seconds
    shares = context.play.shares(from_s)
    assert shares.get(context.bad, 0.0) >= share, shares


@then("none of them gets less than {share:g} of its share")
def check_even(context, share):
    shares = context.play.shares(0)
    assert min(shares.get(name, 0.0) for name in context.play.names) >= share, shares


@then("each of them gets at most half of its share from the {second:d}th second on")
def check_all_less(context, second):
    shares = context.play.shares(second)
    assert all(shares.get(name, 0.0) <= 0.5 for name in context.failing), shares


@then("at most {n:d} of them are passed over at a time")
def check_few(context, n):
    assert 0 < context.play.most_passed_over <= n, context.play.most_passed_over


@then("it is not passed over")
def check_kept(context):
    assert is_ready(context.play.loads, context.bad)


@given("a lookup on a route without a target")
def make_job(context):
    route = Route(
        name="lookup",
        host="",
        prefix="/",
        kind=Kind.IDEMPOTENT,
        shares=(),
        timeout_ms=60_000,
        target_ms=0,
        max_attempts=2,
    )
    context.job = SimpleNamespace(route=route, sent_ms=0, streaming=False)


@when("its endpoint has been silent for {ms:d} ms")
def stay_silent(context, ms):
    context.silent_ms = ms


@then("the attempt is not given up and does not count as late")
def check_waiting(context):
    router = SimpleNamespace(clock=Clock(lambda: context.silent_ms))
    assert not may_abandon(context.job, context.silent_ms, unreachable=False)
    assert not is_late(router, context.job)


@then("the service's outcomes are the sum of its endpoints'")
def check_sum(context):
    loads = context.play.loads
    records = [state.record for state in loads.states.values()]
    for record in (*records, loads.services[SERVICE]):
        fade(record, context.play.now_ms)
    total = loads.services[SERVICE]
    assert isclose(total.good, sum(record.good for record in records)), total
    assert isclose(total.bad, sum(record.bad for record in records)), total
