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
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

from callers import Answer, Chat, ask, complete_chat, look_up, make_text, post_once
from fleets import Endpoint, Fleet, publish_list, read_json, run_fleet, start_agent
from plans import CARUSO_RULES, FleetPlan, ServicePlan
from plots import make_table
from processes import Process, end_process
from progress import show_progress
from results import CaseResult, Target

from pulley_standins.relays import Relay, open_relay, relay_address, silence_connections
from pulley_standins.stores import set_faults
from pulley_standins.texts import (
    answer_seed,
    answer_tokens,
    natural_length_tokens,
    render_prompt,
)

PLACE = "caltagirone"
TEAM = "ferramenta"
POISON = "poisonous"
N_ENGINES = 5
N_SERVICES = 4
N_ROUTERS = 3
ORDERS_PER_S = 20
CHATS_PER_S = 8
LOOKUPS_PER_S = 10
N_LOOKUPS = 1_000
FAULT_FREE_S = 1.0
PAUSE_DURATION_S = 3.5
OUTAGE_DURATION_S = 5.0
LONG_OUTAGE_DURATION_S = 30.0
N_LOST_REPLIES = 20
N_POISON_SENDS = 4
MAX_SENDS = 4
RESEND_DELAY_S = 0.5
MAX_CALLER_WAIT_S = 6.0
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


@dataclass(slots=True)
class SentRequest:
    """One request of a caller, when and in which phase it was sent, and its answer.

    ``is_correct`` is False for a complete answer with the wrong content.
    """

    phase: str
    kind: str
    sent_s: float
    router: Process
    answer: Answer
    is_correct: bool = True


@dataclass(slots=True)
class Order:
    """One order: its idempotency key and the answers to all its requests."""

    key: str
    phase: str
    answers: list[Answer] = field(default_factory=list)


@dataclass(slots=True)
class Bench:
    """The fleet, its relays and callers, and all requests with their answers."""

    fleet: Fleet
    random: Random
    relays: list[Relay]
    phase: str = "calm"
    phase_start_s: dict[str, float] = field(default_factory=dict)
    sent: list[SentRequest] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    killed: set[Process] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)


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


def find_endpoints(fleet: Fleet, service: str) -> list[Endpoint]:
    """Return the endpoints of one service."""
    return [each for each in fleet.endpoints if each.service == service]


async def send_at_random(
    bench: Bench, rate_per_s: float, send: Callable[[Bench], Awaitable[None]]
) -> None:
    """Start callers at random intervals, at a mean rate, until cancelled."""
    while True:
        await asyncio.sleep(bench.random.expovariate(rate_per_s))
        task = asyncio.create_task(send(bench))
        bench.tasks.add(task)
        task.add_done_callback(bench.tasks.discard)


def pick_router(bench: Bench, excluded: Process | None = None) -> Process:
    """Return a random router of the balancer, other than ``excluded``."""
    return bench.random.choice(
        [each for each in bench.fleet.routers if each is not excluded]
    )


async def send_order(bench: Bench) -> None:
    """Send an order up to 4 times, with the same key, until it is answered."""
    key = f"order-{bench.random.getrandbits(64):016x}"
    order = Order(key, bench.phase)
    bench.orders.append(order)
    router = None
    for _attempt in range(MAX_SENDS):
        router = pick_router(bench, router)
        sent = record_request(bench, "order", router)
        sent.answer = await post_once(
            bench.fleet.client,
            router.address,
            "/bottega/handles",
            TEAM,
            key,
            {"order": key},
        )
        order.answers.append(sent.answer)
        if sent.answer.complete:
            sent.is_correct = f'"key":"{key}"'.encode() in sent.answer.body
            return
        await asyncio.sleep(RESEND_DELAY_S)


async def send_chat(bench: Bench) -> None:
    """Send the first turn of a new chat and check the answer."""
    chat = Chat(f"chat-{bench.random.getrandbits(64):016x}", TEAM)
    ask(chat, make_text(bench.random, 20))
    seed = answer_seed(render_prompt(chat.messages))
    router = pick_router(bench)
    sent = record_request(bench, "chat", router)
    sent.answer = await complete_chat(
        bench.fleet.client, router.address, "/consiglio", chat
    )
    tokens = answer_tokens(seed)
    expected = "".join(next(tokens) for _number in range(natural_length_tokens(seed)))
    sent.is_correct = not sent.answer.complete or sent.answer.text == expected


async def send_lookup(bench: Bench) -> None:
    """Send a request that changes nothing."""
    router = pick_router(bench)
    target = f"/bottega/handles/{bench.random.randrange(N_LOOKUPS)}"
    sent = record_request(bench, "lookup", router)
    sent.answer = await look_up(bench.fleet.client, router.address, target, TEAM)


def record_request(bench: Bench, kind: str, router: Process) -> SentRequest:
    """Record a request as sent now and return its record."""
    sent = SentRequest(bench.phase, kind, time.monotonic(), router, Answer())
    bench.sent.append(sent)
    return sent


async def drive_faults(bench: Bench, outage_s: float) -> None:
    """Inject one fault after another, each followed by a time without faults."""
    faults = {
        "calm": run_without_fault,
        "agent killed": kill_agent,
        "agent paused": pause_agent,
        "agent paused, store unavailable": pause_agent_in_outage,
        "router paused": pause_router,
        "router killed": kill_router,
        "silent connections": silence_service_connections,
        "lost replies": lose_replies,
        "poisonous request": send_poisonous_chat,
    }
    for name, inject in faults.items():
        start_phase(bench, name)
        await inject(bench)
        await asyncio.sleep(FAULT_FREE_S)
    start_phase(bench, "store unavailable")
    await set_faults(bench.fleet.store, {"outage": "refuse"})
    await asyncio.sleep(outage_s)
    await set_faults(bench.fleet.store, {"outage": ""})
    await asyncio.sleep(FAULT_FREE_S)


def start_phase(bench: Bench, name: str) -> None:
    """Start a phase: requests sent from now on count to the fault ``name``."""
    show_progress(name)
    bench.phase = name
    bench.phase_start_s[name] = time.monotonic()


async def run_without_fault(bench: Bench) -> None:
    """Wait without injecting a fault, as a baseline."""
    await asyncio.sleep(FAULT_FREE_S)


async def kill_agent(bench: Bench) -> None:
    """Kill an agent and start another at the same address."""
    endpoint = find_endpoints(bench.fleet, "bottega")[0]
    relay = bench.relays[0]
    await end_process(endpoint.agent, signal.SIGKILL)
    service = bench.fleet.plan.services[1]
    flags = {**service.agent_flags, "peer": relay.target}
    replacement = replace(service, agent_flags=flags)
    endpoint.agent = await start_agent(
        bench.fleet, replacement, PLACE, "again", endpoint.engine
    )
    endpoint.agent.addresses["address"] = relay_address(relay)


async def pause_agent(bench: Bench) -> None:
    """Pause an agent for 3.5 s."""
    await pause_process(find_endpoints(bench.fleet, "bottega")[1].agent)


async def pause_agent_in_outage(bench: Bench) -> None:
    """Pause an agent while the store does not answer: two faults at once."""
    await set_faults(bench.fleet.store, {"outage": "hang"})
    await pause_process(find_endpoints(bench.fleet, "bottega")[2].agent)
    await set_faults(bench.fleet.store, {"outage": ""})


async def pause_router(bench: Bench) -> None:
    """Pause a router for 3.5 s."""
    await pause_process(bench.fleet.routers[0])


async def pause_process(process: Process) -> None:
    """Pause a process for 3.5 s by SIGSTOP and SIGCONT."""
    process.handle.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_DURATION_S)
    process.handle.send_signal(signal.SIGCONT)


async def kill_router(bench: Bench) -> None:
    """Kill a router and remove it from the balancer."""
    router = bench.fleet.routers.pop()
    bench.fleet.extras.append(router)
    bench.killed.add(router)
    await end_process(router, signal.SIGKILL)


async def silence_service_connections(bench: Bench) -> None:
    """Stop forwarding on all open connections to the plain services, permanently."""
    for relay in bench.relays:
        silence_connections(relay)
    await asyncio.sleep(PAUSE_DURATION_S)


async def lose_replies(bench: Bench) -> None:
    """Make the store lose the replies to 20 writes that take effect."""
    await set_faults(bench.fleet.store, {"lose_replies": N_LOST_REPLIES})
    await asyncio.sleep(FAULT_FREE_S)


async def send_poisonous_chat(bench: Bench) -> None:
    """Send a chat that crashes engines 4 times, each through another router."""
    chat = Chat("poison", TEAM)
    ask(chat, f"a {POISON} question")
    router = None
    for _attempt in range(N_POISON_SENDS):
        router = pick_router(bench, router)
        await complete_chat(bench.fleet.client, router.address, "/consiglio", chat)


async def wait_for_callers(bench: Bench) -> None:
    """Wait up to 6 s until the remaining callers have finished."""
    if bench.tasks:
        await asyncio.wait(list(bench.tasks), timeout=MAX_CALLER_WAIT_S)


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
