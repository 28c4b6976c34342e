"""Steps with an endpoint that answers late, but before the deadline."""

import asyncio

from behave import then, when
from pulley_platform_standins.endpoints import Behavior
from scenes import CHAT, LOOKUP, add_endpoint, call, start_fixture, wait_until_synced
from timed_endpoints import answer_head, list_raw_endpoint, start_raw_endpoint

from pulley_direct.state.loads import get_state

# Longer than any silence that ends an attempt before its first byte, and well within
# the route's timeout.
LATE_S = 0.8
TIMEOUT_MS = 2_000
BODY = b"id: 1\ndata: late\n\n"


def read_late_answer(context, path: str, service: str, *, unreachable: bool) -> None:
    """Call an endpoint that answers late; list a full one once it works on the call."""

    async def run():
        began = asyncio.Event()

        async def answer(writer):
            began.set()
            await asyncio.sleep(LATE_S)
            writer.write(answer_head(f"content-length: {len(BODY)}\r\n") + BODY)

        server = await start_raw_endpoint(answer)
        async with start_fixture(n_endpoints=0) as fixture:
            list_raw_endpoint(fixture.store, server, service)
            await wait_until_synced(fixture)
            task = asyncio.create_task(call(fixture, path, timeout_ms=TIMEOUT_MS))
            await began.wait()
            get_state(fixture.router.loads, "raw").unreachable = unreachable
            await add_endpoint(fixture, "full", service, behavior=Behavior.FULL)
            context.answer = await task

    asyncio.run(run())


@when("the endpoint of a lookup answers late while the other one is full")
def read_lookup(context):
    read_late_answer(context, LOOKUP, "shop", unreachable=False)


@when(
    "the endpoint of a stream, marked unreachable, begins late while the other is full"
)
def read_stream(context):
    read_late_answer(context, CHAT, "model", unreachable=True)


@then("the caller gets the slow endpoint's answer")
def check_answer(context):
    answer = context.answer
    assert (answer.status, answer.whole, answer.body) == (200, True, BODY), answer
