"""Steps that play simulated days of routers that follow a store."""

import logging
import sys
from contextlib import ExitStack
from pathlib import Path
from random import Random
from unittest.mock import patch

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "machines"))

from faults import play_day  # noqa: E402
from fleets import PromiseBroken  # noqa: E402
from outages import play_outage  # noqa: E402
from virtual_loops import run_virtually  # noqa: E402

from pulley_direct.store import watchers  # noqa: E402

sound_apply = watchers.apply_answer


async def apply_as_it_arrives(follower, answer, sent_ms):
    """Take a word as if it had been on its way for no time."""
    await sound_apply(follower, answer, follower.clock.now_ms())


async def ask_without_era(follower, entry):
    """Take a word of whatever era."""
    return await follower.watchers.ask(entry, follower.progress.revision)


PLANTED = {
    "count no age on the way": ("apply_answer", apply_as_it_arrives),
    "take an older era": ("ask", ask_without_era),
    "believe a watcher for ever": ("configuration_age_ms", lambda fleet_view: 0),
}


def find_broken(seeds, n_routers):
    """Return the first seed whose day broke a promise, with what happened."""
    for seed in seeds:
        try:
            run_virtually(play_day(Random(seed), n_routers))
        except PromiseBroken as error:
            return seed, str(error)
    return None


@given("{n_routers:d} routers that follow a store")
def given_routers(context, n_routers):
    context.n_routers = n_routers
    logging.getLogger("pulley_direct").setLevel(logging.ERROR)


@when("they play the days of seeds {first:d} to {last:d}")
def play(context, first, last):
    context.broken = find_broken(range(first, last + 1), context.n_routers)


@when("they {fault} on the days of seeds {first:d} to {last:d}")
def play_with_fault(context, fault, first, last):
    name, replacement = PLANTED[fault]
    with ExitStack() as stack:
        stack.enter_context(patch.object(watchers, name, replacement))
        context.broken = find_broken(range(first, last + 1), context.n_routers)


@then("no promise is broken")
def check_kept(context):
    assert not context.broken, context.broken


@then("a promise is broken")
def check_broken(context):
    assert context.broken


@when("the store has been away and has dropped its history, from seeds 1 to {last:d}")
def end_outages(context, last):
    context.seeds = range(1, last + 1)


@when("no router hears another from {first_ms:d} to {last_ms:d} ms after that")
def cut_after_outages(context, first_ms, last_ms):
    context.took_ms = {}
    for seed in context.seeds:
        for cut_ms in (first_ms, 800, last_ms):
            day = play_outage(Random(seed), context.n_routers, cut_ms)
            context.took_ms[seed, cut_ms] = run_virtually(day)


@then("every router is current once the store has been well for {stable_ms:d} ms")
def check_current(context, stable_ms):
    late = {day: ms for day, ms in context.took_ms.items() if ms >= stable_ms}
    assert not late, late
