"""Steps that run the program with a settings file until it exits."""

import asyncio
import json
import os
import signal
import subprocess
import tempfile
from pathlib import Path

from behave import then, when
from programs import EXIT_TIMEOUT_S, SETTINGS, start_program
from pulley_platform_standins.endpoints import list_endpoint, start_endpoint
from pulley_platform_standins.processes import reserve_address, wait_ready
from pulley_platform_standins.stores import put_item, start_store
from samples import CONFIGURATION

from pulley_http import Client, close_client, fetch

ROOT = Path(__file__).resolve().parents[3]


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
        "a window without end": ("revokeMs = 5000", "budgetWindowS = inf"),
        "a window of no time": ("revokeMs = 5000", "budgetWindowS = 0"),
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
    front, ready = reserve_address(), reserve_address()
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


@then("the log tells which load the router believed and which the endpoint reported")
def check_load_logged(context):
    lines = context.result[3].splitlines()
    (line,) = [line for line in lines if "request=request-9" in line]
    for part in ("load=0.0", "mean=0.0", "reported="):
        assert f" {part}" in line, line


@when("the settings file of a running router changes")
def change_settings_file(context):
    async def run_router(path):
        store = await start_store()
        text = SETTINGS.format(
            low=1,
            high=2,
            front=reserve_address(),
            ready=reserve_address(),
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
