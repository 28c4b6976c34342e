"""Callers that send orders, chats and lookups while faults are injected."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from callers import Answer, Chat, ask, complete_chat, look_up, make_text, post_once
from fleets import Fleet
from processes import Process

from pulley_standins.relays import Relay
from pulley_standins.texts import (
    answer_seed,
    answer_tokens,
    natural_length_tokens,
    render_prompt,
)

TEAM = "ferramenta"
ORDERS_PER_S = 20
CHATS_PER_S = 8
LOOKUPS_PER_S = 10
N_LOOKUPS = 1_000
MAX_SENDS = 4
RESEND_DELAY_S = 0.5
MAX_CALLER_WAIT_S = 6.0


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


async def wait_for_callers(bench: Bench) -> None:
    """Wait up to 6 s until the remaining callers have finished."""
    if bench.tasks:
        await asyncio.wait(list(bench.tasks), timeout=MAX_CALLER_WAIT_S)
