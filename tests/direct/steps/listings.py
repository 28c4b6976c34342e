"""Steps that change which endpoints the store lists and which are used."""

import asyncio
import json
import time

from behave import then, when
from pulley_platform_standins.endpoints import (
    Behavior,
    list_endpoint,
    make_entry,
    unlist_endpoint,
)
from pulley_platform_standins.stores import (
    StoreFault,
    compact_history,
    put_document,
    put_item,
)
from scenes import LOOKUP, ORDER, add_endpoint, call, find_endpoints, start_fixture

from pulley_direct.endpoints.departures import usable_endpoints
from pulley_direct.state.loads import get_state, is_backing_off


@when("an endpoint starts draining")
def drain_endpoint(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            draining = find_endpoints(fixture, "shop")[0]
            list_endpoint(fixture.store, draining, "draining")
            await asyncio.sleep(0.2)
            draining.requests.clear()
            for number in range(10):
                await call(fixture, LOOKUP, request_id=f"request-{number}")
            return draining.requests

    context.late_requests = asyncio.run(run())


@then("no request reaches it")
def check_no_late_requests(context):
    assert not context.late_requests, context.late_requests


@when("the store returns from an outage without an endpoint's entry")
def lose_entry_in_outage(context):
    async def run():
        async with start_fixture() as fixture:
            fixture.store.fault = StoreFault.REFUSE
            await asyncio.sleep(1.3)
            unlist_endpoint(fixture.store, find_endpoints(fixture, "shop")[0])
            fixture.store.fault = StoreFault.NONE
            await asyncio.sleep(0.8)
            fleet_view = fixture.router.fleet_view
            during = len(usable_endpoints(fleet_view, "shop"))
            await asyncio.sleep(2.4)
            return during, len(usable_endpoints(fleet_view, "shop"))

    context.counts = asyncio.run(run())


@then("the endpoint is used until the grace period is over")
def check_grace_period(context):
    assert context.counts == (1, 0), context.counts


@when("invalid entries are written")
def write_invalid_entries(context):
    async def run():
        async with start_fixture() as fixture:
            store = fixture.store
            valid_row = make_entry("shop", "127.0.0.1:9")
            invalid_rows = [
                valid_row | {"state": "resting"},
                valid_row | {"slots": "four"},
                valid_row | {"address": "nowhere"},
                valid_row | {"service": 5},
                {key: valid_row[key] for key in ("service", "address")},
            ]
            for number, document in enumerate(invalid_rows):
                put_document(store, f"servers/wrong-{number}", document)
            put_item(store, "servers/bytes", b"\xff\xfe\x00")
            put_item(store, "servers/list", json.dumps([1]).encode())
            await asyncio.sleep(0.3)
            await add_endpoint(fixture, "shop-1", "shop")
            await asyncio.sleep(0.3)
            answers = [
                await call(fixture, LOOKUP, request_id=f"request-{number}")
                for number in range(5)
            ]
            return answers, usable_endpoints(fixture.router.fleet_view, "shop")

    context.answers, context.usable = asyncio.run(run())


@then("requests still reach the valid endpoints, also one listed later")
def check_valid_endpoints_used(context):
    assert [one.status for one in context.answers] == [200] * 5, context.answers
    names = {one.name for one in context.usable}
    assert names == {"shop-0", "shop-1"}, context.usable


@when("the store loses its history and an endpoint joins")
def lose_history(context):
    async def run():
        async with start_fixture() as fixture:
            put_item(fixture.store, "op/other", b"{}")
            compact_history(fixture.store)
            joined = await add_endpoint(fixture, "shop-9", "shop")
            unlist_endpoint(fixture.store, find_endpoints(fixture, "shop")[0])
            compact_history(fixture.store)
            await asyncio.sleep(0.8)
            return await call(fixture, ORDER), joined

    context.answer, context.joined = asyncio.run(run())


@then("requests reach the endpoint that joined")
def check_joined_endpoint_used(context):
    assert context.answer.status == 200, context.answer
    assert context.joined.runs.total() == 1, context.joined


@when("a request with a short deadline gets no answer")
def miss_short_deadline(context):
    async def run():
        async with start_fixture() as fixture:
            endpoint = find_endpoints(fixture, "shop")[0]
            endpoint.behavior = Behavior.NO_ANSWER
            answer = await call(fixture, ORDER, timeout_ms=200)
            return answer, is_backing_off(fixture.router.loads, endpoint.name)

    context.answer, context.held_off = asyncio.run(run())


@then("its endpoint is not in backoff")
def check_no_backoff(context):
    assert context.answer.status == 504, context.answer
    assert not context.held_off


@when("an endpoint's address is taken over by another service's endpoint")
def take_over_address(context):
    async def run():
        async with start_fixture() as fixture:
            model = find_endpoints(fixture, "model")[0]
            born_ms = int(time.time() * 1_000)
            row = make_entry("shop", model.address, slots=99, born=born_ms)
            put_document(fixture.store, "servers/shop-old", row)
            await asyncio.sleep(0.3)
            # Make the valid endpoint look busy, so that the stale one is chosen first.
            get_state(fixture.router.loads, "shop-0").in_flight = 1
            answers = [
                await call(fixture, LOOKUP, request_id=f"request-{number}")
                for number in range(4)
            ]
            return answers, model

    context.answers, context.model = asyncio.run(run())


@then("the request is answered by an endpoint of its own service")
def check_own_service_answers(context):
    stamps = {one.header("server-stamp") for one in context.answers}
    assert stamps == {"stamp-of-shop-0"}, context.answers
    assert context.model.requests and not context.model.runs, context.model
