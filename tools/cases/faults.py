"""Faults under load, one after another: checks that no request runs twice or is lost.

Callers continuously send chats, orders with an idempotency key, and lookups; an order
that got no answer is sent again with the same key through another router. Meanwhile
processes are killed and paused, connections stop forwarding, the store is unavailable
or loses replies, and one request crashes each engine that runs it. Metrics:

- ``executions_above_one``: executions of a key after its first, over all keys.
- ``false_not_run``: orders whose answers all said "not run", although they ran.
- ``wrong_answers``: complete answers with the wrong content.
- ``no_final_word``: callers whose connection ended without an answer or an outcome, at
  a router that was not killed.
- ``unknown_share``: share of the requests that ended with the outcome "unknown".
- ``lost_in_outage``: orders sent while the store was unavailable that were never
  answered completely.
- ``engines_crashed``: engines that have ended.
- ``recover_max_s``: the longest time from the start of a fault to the sending of the
  last request in its phase that got no complete answer.
"""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from fault_callers import (
    CHATS_PER_S,
    LOOKUPS_PER_S,
    ORDERS_PER_S,
    Bench,
    Order,
    SentRequest,
    send_at_random,
    send_chat,
    send_lookup,
    send_order,
    wait_for_callers,
)
from fleets import Fleet, publish_list, read_json, run_fleet
from injections import FAULT_FREE_S, PLACE, POISON, drive_faults, find_endpoints
from plans import CARUSO_RULES, FleetPlan, ServicePlan
from plots import make_table
from results import CaseResult, Target

from pulley_standins.relays import Relay, open_relay, relay_address

N_ENGINES = 5
N_SERVICES = 4
N_ROUTERS = 3
OUTAGE_DURATION_S = 5.0
LONG_OUTAGE_DURATION_S = 30.0
COLUMN_HEADINGS = (
    "fault",
    "requests",
    "complete",
    "not run",
    "unknown",
    "cut off",
    "resent",
    "recovered, s",
    "reasons",
)


async def run(seed: int, long: bool) -> CaseResult:
    """Inject each fault in turn into one fleet under load."""
    async with run_fleet(make_plan()) as fleet:
        async with relay_services(fleet) as relays:
            bench = Bench(fleet, Random(seed), relays)
            senders = [
                asyncio.create_task(send_at_random(bench, rate_per_s, send))
                for rate_per_s, send in (
                    (ORDERS_PER_S, send_order),
                    (CHATS_PER_S, send_chat),
                    (LOOKUPS_PER_S, send_lookup),
                )
            ]
            await drive_faults(
                bench, LONG_OUTAGE_DURATION_S if long else OUTAGE_DURATION_S
            )
            for sender in senders:
                sender.cancel()
            await wait_for_callers(bench)
            executions = await read_executions(fleet)
            n_crashed = count_crashed(fleet)
    return report(bench, executions, n_crashed)


def make_plan() -> FleetPlan:
    """Build a plan of plain services and of engines that a certain prompt crashes."""
    engine_flags = {"slots": 16, "decode_ms": 5, "report_lag_ms": 0, "poison": POISON}
    services = (
        ServicePlan("consiglio", "model", N_ENGINES, engine_flags),
        ServicePlan("bottega", "plain", N_SERVICES, {}, {"capacity": 16}),
    )
    return FleetPlan("faults", (PLACE,), (PLACE,) * N_ROUTERS, services, CARUSO_RULES)


@asynccontextmanager
async def relay_services(fleet: Fleet) -> AsyncIterator[list[Relay]]:
    """Put a relay in front of each agent of the plain services; yield the relays."""
    relays = []
    for endpoint in find_endpoints(fleet, "bottega"):
        relay = await open_relay(endpoint.agent.address)
        endpoint.agent.addresses["address"] = relay_address(relay)
        relays.append(relay)
    publish_list(fleet)
    await asyncio.sleep(FAULT_FREE_S * 2)
    try:
        yield relays
    finally:
        for relay in relays:
            relay.listener.close()


async def read_executions(fleet: Fleet) -> Counter:
    """Return how often each key ran, summed over all plain services."""
    executions = Counter()
    for endpoint in find_endpoints(fleet, "bottega"):
        executions.update(
            await read_json(fleet, endpoint.engine.address, "/executions")
        )
    return executions


def is_false_not_run(order: Order, executions: Counter) -> bool:
    """Check whether all outcomes of an order were "not run", although it ran."""
    outcomes = {each.outcome for each in order.answers}
    return outcomes == {"not-run"} and executions[order.key] > 0


def is_cut_off(bench: Bench, sent: SentRequest) -> bool:
    """Check whether a caller got neither an answer nor an outcome from a live router.

    An error event in a partial answer counts as an outcome.
    """
    answer = sent.answer
    partial = answer.status == 200 and b"event: error" in answer.body
    has_final_result = answer.complete or answer.outcome or partial
    return not has_final_result and sent.router not in bench.killed


def count_crashed(fleet: Fleet) -> int:
    """Return the number of engines whose process has ended."""
    engines = [each.engine for each in find_endpoints(fleet, "consiglio")]
    return sum(engine.handle.returncode is not None for engine in engines)


def report(bench: Bench, executions: Counter, n_crashed: int) -> CaseResult:
    """Build the result: metrics and a table with one row for each fault."""
    rows = [make_row(bench, name) for name in bench.phase_start_s]
    outage_orders = [
        order for order in bench.orders if order.phase == "store unavailable"
    ]
    n_unknown = sum(each.answer.outcome == "unknown" for each in bench.sent)
    metrics = {
        "requests": len(bench.sent),
        "executions_above_one": sum(n - 1 for n in executions.values() if n > 1),
        "false_not_run": sum(is_false_not_run(o, executions) for o in bench.orders),
        "wrong_answers": sum(not each.is_correct for each in bench.sent),
        "no_final_word": sum(is_cut_off(bench, each) for each in bench.sent),
        "unknown_share": n_unknown / max(1, len(bench.sent)),
        "sent_in_outage": len(outage_orders),
        "lost_in_outage": sum(not is_done(order) for order in outage_orders),
        "orders_not_done": sum(not is_done(order) for order in bench.orders),
        "engines_crashed": n_crashed,
        "recover_max_s": max(row[-2] for row in rows),
    }
    targets = {
        "executions_above_one": Target("==", 0),
        "false_not_run": Target("==", 0),
        "wrong_answers": Target("==", 0),
        "no_final_word": Target("==", 0),
        "engines_crashed": Target("<=", 2),
        "unknown_share": Target("<=", 0.01),
    }
    return CaseResult(metrics, targets, make_table(COLUMN_HEADINGS, rows))


def is_done(order: Order) -> bool:
    """Check whether an order's caller got a complete answer to one of its requests."""
    return any(answer.complete for answer in order.answers)


def make_row(bench: Bench, phase: str) -> tuple:
    """Return the table row of one fault."""
    sent = [each for each in bench.sent if each.phase == phase]
    outcomes = Counter(each.answer.outcome for each in sent)
    failure_times_s = [each.sent_s for each in sent if not each.answer.complete]
    reasons = Counter(each.answer.reason for each in sent if each.answer.reason)
    n_orders = sum(order.phase == phase for order in bench.orders)
    n_order_requests = sum(each.kind == "order" for each in sent)
    return (
        phase,
        len(sent),
        sum(each.answer.complete for each in sent),
        outcomes["not-run"],
        outcomes["unknown"],
        sum(is_cut_off(bench, each) for each in sent),
        max(0, n_order_requests - n_orders),
        max(failure_times_s, default=bench.phase_start_s[phase])
        - bench.phase_start_s[phase],
        ", ".join(f"{name} {n}" for name, n in sorted(reasons.items())),
    )
