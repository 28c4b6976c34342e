"""Steps in which simulated routers repeat the requests that fail."""

import sys
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from behave import given, then, when

from pulley_base import Clock, Reason
from pulley_direct.endpoints.budgets import earn_retry, spend_retry
from pulley_direct.state.fleet_views import FleetView
from pulley_direct.state.jobs import Job
from pulley_direct.state.models import Bounds, Call, RouterEntry, RouterSettings
from pulley_direct.state.routers import Router

sys.path.insert(0, str(Path(__file__).parents[1]))

from windows import (  # noqa: E402
    RETRY_RATIO,
    RETRY_SLACK,
    WINDOW_MS,
    Traffic,
    find_worst_window,
    measure_window,
)

SERVICE = "shop"
FAILING_MS = 40_000
CALM_MS = 60_000
STEP_MS = 50
RANDOM_MS = 60_000
SEED = 52
N_SEEDS = 12
CALL = Call("request-1", "pulley.example", "/x", "POST", "/x", [])
USED_SHARE = 0.9


@dataclass(slots=True)
class SimulatedFleet:
    """Routers by number, which hear of each other ``listed_ms`` after their start.

    They never do if that is None. ``entries`` is the list that they hear.
    ``first_repeats`` tells of each router whether its first failed request was
    repeated.
    """

    n_routers: int
    listed_ms: int | None
    now_ms: int = 0
    random: Random = field(default_factory=lambda: Random(SEED))
    routers: list[Router] = field(default_factory=list)
    started_ms: list[int] = field(default_factory=list)
    entries: dict[str, RouterEntry] = field(default_factory=dict)
    traffic: Traffic = field(default_factory=Traffic)
    first_repeats: dict[str, bool] = field(default_factory=dict)


def start_router(fleet, number):
    """Return a router that has just started and knows nobody."""
    clock = Clock(lambda: fleet.now_ms)
    settings = RouterSettings(
        instance=f"router-{number}",
        ip="127.0.0.1",
        data_centre="here",
        callers_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        peer_ports=(0, 0),
        store_address="127.0.0.1:3",
        bounds=Bounds(retry_ratio=RETRY_RATIO, retry_slack=RETRY_SLACK),
    )
    return Router(settings, None, clock, FleetView(clock), None, None)


def restart(fleet, number):
    fleet.routers[number] = start_router(fleet, number)
    fleet.started_ms[number] = fleet.now_ms


def tell_routers(fleet):
    """Tell the routers that the store's list is as they know it, or what it is."""
    if fleet.listed_ms is None:
        return
    for router, started_ms in zip(fleet.routers, fleet.started_ms):
        if fleet.now_ms - started_ms >= fleet.listed_ms:
            router.fleet_view.routers = fleet.entries
            router.fleet_view.confirmed_ms = fleet.now_ms


def send_request(fleet, fails):
    """Send one request to a router drawn at random; repeat it once if it fails."""
    router = fleet.random.choice(fleet.routers)
    fleet.traffic.sent_ms.append(fleet.now_ms)
    earn_retry(router, SERVICE)
    job = Job(CALL, None, SERVICE, None, b"", fleet.now_ms, fleet.now_ms, 1)
    if not fails:
        return
    repeats = spend_retry(router, job, Reason.ENGINE_ERROR)
    fleet.first_repeats.setdefault(router.settings.instance, repeats)
    if repeats:
        fleet.traffic.repeats_ms.append(fleet.now_ms)


def play(fleet, duration_ms, rate_per_s, *, fails, kill=None):
    """Play a time in which ``kill`` is called at each step."""
    end_ms = fleet.now_ms + duration_ms
    n_due = 0.0
    while fleet.now_ms < end_ms:
        if kill is not None:
            kill(fleet)
        tell_routers(fleet)
        n_due += rate_per_s * STEP_MS / 1_000
        while n_due >= 1.0:
            n_due -= 1.0
            send_request(fleet, fails)
        fleet.now_ms += STEP_MS


def kill_all(interval_ms, fleet):
    if fleet.now_ms and fleet.now_ms % interval_ms == 0:
        for number in range(fleet.n_routers):
            restart(fleet, number)


def kill_next(interval_ms, fleet):
    """Kill as many routers, one after the other, as are due within a step."""
    first, end = fleet.now_ms // interval_ms, (fleet.now_ms + STEP_MS) // interval_ms
    for count in range(first, end):
        restart(fleet, count % fleet.n_routers)


def read_kills(text):
    """Return what kills routers, such as ``all every 5 ms`` or ``one every 5 ms``."""
    if text == "never":
        return None
    which, _every, interval, _unit = text.split()
    return partial({"all": kill_all, "one": kill_next}[which], int(interval))


def make_fleet(n, listed_ms, seed=SEED):
    """Return a fleet whose routers have just started."""
    fleet = SimulatedFleet(n, listed_ms, random=Random(seed))
    for number in range(n):
        router = start_router(fleet, number)
        fleet.routers.append(router)
        fleet.started_ms.append(0)
        name = router.settings.instance
        fleet.entries[name] = RouterEntry(name, "127.0.0.1:4")
    return fleet


def play_at_random(fleet):
    """Play spells in which the rate, failures and kills are drawn anew."""
    draw = fleet.random
    while fleet.now_ms < RANDOM_MS:
        kill_share = draw.choice([0, 0, 0.001, 0.01, 0.1])

        def kill(fleet, share=kill_share):
            for number in range(fleet.n_routers):
                if draw.random() < share:
                    restart(fleet, number)

        play(
            fleet,
            draw.randint(1, 12) * 1_000,
            draw.choice([1, 10, 50, 200, 600]),
            fails=draw.random() < 0.7,
            kill=kill,
        )


@given("{n:d} routers that hear of each other {listed}")
def start_fleet(context, n, listed):
    listed_ms = None if listed == "never" else int(listed.split()[1])
    context.fleet = make_fleet(n, listed_ms)
    context.traffic = context.fleet.traffic


@when("{rate:d} requests a second fail while routers are killed {kills}")
def fail_while_killed(context, rate, kills):
    play(context.fleet, FAILING_MS, rate, fails=True, kill=read_kills(kills))


@when("{rate:d} requests a second succeed for a minute and then fail for ten seconds")
def fail_after_calm(context, rate):
    play(context.fleet, CALM_MS, rate, fails=False)
    play(context.fleet, WINDOW_MS, rate, fails=True)


@then("whatever is sent, fails and is killed, {n:d} routers keep to the budget")
def check_any(context, n):
    for seed in range(N_SEEDS):
        fleet = make_fleet(n, Random(seed).choice([100, 1_000, 4_000]), seed)
        play_at_random(fleet)
        worst = find_worst_window(fleet.traffic)
        assert worst.excess <= 0, (seed, worst)


@then("in no ten seconds there are more repeats than allowed")
def check_allowed(context):
    worst = find_worst_window(context.traffic)
    print(worst)
    assert worst.excess <= 0, worst


@then("in the ten seconds at least nine tenths of what is allowed are sent")
def check_used(context):
    window = measure_window(context.fleet.traffic, context.fleet.now_ms)
    assert window.n_repeats >= USED_SHARE * window.n_allowed, window


@then("the first failed request of each router is repeated")
def check_first_repeats(context):
    found = context.fleet.first_repeats
    assert found and all(found.values()), found


@then("at least {percent:d} in 100 of the failed requests are repeated")
def check_repeated(context, percent):
    fleet = context.fleet
    n_failed = sum(sent_ms >= CALM_MS for sent_ms in fleet.traffic.sent_ms)
    n_repeats = len(fleet.traffic.repeats_ms)
    assert 100 * n_repeats >= percent * n_failed, (n_repeats, n_failed)
