"""Steps that decode the platform's documents and headers and run the program."""

import asyncio
import copy
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import then, when
from pulley_platform_standins.endpoints import list_endpoint, start_endpoint
from pulley_platform_standins.processes import free_address, wait_ready
from pulley_platform_standins.stores import (
    StoreFault,
    expire_leases,
    put_document,
    put_item,
    start_store,
)

from pulley_adapter.documents import decode_entry
from pulley_adapter.headers import read_call
from pulley_adapter.stores import connect_store
from pulley_base import ProtocolError, PulleyError
from pulley_direct.models import Endpoint, RetryClass, Team
from pulley_direct.store_calls import StoreCallRefused
from pulley_http import Client, Request, close_client, fetch

ROOT = Path(__file__).resolve().parents[3]
EXIT_TIMEOUT_S = 15
# Longer than the program needs for its next statement, and much shorter than it
# needs for its imports.
SIGTERM_DELAY_S = 0.005
N_ITEMS = 1_203

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "chat",
            "host": "One.example",
            "pathPrefix": "/chat/",
            "type": "stream",
            "timeoutMs": 15_000,
            "goalMs": 800,
            "priority": 1,
            "split": [
                {"service": "model", "weight": 90},
                {"service": "other", "weight": 10},
            ],
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gapGoalMs": 400,
        },
        {
            "name": "order",
            "host": "one.example",
            "pathPrefix": "/order/",
            "type": "unsafe",
            "timeoutMs": 1_000,
            "goalMs": 150,
            "service": "shop",
            "maxAttempts": 1,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "model",
            "healthPath": "/healthz",
            "maxConns": 720,
            "engine": {"slots": 64, "kvCapacity": 600_000},
        },
        {"name": "shop", "healthPath": "/healthz", "maxConns": 192},
    ],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    },
    "tenants": [{"name": "orto", "apiKeys": ["k1", "k2"], "priority": 1}],
}
ENDPOINT_ENTRY = {
    "service": "model",
    "address": "10.0.0.9:8080",
    "zone": "here",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
}


def remove_field(name):
    return lambda row: row.pop(name)


def set_field(name, value):
    return lambda row: row.update({name: value})


def in_first_route(change):
    return lambda row: change(row["routes"][0])


CONFIGURATION_FAULTS = {
    "no version": remove_field("version"),
    "a version that is a string": set_field("version", "7"),
    "routes that are not a list": set_field("routes", {"a": 1}),
    "a route without a host": in_first_route(remove_field("host")),
    "a route of an unknown type": in_first_route(set_field("type", "keyed")),
    "a weight that is a string": in_first_route(
        set_field("split", [{"service": "model", "weight": "all"}])
    ),
    "a timeout that is a list": in_first_route(set_field("timeoutMs", [1])),
}
ENTRY_FAULTS = {
    "no service": remove_field("service"),
    "no slots": remove_field("slots"),
    "slots that are a boolean": set_field("slots", True),
    "an unknown state": set_field("state", "resting"),
    "an address without a port": set_field("address", "10.0.0.9"),
    "a start time that is a string": set_field("born", "yesterday"),
}
SETTINGS = """
node = "router-1"
zone = "here"
ip = "127.0.0.1"
portRange = [{low}, {high}]
[listen]
front = "{front}"
readyAddr = "{ready}"
[platform]
address = "{store}"
[bounds]
graceS = 8
revokeMs = 5000
"""


@when("a valid configuration of the platform is decoded")
def decode_valid_configuration(context):
    context.found = decode_entry("op/config", json.dumps(CONFIGURATION).encode())


@then("its routes, shares, services, limits and teams match the document")
def check_configuration(context):
    found = context.found
    chat, order = found.routes
    assert (chat.host, chat.prefix, chat.retry_class) == (
        "one.example",
        "/chat/",
        RetryClass.STREAM,
    )
    assert [(share.service, share.weight) for share in chat.shares] == [
        ("model", 90),
        ("other", 10),
    ]
    assert chat.retryable and not order.retryable
    assert order.public and order.retry_class is RetryClass.NON_IDEMPOTENT
    assert found.services["model"].max_connections == 720
    assert found.limits.body_bytes == 4_194_304
    assert found.teams_by_token == {"k1": Team("orto", 1), "k2": Team("orto", 1)}


def decode_with_change(key, document, change):
    document = copy.deepcopy(document)
    change(document)
    try:
        return decode_entry(key, json.dumps(document).encode())
    except ProtocolError as error:
        return error


@when("a configuration with {fault} is decoded")
def decode_faulty_configuration(context, fault):
    context.found = decode_with_change(
        "op/config", CONFIGURATION, CONFIGURATION_FAULTS[fault]
    )


@when("an endpoint's entry with {fault} is decoded")
def decode_faulty_entry(context, fault):
    valid = decode_with_change("servers/e-1", ENDPOINT_ENTRY, lambda row: None)
    assert isinstance(valid, Endpoint), valid
    if fault == "bytes that are not JSON":
        try:
            context.found = decode_entry("servers/e-1", b"\xff\x00")
        except ProtocolError as error:
            context.found = error
        return
    context.found = decode_with_change(
        "servers/e-1", ENDPOINT_ENTRY, ENTRY_FAULTS[fault]
    )


@then('decoding fails with the step "{name}"')
def check_decode_error(context, name):
    assert isinstance(context.found, ProtocolError), context.found
    assert context.found.step == name, context.found


@when("a request with the header {header} of {value} is decoded")
def decode_header(context, header, value):
    request = Request("POST", "/a", [(header.encode(), value.encode())], b"")
    call = read_call(request)
    decoded = {
        "deadline-ms": str(call.timeout_ms),
        "last-event-id": str(call.last_event_id),
        "prompt-prefix": f"{len(call.parts)} parts",
        "authorization": str(call.token),
        "token-usage": f"{call.output_tokens} tokens",
    }
    context.decoded = decoded[header]


@then("the decoded value is {expected}")
def check_decoded_value(context, expected):
    assert context.decoded == expected, context.decoded


def start_program(path, *, python=sys.executable):
    environment = os.environ | {"PLANTAINPULLEY_BOOT": str(path)}
    return subprocess.Popen(
        [python, "-m", "pulley_adapter"],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@when("the program is started with settings that have {fault}")
def start_with_faulty_settings(context, fault):
    text = SETTINGS.format(
        low=7_000,
        high=7_015,
        front="127.0.0.1:8000",
        ready="127.0.0.1:8001",
        store="127.0.0.1:9",
    )
    changes = {
        "no store": ("[platform]", "[elsewhere]"),
        "an address without a port": ("127.0.0.1:8000", "127.0.0.1"),
        "ports in descending order": ("[7000, 7015]", "[7015, 7000]"),
        "a bound that is a string": ("revokeMs = 5000", 'revokeMs = "5000"'),
        "no file": ("", ""),
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "local.toml"
        if fault != "no file":
            path.write_text(text.replace(*changes[fault]))
        process = start_program(path)
        _out, context.message = process.communicate(timeout=EXIT_TIMEOUT_S)
        context.status = process.returncode


@then("the program exits with 2 and its message names {field}")
def check_settings_error(context, field):
    assert context.status == 2, context.message
    assert field in context.message, context.message


async def with_store(use_store):
    store = await start_store()
    client = Client()
    try:
        return await use_store(store, connect_store(store.address, client))
    finally:
        close_client(client)
        store.server.listener.close()
        for connection in list(store.server.connections):
            connection.abort()


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
        await calls.announce("router-1", "127.0.0.1:7000", granted.lease)
        before = list(store.items)
        await asyncio.sleep(0.15)
        expire_leases(store)
        return before, list(store.items), await calls.renew_lease(granted.lease)

    context.entries = asyncio.run(with_store(use_store))


@then("its entry is removed and the lease can't be renewed")
def check_entry_removed(context):
    before, after, renewed = context.entries
    assert len(before) == 1 and not after and not renewed, context.entries


@when("the program is built, started with a settings file and stopped by SIGTERM")
def build_and_run_program(context):
    subprocess.run(["sh", "deploy/build"], cwd=ROOT, check=True, capture_output=True)
    with tempfile.TemporaryDirectory() as folder:
        context.result = asyncio.run(run_program(Path(folder) / "local.toml"))


async def run_program(path):
    store = await start_store()
    shop = await start_endpoint("shop-0", "shop")
    list_endpoint(store, shop)
    put_item(store, "op/config", json.dumps(CONFIGURATION).encode())
    front, ready = free_address(), free_address()
    path.write_text(
        SETTINGS.format(
            low=7_000, high=7_015, front=front, ready=ready, store=store.address
        )
    )
    environment = {"PATH": os.environ["PATH"], "PLANTAINPULLEY_BOOT": str(path)}
    environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
    process = await asyncio.create_subprocess_exec(
        "python3",
        "-S",
        "-m",
        "pulley_adapter",
        env=environment,
        cwd=path.parent,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    client = Client()
    was_ready = await wait_ready(client, ready)
    headers = [(b"host", b"one.example"), (b"attempt-id", b"request-9")]
    answer = await fetch(client, front, "POST", "/order/x", headers=headers, body=b"{}")
    process.send_signal(signal.SIGTERM)
    out, err = await asyncio.wait_for(process.communicate(), EXIT_TIMEOUT_S)
    close_client(client)
    return was_ready, answer, process.returncode, out.decode(), err.decode()


@then("it was ready, answered a request and exited with 0")
def check_program_served(context):
    was_ready, answer, status, _out, err = context.result
    assert was_ready, err
    assert (answer.status, answer.body) == (200, b"done\n"), answer
    assert status == 0 and not err, (status, err)


@then("its log shows the request with its endpoint, version and route")
def check_request_logged(context):
    lines = context.result[3].splitlines()
    (line,) = [line for line in lines if "request=request-9" in line]
    for part in ("event=request_answered", "sent=shop-0", "version=7", "route=order"):
        assert part in line, line


@when("the settings file of a running router changes")
def change_settings_file(context):
    async def run_router(path):
        store = await start_store()
        text = SETTINGS.format(
            low=1,
            high=2,
            front=free_address(),
            ready=free_address(),
            store=store.address,
        )
        path.write_text(text)
        process = start_program(path)
        await asyncio.sleep(1.5)
        path.write_text(text.replace("revokeMs = 5000", "revokeMs = 4000"))
        await asyncio.sleep(2.0)
        process.kill()
        return process.communicate()[0]

    with tempfile.TemporaryDirectory() as folder:
        context.out = asyncio.run(run_router(Path(folder) / "local.toml"))


@then("the router's log reports the reload")
def check_reloaded(context):
    assert "event=reloaded" in context.out, context.out


def ignores_sighup(pid):
    """Check whether a process ignores SIGHUP, as a router does while it starts."""
    status = Path(f"/proc/{pid}/status").read_text()
    (caught,) = [row for row in status.splitlines() if row.startswith("SigCgt")]
    (ignored,) = [row for row in status.splitlines() if row.startswith("SigIgn")]
    sighup_bit = 1 << (signal.SIGHUP - 1)
    assert not int(caught.split()[1], 16) & sighup_bit, (
        "SIGHUP was caught before it was ignored"
    )
    return bool(int(ignored.split()[1], 16) & sighup_bit)


@when("a router receives SIGHUP while it starts")
def send_sighup_during_start(context):
    async def run_router(path):
        store = await start_store()
        put_item(store, "op/config", json.dumps(CONFIGURATION).encode())
        ready = free_address()
        path.write_text(
            SETTINGS.format(
                low=1, high=2, front=free_address(), ready=ready, store=store.address
            )
        )
        process = start_program(path)
        while not ignores_sighup(process.pid):
            await asyncio.sleep(0.001)
        process.send_signal(signal.SIGHUP)
        client = Client()
        was_ready = await wait_ready(client, ready)
        close_client(client)
        process.kill()
        process.communicate()
        return was_ready

    with tempfile.TemporaryDirectory() as folder:
        context.ready = asyncio.run(run_router(Path(folder) / "local.toml"))


@then("it still becomes ready")
def check_becomes_ready(context):
    assert context.ready


@when("a router receives SIGTERM while it starts")
def send_sigterm_during_start(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "local.toml"
        path.write_text(
            SETTINGS.format(
                low=1,
                high=2,
                front=free_address(),
                ready=free_address(),
                store="127.0.0.1:9",
            )
        )
        process = start_program(path)
        while not ignores_sighup(process.pid):
            time.sleep(0.001)
        time.sleep(SIGTERM_DELAY_S)
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=EXIT_TIMEOUT_S)
        context.status = process.returncode


@then("its exit status is {status:d}")
def check_exit_status(context, status):
    assert context.status == status, context.status
