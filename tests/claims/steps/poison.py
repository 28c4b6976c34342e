"""Steps with engines that one prompt crashes."""

import asyncio

from behave import given, then, when
from callers import Chat, ask, complete_chat
from fleets import read_json, run_fleet
from plans import CARUSO_RULES, FleetPlan, ServicePlan

DATA_CENTRE = "caltagirone"
TEAM = "sportello"
POISON = "poisonous"
TIMEOUT_S = 60
SETTLE_S = 2.5
REPORT_WAIT_S = 2.0
N_OTHERS = 12


@given("a fleet of {n_engines:d} engines that one prompt crashes")
def plan_engines(context, n_engines):
    flags = {"slots": 1, "decode_ms": 5, "report_lag_ms": 0, "poison": POISON}
    service = ServicePlan("consiglio", "model", n_engines, flags)
    data_centres = (DATA_CENTRE,) * 2
    context.plan = FleetPlan(
        "poison", (DATA_CENTRE,), data_centres, (service,), CARUSO_RULES
    )


def make_chat(number, text):
    chat = Chat(f"chat-{number}", TEAM)
    ask(chat, text)
    return chat


async def send(fleet, number, chat):
    address = fleet.routers[number % 2].address
    return await complete_chat(fleet.client, address, "/consiglio", chat)


@when("other requests wait while a caller sends a poisonous request {n:d} times")
def send_poison(context, n):
    async def work(fleet):
        others = [
            asyncio.create_task(send(fleet, i, make_chat(i, f"question {i}")))
            for i in range(N_OTHERS)
        ]
        poison = make_chat("poison", f"a {POISON} question")
        context.poison_answers = [
            await send(fleet, sending, poison) for sending in range(n)
        ]
        context.others = await asyncio.gather(*others)
        engines = [each.engine for each in fleet.endpoints]
        context.n_crashed = sum(e.handle.returncode is not None for e in engines)
        await asyncio.sleep(REPORT_WAIT_S)
        context.quarantined = [
            (await read_json(fleet, each.agent.addresses["admin"], "/status"))[
                "quarantined"
            ]
            for each in fleet.endpoints
        ]

    async def run():
        async with asyncio.timeout(TIMEOUT_S), run_fleet(context.plan) as fleet:
            await asyncio.sleep(SETTLE_S)
            await work(fleet)

    asyncio.run(run())


@then("at most {n:d} engines crashed")
def check_crashed(context, n):
    assert 1 <= context.n_crashed <= n, context.n_crashed


@then("the poisonous request is refused as not-run, quarantined")
def check_refused(context):
    answer = context.poison_answers[-1]
    assert (answer.outcome, answer.reason) == ("not-run", "quarantined"), answer


@then("every other request that had not started got its whole answer")
def check_others_complete(context):
    cut = [answer for answer in context.others if not answer.complete]
    assert len(cut) <= context.n_crashed, "an engine runs one request at a time"
    for answer in cut:
        assert answer.n_tokens > 0, (answer.status, answer.reason, answer.error)
        assert b"event: error" in answer.body, answer.body[-200:]


@then("the agents list one digest in quarantine")
def check_listed(context):
    assert all(len(digests) == 1 for digests in context.quarantined), (
        context.quarantined
    )
