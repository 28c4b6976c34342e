"""Steps that send orders to a fleet of real processes."""

import asyncio
import json
import re
import signal
import sys
from collections import Counter
from pathlib import Path

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).resolve().parents[3] / "tools"))

from callers import Answer, look_up, note_head  # noqa: E402
from fleets import (  # noqa: E402
    Endpoint,
    Fleet,
    publish_list,
    read_json,
    run_fleet,
    set_rules,
    start_agent,
)
from plans import CARUSO_RULES, FleetPlan, ServicePlan  # noqa: E402
from processes import end_process  # noqa: E402

from pulley_fleet.windows import (  # noqa: E402
    TIMER_KEY,
    Window,
    advance_window,
    read_window,
)
from pulley_http import fetch, find_header  # noqa: E402
from pulley_platform import Store  # noqa: E402
from pulley_standins.stores import set_faults  # noqa: E402

DATA_CENTRE = "caltagirone"
TEAM = "ferramenta"
TARGET = "/bottega/handles"
FENCED_SERVICE = "kind=plain fencing=yes"
FENCING_NUMBER = re.compile(r"event=fencing_taken number=(\d+)")
DELAY_MS = 600
STEP_TIMEOUT_S = 60
SETTLE_S = 2.5
POLL_S = 0.05
N_POLLS = 200


@given("a running fleet with claim windows of {window_s:d} s")
def start_with_windows(context, window_s):
    flags = {"claim_window_s": window_s, "capacity": 16}
    service = ServicePlan("bottega", "plain", 2, {"delay_ms": DELAY_MS}, flags)
    start_fleet(context, service, CARUSO_RULES)


@given("a running fleet whose one endpoint checks fencing numbers")
def start_with_fencing(context):
    service = ServicePlan("bottega", "plain", 1, {"fencing": True}, {"capacity": 16})
    start_fleet(context, service, CARUSO_RULES.replace("kind=plain", FENCED_SERVICE))


def start_fleet(context, service, rules):
    context.service = service
    data_centres = (DATA_CENTRE,) * 2
    context.plan = FleetPlan("orders", (DATA_CENTRE,), data_centres, (service,), rules)
    context.loop = asyncio.new_event_loop()
    context.manager = run_fleet(context.plan)
    context.fleet = run(context, context.manager.__aenter__())
    context.add_cleanup(end_fleet, context)
    run(context, asyncio.sleep(SETTLE_S))
    context.answers = []
    context.body = {"order": 1}


def run(context, work):
    return context.loop.run_until_complete(asyncio.wait_for(work, STEP_TIMEOUT_S))


def end_fleet(context):
    run(context, context.manager.__aexit__(None, None, None))
    context.loop.close()


@given("orders have a deadline of {seconds:d} s")
def set_deadline(context, seconds):
    old, new = "deadline=10s", f"deadline={seconds}s"
    set_rules(context.fleet, CARUSO_RULES.replace(old, new))
    run(context, asyncio.sleep(SETTLE_S))


async def post(context, router, key="key-1", window=b"", body=None) -> Answer:
    headers = [(b"pulley-team", TEAM.encode())]
    if key:
        headers.append((b"idempotency-key", key.encode()))
    if window:
        headers.append((b"pulley-window", window))
    document = json.dumps(body or context.body).encode()
    response = await fetch(
        context.fleet.client,
        context.fleet.routers[router].address,
        "POST",
        TARGET,
        headers=headers,
        body=document,
        timeout_ms=30_000,
    )
    answer = Answer()
    note_head(answer, response)
    answer.body = response.body
    answer.complete = response.status == 201
    context.window = find_header(response.headers, b"pulley-window") or b""
    context.answers.append(answer)
    return answer


@when("an order is sent")
def send(context):
    run(context, post(context, 0))


@when("it is sent again through the other router")
def send_again(context):
    run(context, post(context, 1))


@when("an order is sent through both routers at once")
def send_both(context):
    async def both():
        await asyncio.gather(post(context, 0), post(context, 1))

    run(context, both())


@when("its key is sent with another body")
def send_other_body(context):
    run(context, post(context, 1, body={"order": 2}))


@when("two windows pass")
def pass_windows(context):
    context.first_window = context.window

    async def advance_and_wait():
        window = await advance_windows(context.fleet)
        await wait_for_window(context.fleet, window.number)

    run(context, advance_and_wait())


async def advance_windows(fleet: Fleet) -> Window:
    """Advance the claim window three times, as an expired lease does."""
    window = Window(Store(fleet.client, (fleet.store_address,)))
    await read_window(window)
    for _advance in range(3):
        fleet.store.state.entries.pop(TIMER_KEY.encode(), None)
        await advance_window(window, absent=False, ttl_s=3_600)
    return window


async def wait_for_window(fleet: Fleet, number: int) -> None:
    """Wait until every agent has read a window."""
    for endpoint in fleet.endpoints:
        address = endpoint.agent.addresses["admin"]
        for _poll in range(N_POLLS):
            if (await read_json(fleet, address, "/status"))["claim_window"] == number:
                break
            await asyncio.sleep(POLL_S)
        else:
            raise AssertionError("an agent has not read the new window")


@when("it is sent again with the window of its first answer")
def send_with_window(context):
    run(context, post(context, 1, window=context.first_window))


@when("the store becomes unavailable")
def stop_store(context):
    run(context, set_faults(context.fleet.store, {"outage": "refuse"}))


@when("the store becomes unavailable for {seconds:d} s")
def stop_store_for(context, seconds):
    async def restore_store():
        await asyncio.sleep(seconds)
        await set_faults(context.fleet.store, {"outage": ""})

    run(context, set_faults(context.fleet.store, {"outage": "refuse"}))
    context.restoring = context.loop.create_task(restore_store())


async def count_executions(fleet: Fleet) -> Counter:
    total = Counter()
    for endpoint in fleet.endpoints:
        total.update(await read_json(fleet, endpoint.engine.address, "/executions"))
    return total


async def find_running_endpoint(fleet: Fleet) -> Endpoint:
    """Return the endpoint that has started to run an order."""
    for _poll in range(N_POLLS):
        for endpoint in fleet.endpoints:
            if await read_json(fleet, endpoint.engine.address, "/executions"):
                return endpoint
        await asyncio.sleep(POLL_S)
    raise AssertionError("no order has started to run")


@when("an order is sent and its agent is killed while it runs")
def kill_while_running(context):
    async def work():
        sending = asyncio.create_task(post(context, 0))
        endpoint = await find_running_endpoint(context.fleet)
        endpoint.agent.handle.kill()
        await sending

    run(context, work())


@when("an order without a key is sent while its agent is stopped")
def send_to_stopped(context):
    async def work():
        for endpoint in context.fleet.endpoints:
            endpoint.agent.handle.send_signal(signal.SIGSTOP)
        await post(context, 0, key="")
        for endpoint in context.fleet.endpoints:
            endpoint.agent.handle.send_signal(signal.SIGCONT)
        await asyncio.sleep(SETTLE_S)

    run(context, work())


@then("both answers are the same and complete")
def check_same_answers(context):
    assert all(answer.complete for answer in context.answers), context.answers
    assert len({answer.body for answer in context.answers}) == 1, context.answers


@then("the answer is {status:d} {outcome} {reason}")
def check_answer(context, status, outcome, reason):
    answer = context.answers[-1]
    found = (answer.status, answer.outcome, answer.reason)
    assert found == (status, outcome, reason), (found, answer.body)


@then("the order ran {n_times:d} time")
@then("the order ran {n_times:d} times")
def check_order_runs(context, n_times):
    found = run(context, count_executions(context.fleet))
    assert sum(found.values()) == n_times, found


@then("a lookup is answered")
def check_lookup(context):
    address = context.fleet.routers[0].address
    answer = run(context, look_up(context.fleet.client, address, TARGET + "/1", TEAM))
    assert answer.complete, (answer.status, answer.reason)


@then("no order ran, even after the agent has resumed")
def check_no_order_ran(context):
    assert not run(context, count_executions(context.fleet))


@when("the agent is replaced and an order is sent under a new key")
def replace_agent(context):
    async def work():
        fleet = context.fleet
        endpoint = fleet.endpoints[0]
        context.old_number = FENCING_NUMBER.search(endpoint.agent.log.read_text())[1]
        await end_process(endpoint.agent, signal.SIGKILL)
        endpoint.agent = await start_agent(
            fleet, context.service, DATA_CENTRE, "successor", endpoint.engine
        )
        publish_list(fleet)
        await asyncio.sleep(SETTLE_S)
        await post(context, 0, key="key-2")

    run(context, work())


@then("the order is complete and the endpoint refuses the old agent's number")
def check_fencing(context):
    answer = context.answers[-1]
    assert answer.complete, (answer.status, answer.reason, answer.body)
    headers = [(b"fencing-number", context.old_number.encode())]
    address = context.fleet.endpoints[0].engine.address
    client = context.fleet.client
    late = run(context, fetch(client, address, "POST", "/handles", headers=headers))
    assert late.status == 409, late.status


@when("two windows pass and {n:d} orders with different keys are sent without waiting")
def send_after_windows(context, n):
    async def advance_and_send():
        await advance_windows(context.fleet)
        for number in range(n):
            await post(context, number % 2, key=f"behind-{number}")

    run(context, advance_and_send())


@then("each order is answered {status:d} and ran 1 time")
def check_each_ran_once(context, status):
    found = [answer.status for answer in context.answers]
    assert found == [status] * len(found), found
    counts = run(context, count_executions(context.fleet))
    assert sorted(counts.values()) == [1] * len(found), counts
