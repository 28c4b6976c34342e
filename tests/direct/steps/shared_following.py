"""Steps with routers that follow one of them instead of watching the store."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from following_fleets import (
    IN_FORCE_MS,
    REVOKE_MS,
    find_follower,
    find_watcher,
    is_settled,
    name_of,
    order,
    play,
    publish_and_wait,
    send_order,
    wait_for,
)
from gossip import HOST
from pulley_platform_standins.stores import (
    StoreFault,
    copy_store,
    put_item,
    restore_store,
)
from scenes import publish

from pulley_adapter.stores import connect_store
from pulley_base import Clock, to_seconds
from pulley_direct.app import close_router, drain
from pulley_direct.peers.relay_messages import (
    CHANGES_PATH,
    DIGEST_HEADER,
    NONCE_HEADER,
    RelayAnswer,
    sign,
)
from pulley_direct.requests.trust import TOKEN_AGE_SHARE
from pulley_direct.state.fleet_views import FleetView, configuration_age_ms
from pulley_direct.store.positions import Follower, Watchers, WatchProgress
from pulley_direct.store.watchers import apply_answer
from pulley_http import Client, Response, close_client, fetch
from pulley_policy.watchers import Member, derive_times

TIMES = derive_times(IN_FORCE_MS)
REST_MS = 3_000
OTHER_KEY = "00" * 16
REQUEST_FAULTS = {
    "without a digest": (CHANGES_PATH, None),
    "under another key": (CHANGES_PATH, OTHER_KEY),
    "for a revision that is no number": (f"{CHANGES_PATH}?after=many", ""),
}


@given("6 routers that know each other")
def given_routers(context):
    """The fleet starts with the scene, in the event loop that it runs in."""


@when("a new configuration is published")
def publish_new(context):
    async def scene(fleet):
        took_ms = await publish_and_wait(fleet, fleet.routers)
        await wait_for(lambda: is_settled(fleet))
        n_calls = len(fleet.fixture.store.calls)
        await asyncio.sleep(to_seconds(REST_MS))
        n_calls = len(fleet.fixture.store.calls) - n_calls
        return took_ms, is_settled(fleet), n_calls * 1_000 / REST_MS

    play(context, scene)


@then("every router has it in force in time")
@then("every other router has it in force in time")
def check_in_force(context):
    assert context.found[0] < IN_FORCE_MS, context.found


@then("one router watches the store, the others follow it")
def check_settled(context):
    assert context.found[1], context.found


@then("the store gets at most {n_calls:d} calls a second from all of them")
def check_calls(context, n_calls):
    assert context.found[2] <= n_calls, context.found


@when("the store falls silent")
def silence_store(context):
    async def scene(fleet):
        await asyncio.sleep(to_seconds(REST_MS))
        fleet.fixture.store.fault = StoreFault.NO_ANSWER
        views = [one.router.fleet_view for one in fleet.routers]
        ages_ms = [configuration_age_ms(view) for view in views]
        served = []
        for running, age_ms in zip(fleet.routers, ages_ms):
            limit_ms = REVOKE_MS * TOKEN_AGE_SHARE - max(ages_ms)
            served.append((running, await order(fleet, running, name_of(running))))
            assert limit_ms > 0, age_ms
        await asyncio.sleep(to_seconds(limit_ms * 0.7))
        late = [
            await order(fleet, one, f"late-{name_of(one)}") for one in fleet.routers
        ]
        await asyncio.sleep(to_seconds(REVOKE_MS))
        after = [
            await send_order(fleet, one, f"after-{name_of(one)}")
            for one in fleet.routers
        ]
        return ages_ms, [status for _, status in served] + late, after

    play(context, scene)


@then("the word of every router is at most {share:g} of the bound old")
def check_age(context, share):
    assert max(context.found[0]) <= share * IN_FORCE_MS, context.found


@then("every router serves tokens until its word is too old, and none after it")
def check_served(context):
    _, served, after = context.found
    assert set(served) == {200}, context.found
    assert {answer.status for answer in after} == {503}, context.found


@then("callers who are refused are told to come back after {first:g} to {last:g} s")
def check_return(context, first, last):
    returns_s = [float(answer.header("retry-after")) for answer in context.found[2]]
    assert all(first <= one <= last for one in returns_s), returns_s
    assert len(set(returns_s)) > 1, returns_s


async def end(fleet, watcher):
    close_router(watcher)


async def answer_nobody(fleet, watcher):
    async def hang(request):
        await asyncio.Event().wait()

    watcher.relay_server.handler = hang


async def cut_off(fleet, watcher):
    fleet.doors[name_of(watcher)].closed = True


async def start_drain(fleet, watcher):
    fleet.draining = asyncio.create_task(drain(watcher))


WATCHER_FAULTS = {
    "ends": end,
    "answers no follower": answer_nobody,
    "is cut off the store": cut_off,
}


@when("the watcher {fault} and a new configuration is published")
def fail_watcher(context, fault):
    async def scene(fleet):
        watcher = find_watcher(fleet)
        others = [one for one in fleet.routers if one is not watcher]
        draining = None
        if fault == "starts to drain":
            draining = asyncio.create_task(drain(watcher))
            await asyncio.sleep(0)
        else:
            await WATCHER_FAULTS[fault](fleet, watcher)
        try:
            return [await publish_and_wait(fleet, others)]
        finally:
            if draining is not None:
                draining.cancel()

    play(context, scene)


@when("a follower is cut off the store for longer than tokens are good")
def cut_follower(context):
    async def scene(fleet):
        follower = find_follower(fleet)
        fleet.doors[name_of(follower)].closed = True
        statuses = []
        for number in range(5):
            await asyncio.sleep(to_seconds(REVOKE_MS / 4))
            statuses.append(await order(fleet, follower, number))
        publish(fleet.fixture, fleet.fixture.version + 1, [])
        await asyncio.sleep(to_seconds(REVOKE_MS))
        return statuses, await order(fleet, follower, "last")

    play(context, scene)


@then("it serves tokens all the while")
def check_all_served(context):
    assert set(context.found[0]) == {200}, context.found


@then("it refuses a token in time after it was removed")
def check_removed(context):
    assert context.found[1] == 401, context.found


@when("a watcher whose store confirmed {age_ms:d} ms ago answers {delay_ms:d} ms late")
def answer_late(context, age_ms, delay_ms):
    reading = [1_000_000]
    clock = Clock(lambda: reading[0])
    view = FleetView(clock)

    async def decode(items):
        return []

    store = connect_store(f"{HOST}:1", Client())
    follower = Follower(
        replace(store, decode=decode),
        view,
        clock,
        TIMES,
        0,
        Watchers(Member("own", "here"), None),
        WatchProgress(revision=7),
    )
    answer = RelayAnswer((), 7, 1, whole=False, confirmed_ms=-age_ms)
    sent_ms = clock.now_ms()
    reading[0] += delay_ms
    asyncio.run(apply_answer(follower, answer, sent_ms))
    context.age_ms = configuration_age_ms(view)


@then("the word is at least {age_ms:d} ms old to its follower")
def check_late(context, age_ms):
    assert context.age_ms >= age_ms, context.age_ms


def fake_answers(watcher, fault):
    """Let a watcher give answers with a fault; return the requests that it got."""
    honest = watcher.relay_server.handler
    kept = []

    async def answer(request):
        response = await honest(request)
        kept.append(response)
        if fault == "to an earlier request":
            return kept[0]
        body = response.body
        if fault == "that is cut off":
            body = body[:-4]
            key, nonce = watcher.router.peer_key, dict(request.headers)[NONCE_HEADER]
            return Response(200, [(DIGEST_HEADER, sign(key, nonce, body))], body)
        nonce = dict(request.headers)[NONCE_HEADER]
        return Response(200, [(DIGEST_HEADER, sign(OTHER_KEY, nonce, body))], body)

    watcher.relay_server.handler = answer
    return kept


@when("a follower gets an answer {fault}")
def get_bad_answer(context, fault):
    async def scene(fleet):
        watcher = find_watcher(fleet)
        others = [one for one in fleet.routers if one is not watcher]
        view = watcher.router.fleet_view
        if fault == "of a store's earlier era":
            await wait_for(lambda: view.mirror is not None)
            view.mirror.era = 0
        elif fault == "whose word is too old":
            fleet.doors[name_of(watcher)].closed = True
        else:
            fake_answers(watcher, fault)
        await wait_for(
            lambda: all(
                one.router.fleet_view.watcher != name_of(watcher) for one in others
            )
        )
        versions = {one.router.fleet_view.configuration.version for one in others}
        ages_ms = [configuration_age_ms(one.router.fleet_view) for one in others]
        return versions, max(ages_ms), fleet.fixture.version

    play(context, scene)


@then("it follows that watcher no more, and its configuration holds")
def check_not_believed(context):
    versions, age_ms, version = context.found
    assert versions == {version} and age_ms < IN_FORCE_MS, context.found


async def ask_raw(running, target, key, nonce=b"0123456789abcdef"):
    """Send a request for changes under a key, without a digest if that is None."""
    headers = [(NONCE_HEADER, nonce)]
    if key is not None:
        headers.append((DIGEST_HEADER, sign(key, nonce, target.encode())))
    client = Client()
    address = f"{HOST}:{running.router.settings.peer_ports[0]}"
    try:
        return await fetch(client, address, "GET", target, headers=headers)
    finally:
        close_client(client)


@when("the watcher gets a request {fault}")
def get_bad_request(context, fault):
    async def scene(fleet):
        watcher = find_watcher(fleet)
        target, key = REQUEST_FAULTS[fault]
        return await ask_raw(
            watcher, target, watcher.router.peer_key if key == "" else key
        )

    play(context, scene)


@when("a follower gets a request of another router")
def ask_follower(context):
    async def scene(fleet):
        follower = find_follower(fleet)
        return await ask_raw(follower, CHANGES_PATH, follower.router.peer_key)

    play(context, scene)


@then("it answers {status:d} and nothing of what the store holds")
def check_refused(context, status):
    found = context.found
    assert found.status == status and b"pulley" not in found.body, found
    assert len(found.body) < 200, found


@when("the watcher's entry is written as one without a key")
def write_keyless(context):
    async def scene(fleet):
        watcher = find_watcher(fleet)
        others = [one for one in fleet.routers if one is not watcher]
        address = f"{HOST}:{watcher.router.settings.peer_ports[0]}"
        put_item(
            fleet.fixture.store, f"pulley/routers/{name_of(watcher)}", address.encode()
        )
        await wait_for(
            lambda: (
                sum(one.router.fleet_view.watcher is None for one in others) == 1
                and all(
                    one.router.fleet_view.watcher != name_of(watcher) for one in others
                )
            )
        )
        return [await publish_and_wait(fleet, others)]

    play(context, scene)


@then("every other router goes on by another watcher")
def check_other_watcher(context):
    assert context.found[0] < IN_FORCE_MS, context.found


@when("the store is restored from a copy and a new configuration is published")
def restore(context):
    async def scene(fleet):
        store = fleet.fixture.store
        copy = copy_store(store)
        publish(fleet.fixture, fleet.fixture.version + 1)
        await asyncio.sleep(to_seconds(REST_MS / 2))
        restore_store(store, copy)
        took_ms = await publish_and_wait(fleet, fleet.routers)
        await wait_for(
            lambda: all(one.router.fleet_view.n_restores for one in fleet.routers)
        )
        return took_ms, [one.router.fleet_view.n_restores for one in fleet.routers]

    play(context, scene)


@then("every router has seen the store's new era")
def check_restored(context):
    assert set(context.found[1]) == {1}, context.found
