"""Steps that read a large configuration while another task wants to run."""

import asyncio
import base64
import json
from contextlib import suppress
from time import perf_counter
from unittest.mock import patch

from behave import then, when

from pulley_adapter import stores
from pulley_direct.state.models import Configuration
from pulley_http import Client, Response

# A busy machine may interrupt some of the rounds.
N_ROUNDS = 7


def make_answer(n_routes, last_type="idempotent"):
    """Return the store's answer with a configuration as its only item."""
    route = {"host": "pulley.example", "service": "shop", "type": "idempotent"}
    routes = [
        route | {"name": f"route-{n}", "pathPrefix": f"/{n}/"} for n in range(n_routes)
    ]
    routes[-1]["type"] = last_type
    configuration = {"version": 7, "routes": routes, "tenants": [], "services": []}
    value = base64.b64encode(json.dumps(configuration).encode()).decode()
    page = {"items": [{"key": "op/config", "value": value}], "currentRev": 1}
    return Response(200, [], json.dumps(page).encode())


async def note_turns(turns):
    while True:
        turns.append(perf_counter())
        await asyncio.sleep(0)


async def read_beside_task():
    """Read the store, and return the entries and the longest stall as a share."""
    store = stores.Store("", Client())
    turns = []
    noting = asyncio.create_task(note_turns(turns))
    await asyncio.sleep(0)
    started = perf_counter()
    changes = await stores.read_entries(store, stores.ALL_KEYS_PREFIX)
    ended = perf_counter()
    await asyncio.sleep(0)
    noting.cancel()
    with suppress(asyncio.CancelledError):
        await noting
    stalls = [after - before for before, after in zip(turns, turns[1:])]
    return changes.entries, max(stalls) / (ended - started)


def read_configuration(answer):
    async def call_store(*_args, **_options):
        return answer

    with patch.object(stores, "call_store", call_store):
        return asyncio.run(read_beside_task())


@when("a configuration of {n_routes:d} routes is read from the store")
def read_large(context, n_routes):
    answer = make_answer(n_routes)
    rounds = [read_configuration(answer) for _ in range(N_ROUNDS)]
    context.n_routes = n_routes
    context.entries = rounds[0][0]
    context.stall_share = min(share for _entries, share in rounds)


@then("the event loop is never busy for over {most:g} of the time that it takes")
def check_stall(context, most):
    assert context.stall_share <= most, f"{context.stall_share:.2f}"


@then("the configuration is whole")
def check_whole(context):
    (found,) = context.entries
    assert isinstance(found, Configuration), found
    assert (found.version, len(found.routes)) == (7, context.n_routes), found.version


@when("a configuration of {n_routes:d} routes is read whose last route is invalid")
def read_invalid(context, n_routes):
    answer = make_answer(n_routes, last_type="unheard-of")
    context.entries, _share = read_configuration(answer)


@then("no configuration is found")
def check_none(context):
    assert not context.entries, context.entries
