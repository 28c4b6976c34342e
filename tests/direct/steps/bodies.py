"""Steps with an endpoint that reads a long body late."""

import asyncio

from behave import then, when
from late_readers import BODY_BYTES, LATE_S, start_late_reader
from scenes import ONCE, ORDER, call, start_fixture, wait_until_synced
from timed_endpoints import answer_head, list_raw_endpoint

EVENTS = [b"id: %d\ndata: a\n\n" % number for number in range(1, 6)]
PLAIN_ANSWER = b"done"


async def answer_late(reader, writer):
    """Read the body late, and answer when it is complete."""
    await asyncio.sleep(LATE_S)
    writer.transport.resume_reading()
    await reader.readexactly(BODY_BYTES)
    writer.write(answer_head(f"content-length: {len(PLAIN_ANSWER)}\r\n"))
    writer.write(PLAIN_ANSWER)
    await reader.read()


async def stream_at_once(reader, writer):
    """Send a stream, and read the body after it has ended."""
    writer.write(answer_head(f"content-length: {len(b''.join(EVENTS))}\r\n"))
    for event in EVENTS:
        writer.write(event)
        await writer.drain()
        await asyncio.sleep(LATE_S / len(EVENTS))
    writer.transport.resume_reading()
    await reader.readexactly(BODY_BYTES)
    await reader.read()


def send_long_body(context, answer, path, service):
    """Send a long body to an endpoint that buffers little."""

    async def run():
        server = await start_late_reader(answer)
        async with start_fixture(n_endpoints=0) as fixture:
            list_raw_endpoint(fixture.store, server, service)
            await wait_until_synced(fixture)
            body = b"x" * BODY_BYTES
            context.answer = await call(fixture, path, timeout_ms=5_000, body=body)
        server.close()

    asyncio.run(run())


@when("an endpoint reads the long body of an order late and answers it")
def send_order(context):
    context.expected = PLAIN_ANSWER
    send_long_body(context, answer_late, ORDER, "shop")


@when("an endpoint reads the long body of a stream's request while it streams")
def send_stream_request(context):
    context.expected = b"".join(EVENTS)
    send_long_body(context, stream_at_once, ONCE, "model")


@then("the caller gets the endpoint's whole answer")
def check_whole_answer(context):
    answer = context.answer
    assert (answer.status, answer.whole) == (200, True), answer
    assert answer.body == context.expected, answer
