"""Steps that run one short soak and check its result."""

import asyncio
import socket
import sys
import tempfile
from pathlib import Path

from behave import then, when
from pulley_platform_standins.processes import LOOPBACK_IP
from pulley_platform_standins.stores import (
    StandInStore,
    copy_store,
    put_item,
    remove_item,
    restore_store,
    write_again,
)

sys.path.insert(0, str(Path(__file__).parents[1]))

from soak import (  # noqa: E402
    Fleet,
    Slot,
    reserve_address,
    run_seed,
    start_process,
    wait_all_ready,
    write_settings,
)


@when("routers run for {seconds:d} s under the faults of seed {seed:d}")
def run_soak(context, seconds, seed):
    with tempfile.TemporaryDirectory() as folder:
        context.fleet = asyncio.run(run_seed(seed, seconds, Path(folder)))


@then("no guarantee was violated")
def check_guarantees(context):
    assert not context.fleet.violations, context.fleet.violations[:5]


@then("requests were answered during and after the faults")
def check_answered(context):
    served = [sent for sent in context.fleet.sent if sent.answer.status == 200]
    assert any(sent.after_faults for sent in served)
    assert any(not sent.after_faults for sent in served)


@when("a router's address is taken before it starts")
def start_on_taken_address(context):
    async def start(folder, front_address):
        fleet = Fleet(None, folder)
        path = folder / "router-0.toml"
        slot = Slot("router-0", front_address, reserve_address(), LOOPBACK_IP, path)
        write_settings(slot, store_address="127.0.0.1:9")
        fleet.slots.append(slot)
        await start_process(slot)
        await slot.process.wait()
        await wait_all_ready(fleet, limit_ms=100)
        return fleet

    with (
        tempfile.TemporaryDirectory() as folder,
        socket.create_server(("127.0.0.1", 0)) as listener,
    ):
        ip, port = listener.getsockname()
        context.fleet = asyncio.run(start(Path(folder), f"{ip}:{port}"))


@then('a violation says "{text}"')
def check_violation(context, text):
    assert any(text in one for one in context.fleet.violations), (
        context.fleet.violations
    )


@when("a store is restored from a copy and, before anybody writes, from another one")
def restore_twice(context):
    store = context.store = StandInStore()
    put_item(store, "op/config", b"version 1")
    put_item(store, "servers/shop-0", b"ready")
    first = copy_store(store)
    put_item(store, "op/config", b"version 2")
    remove_item(store, "servers/shop-0")
    restore_store(store, first)
    second = copy_store(store)
    put_item(store, "pulley/routers/router-0", b"10.0.0.9:80")
    restore_store(store, second)
    write_again(store)
    write_again(store)


@then(
    "the operator's last configuration is there, and an endpoint that had left is not"
)
def check_written_again(context):
    values = {key: item.value for key, item in context.store.items.items()}
    assert values == {"op/config": b"version 2"}, values
