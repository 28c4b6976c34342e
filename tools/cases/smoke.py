"""The shortest case: a few chats of three turns and one order through one router."""

import asyncio
from random import Random

from callers import ask, complete_chat, make_chats, make_text, post_once
from fleets import read_json, run_fleet
from plans import one_place_plan
from progress import show_progress
from results import CaseResult, Target

N_CHATS = 12
N_TURNS = 3


async def run(seed: int, long: bool) -> CaseResult:
    """Check that chats complete and reuse cached tokens, and an order runs once."""
    random = Random(seed)
    plan = one_place_plan(3, n_services=1, engine_flags={"decode_ms": 2})
    async with run_fleet(plan) as fleet:
        address = fleet.routers[0].address
        chats = list(make_chats(random, N_CHATS, ["sportello", "fattorie"]))
        answers = []
        for turn in range(N_TURNS):
            show_progress(f"turn {turn + 1} of {N_TURNS}")
            for chat in chats:
                ask(chat, make_text(random, 40))
            answers += await asyncio.gather(
                *(complete_chat(fleet.client, address, "/consiglio", c) for c in chats)
            )
        order = await post_once(
            fleet.client, address, "/bottega/handles", "sportello", "k1", {"n": 1}
        )
        services = [e for e in fleet.endpoints if e.service == "bottega"]
        executions = await read_json(fleet, services[0].engine.address, "/executions")
    returning_answers = answers[N_CHATS:]
    warm_answers = [
        answer for answer in returning_answers if answer.n_cached_tokens > 0
    ]
    incomplete_answers = [answer for answer in [*answers, order] if not answer.complete]
    return CaseResult(
        {
            "incomplete": len(incomplete_answers),
            "returned_warm_share": len(warm_answers) / len(returning_answers),
            "order_executions": sum(executions.values()),
        },
        {
            "incomplete": Target("==", 0),
            "returned_warm_share": Target("==", 1),
            "order_executions": Target("==", 1),
        },
    )
