"""Steps in which the event loop is blocked at the end of a router's drain."""

import asyncio
import time

from behave import then, when
from scenes import (
    LOOKUP,
    call,
    read_processor_wait_ms,
    start_fixture,
    wait_until_synced,
)
from timed_endpoints import answer_head, list_raw_endpoint, start_raw_endpoint

from pulley_direct.app import drain
from pulley_direct.transport.rotation import (
    LAST_ANSWER_MARGIN_MS,
    LAST_CONNECTIONS_MS,
    SHUTDOWN_MARGIN_MS,
)

GRACE_MS = 4_300
# Before the router refuses requests that it could not finish.
SEND_MS = 2_200
DEADLINE_MS = 5_000
# The endpoint answers in time, the loop is free again after the end of the drain.
ANSWER_MS = LAST_CONNECTIONS_MS
BLOCK_MS = 600
LAST_ANSWER_MS = GRACE_MS - LAST_ANSWER_MARGIN_MS
DRAIN_END_MS = GRACE_MS - SHUTDOWN_MARGIN_MS
assert ANSWER_MS < LAST_ANSWER_MS < DRAIN_END_MS < ANSWER_MS + BLOCK_MS < GRACE_MS


async def drain_with_lookup(context, answer) -> None:
    """Send a lookup to a router that drains, and keep its answer."""
    server = await start_raw_endpoint(answer)
    async with start_fixture(n_endpoints=0, grace_ms=GRACE_MS) as fixture:
        list_raw_endpoint(fixture.store, server, "shop")
        await wait_until_synced(fixture)
        started_s, waited_ms = time.monotonic(), read_processor_wait_ms()
        draining = asyncio.create_task(drain(fixture.running))
        await asyncio.sleep(SEND_MS / 1_000)
        calling = asyncio.create_task(call(fixture, LOOKUP, timeout_ms=DEADLINE_MS))
        await draining
        waited_ms = read_processor_wait_ms() - waited_ms
        context.took_ms = 1_000 * (time.monotonic() - started_s) - waited_ms
        context.answer = await calling
    server.close()


@when("an endpoint answers a lookup while the loop is busy past the end of the drain")
def answer_past_end(context):
    async def run():
        released = asyncio.Event()

        async def answer(writer):
            await released.wait()
            writer.write(answer_head("content-length: 4\r\n") + b"done")
            time.sleep(BLOCK_MS / 1_000)

        asyncio.get_running_loop().call_later(ANSWER_MS / 1_000, released.set)
        await drain_with_lookup(context, answer)

    asyncio.run(run())


@when("an endpoint does not answer a lookup before the end of the drain")
def never_answer(context):
    async def never(writer):
        await asyncio.Event().wait()

    asyncio.run(drain_with_lookup(context, never))


@then("the caller gets 504 and the drain ends before the process would be killed")
def check_end(context):
    assert context.took_ms < GRACE_MS, context.took_ms
    assert context.answer.status == 504 and context.answer.whole, context.answer
