"""Steps that stop real processes while requests are in flight."""

import asyncio
import re
import signal
from random import Random

from behave import given, then, when
from callers import ask, complete_chat, make_chats, make_text, post_once
from fleets import read_json, run_fleet
from plans import CARUSO_RULES, FleetPlan, ServicePlan

DATA_CENTRE = "caltagirone"
TEAM = "ferramenta"
SEED = 3
N_REQUESTS_EACH = 8
TIMEOUT_S = 60
START_DELAY_S = 0.5
SIGNAL_DELAY_S = 0.3


def make_plan(**flags) -> FleetPlan:
    engine_flags = {"slots": 64, "decode_ms": 40, "report_lag_ms": 0}
    service_flags = {"delay_ms": 1_500}
    services = (
        ServicePlan("consiglio", "model", 2, engine_flags, flags),
        ServicePlan("bottega", "plain", 2, service_flags, {"capacity": 64} | flags),
    )
    return FleetPlan(
        "stop", (DATA_CENTRE,), (DATA_CENTRE,) * 2, services, CARUSO_RULES, flags
    )


@given("a fleet whose orders and answers take a second")
def plan_fleet(context):
    context.plan = make_plan()


@given("a fleet with a drain timeout of {drain_ms:d} ms")
def plan_short_drain(context, drain_ms):
    context.plan = make_plan(drain_ms=drain_ms)


def run_on_fleet(context, work):
    async def run():
        async with asyncio.timeout(TIMEOUT_S), run_fleet(context.plan) as fleet:
            await asyncio.sleep(START_DELAY_S * 4)
            await work(fleet)

    asyncio.run(run())


def send_all(fleet, prefix):
    """Start orders and streams on both routers; return their tasks."""
    random = Random(SEED)
    work = []
    for number, chat in enumerate(make_chats(random, N_REQUESTS_EACH, [TEAM])):
        address = fleet.routers[number % 2].address
        ask(chat, make_text(random, 10))
        work.append(complete_chat(fleet.client, address, "/consiglio", chat))
        key = f"{prefix}-{number}"
        document = {"order": key}
        target = "/bottega/handles"
        work.append(post_once(fleet.client, address, target, TEAM, key, document))
    return [asyncio.create_task(one) for one in work]


def find_processes(fleet, names):
    found = {
        "one agent": fleet.endpoints[-1].agent,
        "one router": fleet.routers[0],
    }
    return [found[name.strip()] for name in names.split(",")]


async def stop(context, processes, n_signals=1):
    for process in processes:
        process.handle.send_signal(signal.SIGTERM)
    if n_signals > 1:
        await asyncio.sleep(SIGNAL_DELAY_S)
        for process in processes:
            process.handle.send_signal(signal.SIGTERM)
    context.codes = [await process.handle.wait() for process in processes]
    logs = [process.log.read_text() for process in processes]
    found = [re.search(r"event=stopped n_cut=(\d+)", log) for log in logs]
    context.n_cut = [int(one[1]) if one else None for one in found]


@when("orders and streams are in flight and {names} get a stop signal")
def stop_in_flight(context, names):
    async def work(fleet):
        tasks = send_all(fleet, "first")
        await asyncio.sleep(START_DELAY_S)
        await stop(context, find_processes(fleet, names))
        context.answers = await asyncio.gather(*tasks)

    run_on_fleet(context, work)


@when("orders and streams are in flight and one agent gets two stop signals")
def stop_twice(context):
    async def work(fleet):
        tasks = send_all(fleet, "first")
        await asyncio.sleep(START_DELAY_S)
        await stop(context, find_processes(fleet, "one agent"), 2)
        context.answers = await asyncio.gather(*tasks)

    run_on_fleet(context, work)


@when("an agent drains while callers send more requests")
def drain_under_load(context):
    async def work(fleet):
        leaving = fleet.endpoints[-1]
        tasks = send_all(fleet, "first")
        await asyncio.sleep(START_DELAY_S)
        stopping = asyncio.create_task(stop(context, [leaving.agent]))
        await asyncio.sleep(SIGNAL_DELAY_S)
        tasks += send_all(fleet, "second")
        context.answers = await asyncio.gather(*tasks)
        await stopping
        ran = await read_json(fleet, leaving.engine.address, "/executions")
        context.new_keys = [key for key in ran if key.startswith("second")]

    run_on_fleet(context, work)


@then("every order and stream is complete")
def all_complete(context):
    assert len(context.answers) >= 2 * N_REQUESTS_EACH
    for answer in context.answers:
        assert answer.complete, (answer.status, answer.reason, answer.error)


@then("the stopped processes exit with 0 and cut no request")
def exit_clean(context):
    assert all(code == 0 for code in context.codes), context.codes
    assert all(n_cut == 0 for n_cut in context.n_cut), context.n_cut


@then("the draining agent's endpoint executed no new request")
def nothing_new(context):
    assert context.new_keys == [], context.new_keys


@then("the stopped processes exit with 0 and log how many requests they cut")
def exit_after_cut(context):
    assert all(code == 0 for code in context.codes), context.codes
    assert all(n_cut > 0 for n_cut in context.n_cut), context.n_cut
