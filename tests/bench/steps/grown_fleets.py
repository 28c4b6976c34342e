"""Steps that grow a fleet of the bench."""

import asyncio
from random import Random

from behave import then, when
from cases.config import replace_process
from growth import grow
from operators import TimedHistory, Trial, fetch_texts
from stages import Stage, run_stage

RULES_TIMEOUT_S = 10
POLL_S = 0.2


async def wait_for_rules(fleet):
    """Return the processes' texts once all hold rules, or those at the time limit."""
    texts = []
    try:
        async with asyncio.timeout(RULES_TIMEOUT_S):
            while not texts or not all(texts):
                texts = await fetch_texts(fleet)
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        pass
    return texts


@when("a fleet grows from 2 to 5 processes and one of its routers is replaced")
def grow_fleet(context):
    async def run():
        async with run_stage(Stage(n_engines=0, n_routers=0)) as fleet:
            trial = Trial(fleet, Random(1), TimedHistory([]))
            await grow(fleet, 1, 1)
            await grow(fleet, 3, 2)
            await replace_process(trial, "router")
            return await wait_for_rules(fleet)

    context.texts = asyncio.run(run())


@then(
    "each of its {n:d} processes answers a member of the fleet with the rules in force"
)
def check_texts(context, n):
    assert len(context.texts) == n and all(context.texts), context.texts
    assert len(set(context.texts)) == 1, context.texts
