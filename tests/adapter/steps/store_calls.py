"""Steps that call a store through the platform's client."""

import asyncio

from behave import then, when
from pulley_platform_standins.stores import (
    StoreFault,
    expire_leases,
    put_document,
    start_store,
)
from samples import CONFIGURATION, ENDPOINT_ENTRY

from pulley_adapter.stores import connect_store
from pulley_base import PulleyError
from pulley_direct.state.models import RouterEntry
from pulley_direct.store.store_calls import StoreCallRefused
from pulley_http import Client, close_client, close_server

N_ITEMS = 1_203


async def with_store(use_store):
    store = await start_store()
    client = Client()
    try:
        return await use_store(store, connect_store(store.address, client))
    finally:
        close_client(client)
        close_server(store.server)


@when("a store with more items than one page is read")
def read_many_items(context):
    async def use_store(store, calls):
        for number in range(N_ITEMS):
            entry = ENDPOINT_ENTRY | {"slots": number}
            put_document(store, f"servers/e-{number:05d}", entry)
        return await calls.read_all()

    context.changes = asyncio.run(with_store(use_store))


@then("all items are returned")
def check_all_items(context):
    assert [endpoint.slots for endpoint in context.changes.entries] == list(
        range(N_ITEMS)
    )


@when("two versions and one that can't be read are written while a watch waits")
def watch_many_versions(context):
    async def use_store(store, calls):
        changes = await calls.read_all()
        for version in (1, 2):
            document = CONFIGURATION | {"version": version}
            put_document(store, "op/config", document)
        put_document(store, "op/config", {"version": "three"})
        return await calls.watch(changes.revision, 1_000, lambda: None)

    context.changes = asyncio.run(with_store(use_store))


@then("the second version is the only configuration that is returned")
def check_newest_version(context):
    assert [entry.version for entry in context.changes.entries] == [2]


@when("the store refuses one call and does not answer another")
def call_failing_store(context):
    async def use_store(store, calls):
        errors = []
        for fault in (StoreFault.REFUSE, StoreFault.LOSE_REPLIES):
            store.fault = fault
            try:
                await calls.grant_lease(5_000)
            except PulleyError as error:
                errors.append(error)
        return errors, len(store.leases)

    context.errors, context.n_leases = asyncio.run(with_store(use_store))


@then("only the first is reported as refused, and the second took effect")
def check_refused_and_lost_calls(context):
    refused, lost = context.errors
    assert isinstance(refused, StoreCallRefused) and refused.status == 503, refused
    assert not isinstance(lost, StoreCallRefused), lost
    assert context.n_leases == 1


@when("a router is announced under a lease that expires")
def announce_router_until_expiry(context):
    async def use_store(store, calls):
        granted = await calls.grant_lease(100)
        entry = RouterEntry("router-1", "127.0.0.1:7000", "here", "key")
        await calls.announce(entry, granted.lease)
        before = list(store.items)
        await asyncio.sleep(0.15)
        expire_leases(store)
        return before, list(store.items), await calls.renew_lease(granted.lease)

    context.entries = asyncio.run(with_store(use_store))


@then("its entry is removed and the lease can't be renewed")
def check_entry_removed(context):
    before, after, renewed = context.entries
    assert len(before) == 1 and not after and not renewed, context.entries
