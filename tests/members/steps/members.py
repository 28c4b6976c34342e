"""Steps for membership; a small HTTP server provides the instance list."""

import asyncio
import json

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from pulley_base import Clock
from pulley_fleet.members import (
    READS_PER_S,
    ListReadState,
    Members,
    read_interval_ms,
    read_list,
)
from pulley_http import Client, Response, close_client, start_server
from pulley_policy.members import BACKOFF_MAX_MS, Listed, MemberTable

N_SERVICES = 5
LOCAL_DATA_CENTRE = "dc0"


def build_target_groups(n_agents, n_data_centres):
    """Return the JSON document of the instance list."""
    return [
        {
            "targets": [f"10.{n % n_data_centres}.{n // 250}.{n % 250}:1"],
            "labels": {
                "service": f"s{n // n_data_centres % N_SERVICES}",
                "data_centre": f"dc{n % n_data_centres}",
                "state": "live",
                "role": "agent",
            },
        }
        for n in range(n_agents)
    ]


@given("an instance list of {n:d} agents in {n_data_centres:d} data centres")
def make_list(context, n, n_data_centres):
    context.groups = build_target_groups(n, n_data_centres)
    context.targets = []
    context.clock_ms = [0]
    context.members = Members(Clock(lambda: context.clock_ms[0]))
    context.read_state = ListReadState(LOCAL_DATA_CENTRE)


@when("a process reads it at {times} ms")
def read_at(context, times):
    asyncio.run(read_all_times(context, [int(part) for part in times.split(",")]))


@when("an agent of service {service} reads it at {times} ms")
def agent_reads(context, service, times):
    context.members.service = service
    read_at(context, times)


async def read_all_times(context, times):
    """Read the list at each of the given times of the clock."""

    async def answer(request):
        context.targets.append(request.target)
        groups = context.groups
        if "data_centre=" in request.target:
            wanted = request.target.rpartition("=")[2]
            groups = [one for one in groups if one["labels"]["data_centre"] == wanted]
        return Response(200, [], json.dumps(groups).encode())

    server = await start_server(answer, "127.0.0.1", 0)
    client = Client()
    for now_ms in times:
        context.clock_ms[0] = now_ms
        await read_list(context.members, client, server.address, context.read_state)
    close_client(client)
    server.listener.close()


@when("all known endpoints drain")
def drain_all(context):
    for name in list(context.members.endpoints):
        context.members.table.mark_draining(name)


@then("it read the full list {full:d} times and its data centre's list {local:d} times")
def check_reads(context, full, local):
    n_local = sum("data_centre=" in target for target in context.targets)
    found = (len(context.targets) - n_local, n_local)
    assert found == (full, local), found


@then("it knows {n:d} endpoints")
def check_known(context, n):
    assert len(context.members.endpoints) == n, len(context.members.endpoints)


@given("a data centre of {n:d} agents")
def make_data_centre(context, n):
    context.members = Members(Clock(lambda: 0))
    listed = [
        Listed(f"a{number}", f"s{number % 11}", LOCAL_DATA_CENTRE)
        for number in range(n)
    ]
    context.members.table.update_from_list(listed, 0, LOCAL_DATA_CENTRE)
    context.n_processes = n


@then("its processes together read the list at most {rate:d} times a second")
def reads_shared(context, rate):
    interval_ms = read_interval_ms(context.members, LOCAL_DATA_CENTRE)
    assert rate == READS_PER_S
    assert context.n_processes * 1_000 / interval_ms <= rate + 1e-9, interval_ms


endpoint_names = st.sampled_from(["a", "b", "c", "d", "e"])
listed_endpoints = st.builds(
    Listed,
    endpoint_names,
    st.sampled_from(["s0", "s1"]),
    st.sampled_from(["dc0", "dc1"]),
    st.booleans(),
)
changes = st.one_of(
    st.tuples(
        st.just("list"),
        st.lists(listed_endpoints, unique_by=lambda one: one.name),
        st.sampled_from(["", "dc0", "dc1"]),
    ),
    st.tuples(st.sampled_from(["drain", "open", "fail", "lost"]), endpoint_names),
    st.tuples(st.just("hello"), endpoint_names, st.sampled_from(["x", "y"])),
    st.tuples(st.just("wait"), st.integers(0, 40_000)),
)


@then(
    "the member table returns the same endpoints as a full scan after any {n:d} changes"
)
def check_against_scan(context, n):
    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @given_values(st.lists(changes, max_size=n))
    def check(sequence):
        table, now_ms = MemberTable(), 0
        for change in sequence:
            now_ms = apply_change(table, change, now_ms)
            compare(table, now_ms)

    check()


def apply_change(table, change, now_ms):
    """Apply one change and return the time after it."""
    kind = change[0]
    if kind == "list":
        wanted = [one for one in change[1] if change[2] in ("", one.data_centre)]
        table.update_from_list(wanted, now_ms, change[2])
    elif kind == "drain":
        table.mark_draining(change[1])
    elif kind == "open":
        table.mark_open(change[1])
    elif kind == "fail":
        table.record_failure(change[1], now_ms, lambda: 0.5)
    elif kind == "lost":
        table.record_disconnect(change[1], now_ms, lambda: 0.5)
    elif kind == "hello":
        table.record_hello(change[1], change[2], now_ms)
    else:
        now_ms += change[1]
        table.prune(now_ms)
    return now_ms


def compare(table, now_ms):
    """Compare the usable endpoints of each data centre with a scan of all members."""
    for service in ("s0", "s1"):
        for data_centre in (None, "dc0", "dc1"):
            found = {one.name for one in table.usable(service, now_ms, data_centre)}
            assert found == scan_members(table, service, data_centre, now_ms)


def scan_members(table, service, data_centre, now_ms):
    """Return the usable endpoints of a data centre by checking every member."""
    return {
        member.name
        for member in table.members.values()
        if member.service == service
        and data_centre in (None, member.data_centre)
        and not member.leaving
        and not member.draining
        and not 0 < member.backoff_until_ms - now_ms <= BACKOFF_MAX_MS
    }
