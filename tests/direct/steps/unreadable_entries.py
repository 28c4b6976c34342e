"""Steps in which another writer writes over an endpoint's entry."""

import asyncio

from behave import then, when
from pulley_platform_standins.endpoints import list_endpoint
from pulley_platform_standins.stores import put_document
from scenes import CHAT, ORDER, call, find_endpoints, start_fixture, wait_until_synced

# Both answers last for longer than the entry is unreadable.
EVENT_MS = 300
WORK_MS = 1_500
UNREADABLE_S = 1.0
SCENES = {"stream": ("model", CHAT), "order": ("shop", ORDER)}


@when("the entry of the endpoint lacks fields for a second amid a {kind}")
def replace_entry(context, kind):
    service, path = SCENES[kind]

    async def run():
        async with start_fixture() as fixture:
            endpoint = find_endpoints(fixture, service)[0]
            endpoint.event_ms, endpoint.work_ms = EVENT_MS, WORK_MS
            task = asyncio.create_task(call(fixture, path, timeout_ms=4_000))
            while not endpoint.n_running:
                await asyncio.sleep(0.001)
            row = {
                "service": service,
                "address": endpoint.address,
                "slots": 8,
                "state": "ready",
            }
            put_document(fixture.store, f"servers/{endpoint.name}", row)
            await asyncio.sleep(UNREADABLE_S / 2)
            context.meanwhile = await call(fixture, path, request_id="request-2")
            await asyncio.sleep(UNREADABLE_S / 2)
            list_endpoint(fixture.store, endpoint)
            context.answer = await task
            context.n_runs = endpoint.runs["request-1"]
            context.n_meanwhile = endpoint.runs["request-2"]
            await wait_until_synced(fixture)
            context.later = await call(
                fixture, path, request_id="request-3", timeout_ms=4_000
            )

    asyncio.run(run())


@then("the caller gets its whole answer, from one run")
def check_answer(context):
    assert context.answer.whole and context.answer.status == 200, context.answer
    assert context.n_runs == 1, context.n_runs


@then("a request that comes meanwhile is refused as not run")
def check_meanwhile(context):
    assert context.meanwhile.status == 503, context.meanwhile
    assert context.n_meanwhile == 0, context.n_meanwhile


@then("one that comes afterwards is answered")
def check_later(context):
    assert context.later.status == 200 and context.later.whole, context.later
