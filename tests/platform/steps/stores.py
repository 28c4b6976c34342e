"""Steps for the clients of the key-value service and the instance list."""

import asyncio
import json
from contextlib import aclosing

from behave import given, then, when

from pulley_base import ABSENT, UNAVAILABLE, UNKNOWN
from pulley_fleet.windows import Window, follow_window
from pulley_http import Client, Response, close_client, start_server
from pulley_platform import (
    UNCHANGED,
    Committed,
    Compare,
    Conflict,
    DeletePrefix,
    Put,
    Rejected,
    Store,
    Swapped,
    Target,
    commit_txn,
    grant_lease,
    read_instances,
    read_key,
    swap_key,
    watch_key,
)
from pulley_policy.claims import WINDOW_KEY, decode_window, record_key
from pulley_standins.lists import View, set_groups, start_list, stop_list
from pulley_standins.stores import set_faults, start_store, stop_store

N_LEASE_POLLS = 100
N_WINDOW_POLLS = 600
LAST_WINDOW = 4


def run(context, call):
    return context.loop.run_until_complete(call)


@given("a key-value service")
def start_service(context):
    context.standin = run(context, start_store("127.0.0.1"))
    context.cleanups.append(lambda: stop_store(context.standin))
    context.calls = []
    context.store = Store(
        Client(),
        (context.standin.server.address,),
        timeout_ms=500,
        on_call=context.calls.append,
    )


@given("the next reply to a write is lost")
def lose_reply(context):
    run(context, set_faults(context.standin, {"lose_replies": 1}))


@given('the service has an outage of type "{kind}"')
def begin_outage(context, kind):
    run(context, set_faults(context.standin, {"outage": kind}))


@when("the outage ends")
def end_outage(context):
    run(context, set_faults(context.standin, {"outage": ""}))


@when('"{key}" is swapped to "{value}" at revision {revision:d}')
def swap(context, key, value, revision):
    call = swap_key(context.store, key, value.encode(), revision)
    context.result = run(context, call)


@then("the swap took effect")
def check_swapped(context):
    assert isinstance(context.result, Swapped), context.result


@then('the swap conflicts with "{value}"')
def check_conflict(context, value):
    assert isinstance(context.result, Conflict), context.result
    assert context.result.current.value == value.encode()


@then("the result is unknown")
def check_unknown(context):
    assert context.result == UNKNOWN, context.result


@then("the result is unavailable")
def check_unavailable(context):
    assert context.result == UNAVAILABLE, context.result


@then('reading "{key}" returns "{value}"')
def check_value(context, key, value):
    assert run(context, read_key(context.store, key)).value == value.encode()


@then('reading "{key}" returns nothing')
def check_absent(context, key):
    assert run(context, read_key(context.store, key)) == ABSENT


@then('a transaction takes effect only while "{key}" is "{value}"')
def check_transaction(context, key, value):
    async def commit(expected):
        compares = [
            Compare(key, Target.VALUE, expected.encode()),
            Compare("claim", Target.VERSION, 0),
        ]
        return await commit_txn(context.store, compares, [Put("claim", b"x")], [key])

    rejected = run(context, commit(value + "0"))
    assert isinstance(rejected, Rejected), rejected
    assert rejected.current[0].value == value.encode()
    assert isinstance(run(context, commit(value)), Committed)
    assert isinstance(run(context, commit(value)), Rejected)


@when('the prefix "{prefix}" is deleted among {keys}')
def delete_prefix(context, prefix, keys):
    context.keys = [key.strip(' "') for key in keys.split(",")]
    writes = [Put(key, b"x") for key in context.keys]
    run(context, commit_txn(context.store, [], writes))
    run(context, commit_txn(context.store, [], [DeletePrefix(prefix)]))


@then('only "{key}" is left')
def check_only_key_left(context, key):
    left = [
        name for name in context.keys if run(context, read_key(context.store, name))
    ]
    assert left == [key], left


@then(
    'a watch from that revision reports "{first}", then "{second}" when it is written'
)
def check_watch(context, first, second):
    async def collect():
        values = []
        revision = context.result.mod_revision
        async with aclosing(watch_key(context.store, "a", revision)) as events:
            async for event in events:
                values.append(event.current.value.decode())
                if len(values) == 2:
                    return values
                await swap_key(context.store, "a", second.encode(), revision)

    assert run(context, collect()) == [first, second]


@when('"{key}" is written under a lease of {ttl_s:d} s')
def write_leased(context, key, ttl_s):
    lease = run(context, grant_lease(context.store, ttl_s))
    run(context, swap_key(context.store, key, b"x", 0, lease))
    assert run(context, read_key(context.store, key))


@then('"{key}" is removed after the lease expires')
def check_removed_after_expiry(context, key):
    async def poll():
        for _poll in range(N_LEASE_POLLS):
            if await read_key(context.store, key) == ABSENT:
                return True
            await asyncio.sleep(0.1)
        return False

    assert run(context, poll())


@then('the calls counted are "{names}"')
def check_calls_counted(context, names):
    assert context.calls == names.split(","), context.calls


@given("an instance list of two data centres")
def start_instances(context):
    context.lists = run(context, start_list("127.0.0.1"))
    context.cleanups.append(lambda: stop_list(context.lists))
    context.client = Client()
    context.cleanups.append(lambda: close_client(context.client))
    context.address = context.lists.server.address
    groups = [
        {"targets": ["127.0.0.1:9001"], "labels": {"data_centre": "enna"}},
        {"targets": ["127.0.0.1:9002"], "labels": {"data_centre": "ragusa"}},
    ]
    set_groups(context.lists, groups)


@given("an instance list that answers with {document}")
def start_invalid_list(context, document):
    json.loads(document)

    async def answer(request):
        return Response(200, [], document.encode())

    server = run(context, start_server(answer, "127.0.0.1", 0))
    context.cleanups.append(server.listener.close)
    context.client = Client()
    context.address = server.address


@when('the list hides "{target}" from this reader')
def hide(context, target):
    context.lists.views["127.0.0.1"] = View(hide=frozenset({target}))


@then('the list of "{data_centre}" has {count:d} instance')
@then('the list of "" has {count:d} instance')
def check_list_length(context, count, data_centre=""):
    call = read_instances(context.client, context.address, data_centre)
    context.instance_list = run(context, call)
    assert len(context.instance_list.instances) == count, context.instance_list


@then("reading it again with its ETag returns unchanged")
def check_unchanged(context):
    etag = context.instance_list.etag
    call = read_instances(context.client, context.address, "enna", etag)
    assert run(context, call) == UNCHANGED


@then("the list is unavailable")
def check_list_unavailable(context):
    assert run(context, read_instances(context.client, context.address)) == UNAVAILABLE


@when("two processes follow the claim window, advancing it every {ttl_s:d} s")
def follow_windows(context, ttl_s):
    context.numbers = run(context, watch_windows(context.store, ttl_s))


async def watch_windows(store: Store, ttl_s: int) -> list[int]:
    """Follow the window with two followers; write a record under each new number.

    Returns the numbers in the order in which they appeared.
    """
    windows = [Window(store), Window(store)]
    tasks = [
        asyncio.create_task(follow_window(each, lambda: len(windows), ttl_s))
        for each in windows
    ]
    numbers = []
    for _poll in range(N_WINDOW_POLLS):
        found = await read_key(store, WINDOW_KEY)
        number = decode_window(found.value) if found else 0
        if number and number not in numbers:
            numbers.append(number)
            put = Put(record_key(number, "bottega", b"key"), b"record")
            await commit_txn(store, [], [put])
        if number >= LAST_WINDOW:
            break
        await asyncio.sleep(0.05)
    for task in tasks:
        task.cancel()
    return numbers


@then("the window reaches {number:d} one step at a time")
def check_window_numbers(context, number):
    assert context.numbers == list(range(1, number + 1)), context.numbers


@then("of the records of windows 1 to 4 only those of 3 and 4 are left")
def check_records_left(context):
    left = [
        number
        for number in range(1, LAST_WINDOW + 1)
        if run(context, read_key(context.store, record_key(number, "bottega", b"key")))
    ]
    assert left == [3, 4], left
