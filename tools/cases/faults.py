"""Faults under load, one after another: does anything run twice or get lost?

Callers send chats, orders under a key and lookups without pause; an order that
got no answer is sent again with its key through another router. Meanwhile
processes are killed and paused, connections go silent, the store is away or
loses replies, and one request crashes the engines that run it. Metrics:
``executions_above_one``, ``false_not_run`` (orders last told "not run" that ran),
``wrong_answers``, ``no_final_word`` (callers cut off by a router that was not
killed), ``unknown_share``, ``lost_in_outage`` (orders not done in the end of those
sent while the store was away), ``engines_crashed``, ``recover_max_s``.
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
CALM_S = 1.0
PAUSE_S = 3.5
OUTAGE_S = 5.0
LONG_OUTAGE_S = 30.0
N_LOST_REPLIES = 20
N_POISON_SENDS = 4
MAX_SENDS = 4
RESEND_PAUSE_S = 0.5
SETTLE_S = 6.0
HEADS = (
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
class Sent:
    """One request of a caller: when it was sent, in which phase, what came."""

    phase: str
    kind: str
    sent_s: float
    router: Process
    answer: Answer
    right: bool = True


@dataclass(slots=True)
class Order:
    """One order: its key and every answer that its caller got."""

    key: str
    phase: str
    answers: list[Answer] = field(default_factory=list)


@dataclass(slots=True)
class Bench:
    """The fleet, its callers and all that they were told."""

    fleet: Fleet
    random: Random
    relays: list[Relay]
    phase: str = "calm"
    began_s: dict[str, float] = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    killed: set[Process] = field(default_factory=set)
    calls: set[asyncio.Task] = field(default_factory=set)


async def run(seed: int, long: bool) -> CaseResult:
    """Drive every fault in turn over one fleet."""
    async with run_fleet(make_plan()) as fleet:
        async with relay_services(fleet) as relays:
            bench = Bench(fleet, Random(seed), relays)
            senders = [
                asyncio.create_task(send_regularly(bench, rate, send))
                for rate, send in (
                    (ORDERS_PER_S, send_order),
                    (CHATS_PER_S, send_chat),
                    (LOOKUPS_PER_S, send_lookup),
                )
            ]
            await drive_faults(bench, LONG_OUTAGE_S if long else OUTAGE_S)
            for sender in senders:
                sender.cancel()
            await settle(bench)
            executions = await read_executions(fleet)
            n_crashed = count_crashed(fleet)
    return report(bench, executions, n_crashed)


def make_plan() -> FleetPlan:
    """Give a fleet of engines that one prompt crashes, and plain services."""
    engine_flags = {"slots": 16, "decode_ms": 5, "report_lag_ms": 0, "poison": POISON}
    services = (
        ServicePlan("consiglio", "model", N_ENGINES, engine_flags),
        ServicePlan("bottega", "plain", N_SERVICES, {}, {"capacity": 16}),
    )
    return FleetPlan("faults", (PLACE,), (PLACE,) * N_ROUTERS, services, CARUSO_RULES)


@asynccontextmanager
async def relay_services(fleet: Fleet) -> AsyncIterator[list[Relay]]:
    """Let the routers reach the agents of the plain services through relays."""
    relays = []
    for endpoint in of_service(fleet, "bottega"):
        relay = await open_relay(endpoint.agent.address)
        endpoint.agent.addresses["address"] = relay_address(relay)
        relays.append(relay)
    publish_list(fleet)
    await asyncio.sleep(CALM_S * 2)
    try:
        yield relays
    finally:
        for relay in relays:
            relay.listener.close()


def of_service(fleet: Fleet, service: str) -> list[Endpoint]:
    """Give the endpoints of one service."""
    return [each for each in fleet.endpoints if each.service == service]


async def send_regularly(
    bench: Bench, rate_per_s: float, send: Callable[[Bench], Awaitable[None]]
) -> None:
    """Start one caller after another at random intervals, for ever."""
    while True:
        await asyncio.sleep(bench.random.expovariate(rate_per_s))
        task = asyncio.create_task(send(bench))
        bench.calls.add(task)
        task.add_done_callback(bench.calls.discard)


def pick_router(bench: Bench, but: Process | None = None) -> Process:
    """Give a router that the balancer still knows."""
    return bench.random.choice(
        [each for each in bench.fleet.routers if each is not but]
    )


async def send_order(bench: Bench) -> None:
    """Send an order, and again with its key until it is answered."""
    key = f"order-{bench.random.getrandbits(64):016x}"
    order = Order(key, bench.phase)
    bench.orders.append(order)
    router = None
    for _sending in range(MAX_SENDS):
        router = pick_router(bench, router)
        sent = note(bench, "order", router)
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
            sent.right = f'"key":"{key}"'.encode() in sent.answer.body
            return
        await asyncio.sleep(RESEND_PAUSE_S)


async def send_chat(bench: Bench) -> None:
    """Send a chat's first turn."""
    chat = Chat(f"chat-{bench.random.getrandbits(64):016x}", TEAM)
    ask(chat, make_text(bench.random, 20))
    seed = answer_seed(render_prompt(chat.messages))
    router = pick_router(bench)
    sent = note(bench, "chat", router)
    sent.answer = await complete_chat(
        bench.fleet.client, router.address, "/consiglio", chat
    )
    tokens = answer_tokens(seed)
    expected = "".join(next(tokens) for _number in range(natural_length_tokens(seed)))
    sent.right = not sent.answer.complete or sent.answer.text == expected


async def send_lookup(bench: Bench) -> None:
    """Ask for something that changes nothing."""
    router = pick_router(bench)
    target = f"/bottega/handles/{bench.random.randrange(N_LOOKUPS)}"
    sent = note(bench, "lookup", router)
    sent.answer = await look_up(bench.fleet.client, router.address, target, TEAM)


def note(bench: Bench, kind: str, router: Process) -> Sent:
    """Note a request as sent."""
    sent = Sent(bench.phase, kind, time.monotonic(), router, Answer())
    bench.sent.append(sent)
    return sent


async def drive_faults(bench: Bench, outage_s: float) -> None:
    """Bring on one fault after another, each followed by a calm."""
    faults = {
        "calm": calm,
        "agent killed": kill_agent,
        "agent paused": pause_agent,
        "agent paused, store away": pause_agent_in_outage,
        "router paused": pause_router,
        "router killed": kill_router,
        "silent connections": silence,
        "lost replies": lose_replies,
        "poisonous request": send_poison,
    }
    for name, bring_on in faults.items():
        begin(bench, name)
        await bring_on(bench)
        await asyncio.sleep(CALM_S)
    begin(bench, "store away")
    await set_faults(bench.fleet.store, {"outage": "refuse"})
    await asyncio.sleep(outage_s)
    await set_faults(bench.fleet.store, {"outage": ""})
    await asyncio.sleep(CALM_S)


def begin(bench: Bench, name: str) -> None:
    """Count what is sent from now on to another fault."""
    show_progress(name)
    bench.phase = name
    bench.began_s[name] = time.monotonic()


async def calm(bench: Bench) -> None:
    """Let everything be."""
    await asyncio.sleep(CALM_S)


async def kill_agent(bench: Bench) -> None:
    """Kill an agent and start another at its address."""
    endpoint = of_service(bench.fleet, "bottega")[0]
    relay = bench.relays[0]
    await end_process(endpoint.agent, signal.SIGKILL)
    service = bench.fleet.plan.services[1]
    flags = {**service.agent_flags, "peer": relay.target}
    again = replace(service, agent_flags=flags)
    endpoint.agent = await start_agent(
        bench.fleet, again, PLACE, "again", endpoint.engine
    )
    endpoint.agent.addresses["address"] = relay_address(relay)


async def pause_agent(bench: Bench) -> None:
    """Stop an agent for a while and let it go on."""
    await pause(of_service(bench.fleet, "bottega")[1].agent)


async def pause_agent_in_outage(bench: Bench) -> None:
    """Stop an agent while the store is away: two faults at once."""
    await set_faults(bench.fleet.store, {"outage": "hang"})
    await pause(of_service(bench.fleet, "bottega")[2].agent)
    await set_faults(bench.fleet.store, {"outage": ""})


async def pause_router(bench: Bench) -> None:
    """Stop a router for a while and let it go on."""
    await pause(bench.fleet.routers[0])


async def pause(process: Process) -> None:
    """Stop a process for a while by SIGSTOP."""
    process.handle.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    process.handle.send_signal(signal.SIGCONT)


async def kill_router(bench: Bench) -> None:
    """Kill a router; the balancer takes it out."""
    router = bench.fleet.routers.pop()
    bench.fleet.extras.append(router)
    bench.killed.add(router)
    await end_process(router, signal.SIGKILL)


async def silence(bench: Bench) -> None:
    """Let every open connection to the services go silent for good."""
    for relay in bench.relays:
        silence_connections(relay)
    await asyncio.sleep(PAUSE_S)


async def lose_replies(bench: Bench) -> None:
    """Lose the replies to some writes that take effect."""
    await set_faults(bench.fleet.store, {"lose_replies": N_LOST_REPLIES})
    await asyncio.sleep(CALM_S)


async def send_poison(bench: Bench) -> None:
    """Send a request that crashes engines, and again through other routers."""
    chat = Chat("poison", TEAM)
    ask(chat, f"a {POISON} question")
    router = None
    for _sending in range(N_POISON_SENDS):
        router = pick_router(bench, router)
        await complete_chat(bench.fleet.client, router.address, "/consiglio", chat)


async def settle(bench: Bench) -> None:
    """Wait for the callers that still wait."""
    if bench.calls:
        await asyncio.wait(list(bench.calls), timeout=SETTLE_S)


async def read_executions(fleet: Fleet) -> Counter:
    """Give how often each key ran, over all services."""
    executions = Counter()
    for endpoint in of_service(fleet, "bottega"):
        executions.update(
            await read_json(fleet, endpoint.engine.address, "/executions")
        )
    return executions


def is_false_not_run(order: Order, executions: Counter) -> bool:
    """Tell whether every word on an order was "not run" although it ran."""
    words = {each.outcome for each in order.answers}
    return words == {"not-run"} and executions[order.key] > 0


def is_cut_off(bench: Bench, sent: Sent) -> bool:
    """Tell whether a caller got neither an answer nor a word on it."""
    answer = sent.answer
    partial = answer.status == 200 and b"event: error" in answer.body
    word = answer.complete or answer.outcome or partial
    return not word and sent.router not in bench.killed


def count_crashed(fleet: Fleet) -> int:
    """Give the number of engines that are gone."""
    engines = [each.engine for each in of_service(fleet, "consiglio")]
    return sum(engine.handle.returncode is not None for engine in engines)


def report(bench: Bench, executions: Counter, n_crashed: int) -> CaseResult:
    """Give the metrics and one row for each fault."""
    rows = [make_row(bench, name) for name in bench.began_s]
    away = [order for order in bench.orders if order.phase == "store away"]
    n_unknown = sum(each.answer.outcome == "unknown" for each in bench.sent)
    metrics = {
        "requests": len(bench.sent),
        "executions_above_one": sum(n - 1 for n in executions.values() if n > 1),
        "false_not_run": sum(is_false_not_run(o, executions) for o in bench.orders),
        "wrong_answers": sum(not each.right for each in bench.sent),
        "no_final_word": sum(is_cut_off(bench, each) for each in bench.sent),
        "unknown_share": n_unknown / max(1, len(bench.sent)),
        "sent_in_outage": len(away),
        "lost_in_outage": sum(not is_done(order) for order in away),
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
    return CaseResult(metrics, targets, make_table(HEADS, rows))


def is_done(order: Order) -> bool:
    """Tell whether an order's caller got its answer in the end."""
    return any(answer.complete for answer in order.answers)


def make_row(bench: Bench, phase: str) -> tuple:
    """Give the row of one fault."""
    sent = [each for each in bench.sent if each.phase == phase]
    outcomes = Counter(each.answer.outcome for each in sent)
    failed_s = [each.sent_s for each in sent if not each.answer.complete]
    reasons = Counter(each.answer.reason for each in sent if each.answer.reason)
    n_orders = sum(order.phase == phase for order in bench.orders)
    n_sendings = sum(each.kind == "order" for each in sent)
    return (
        phase,
        len(sent),
        sum(each.answer.complete for each in sent),
        outcomes["not-run"],
        outcomes["unknown"],
        sum(is_cut_off(bench, each) for each in sent),
        max(0, n_sendings - n_orders),
        max(failed_s, default=bench.began_s[phase]) - bench.began_s[phase],
        ", ".join(f"{name} {n}" for name, n in sorted(reasons.items())),
    )
