"""Steps about how many routers share limits and budgets."""

from types import SimpleNamespace

from behave import given, then, when

from pulley_base import Clock
from pulley_direct.endpoints.budgets import count_routers
from pulley_direct.endpoints.limits import count_sharing_routers
from pulley_direct.state.fleet_views import FleetView
from pulley_direct.state.models import RouterEntry, RouterRemoved
from pulley_direct.store.beliefs import apply_entries, replace_entries

OWN = RouterEntry("router-0", "127.0.0.1:9000")
OTHERS = [RouterEntry(f"router-{n}", f"127.0.0.1:{9_000 + n}") for n in range(1, 8)]
HALF_A_MINUTE_MS = 30_000


@given("a router that knows seven others")
def know_others(context):
    context.now_ms = 1_000
    context.view = FleetView(Clock(lambda: context.now_ms))
    settings = SimpleNamespace(instance=OWN.name)
    context.router = SimpleNamespace(settings=settings, fleet_view=context.view)
    apply_entries(context.view, [OWN, *OTHERS])


@when("their entries are missing after {event}")
def remove_others(context, event):
    if event == "a full read":
        replace_entries(context.view, [OWN], 9)
    else:
        apply_entries(context.view, [RouterRemoved(one.name) for one in OTHERS])


@when("their entries are removed and written again")
def write_again(context):
    remove_others(context, "an event")
    apply_entries(context.view, OTHERS)


def counts(context):
    return count_routers(context.router), count_sharing_routers(context.router)


@then("it still shares the retry budget and a limit with seven others")
def check_shared(context):
    assert counts(context) == (8, 8), counts(context)


@then("half a minute later it doesn't")
def check_not_shared(context):
    context.now_ms += HALF_A_MINUTE_MS
    assert counts(context) == (4, 1), counts(context)


@then("half a minute later it still shares them with seven others")
def check_shared_later(context):
    context.now_ms += HALF_A_MINUTE_MS
    check_shared(context)
