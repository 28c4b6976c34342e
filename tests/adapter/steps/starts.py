"""Steps that signal the program while it starts."""

import asyncio
import json
import signal
import tempfile
import time
from pathlib import Path

from behave import then, when
from programs import EXIT_TIMEOUT_S, SETTINGS, start_program
from pulley_platform_standins.processes import reserve_address, wait_ready
from pulley_platform_standins.stores import put_item, start_store
from samples import CONFIGURATION

from pulley_http import Client, close_client

# Longer than the program needs for its next statement, and much shorter than it
# needs for its imports.
SIGTERM_DELAY_S = 0.005


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
        ready = reserve_address()
        path.write_text(
            SETTINGS.format(
                low=1, high=2, front=reserve_address(), ready=ready, store=store.address
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
                front=reserve_address(),
                ready=reserve_address(),
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
