"""Steps with an endpoint that answers before it has read a long body."""

import asyncio

from behave import then, when
from late_readers import BODY_BYTES, LATE_S, start_late_reader
from scenes import ORDER, call, start_fixture, wait_until_synced
from timed_endpoints import answer_head, list_raw_endpoint

SHORT_BODY = b"x"
ANSWER = b"done"
FRAMING = f"content-length: {len(ANSWER)}\r\n"


async def answer_early(reader, writer):
    """Answer a long request at once; read its body and the next request late."""
    writer.write(answer_head(FRAMING, "long") + ANSWER)
    await asyncio.sleep(LATE_S)
    writer.transport.resume_reading()
    await reader.readexactly(BODY_BYTES)
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(len(SHORT_BODY))
    writer.write(answer_head(FRAMING, "short") + ANSWER)
    await reader.read()


@when("an order is sent on a connection whose long body has not been read yet")
def send_both(context):
    async def run():
        context.connections = []
        server = await start_late_reader(answer_early, context.connections.append)
        async with start_fixture(n_endpoints=0) as fixture:
            list_raw_endpoint(fixture.store, server, "shop")
            await wait_until_synced(fixture)
            context.answers = [
                await call(fixture, ORDER, request_id=name, timeout_ms=2_000, body=body)
                for name, body in (("long", b"x" * BODY_BYTES), ("short", SHORT_BODY))
            ]
        server.close()

    asyncio.run(run())


@then("the order is answered on the same connection")
def check_answers(context):
    assert [one.status for one in context.answers] == [200, 200], context.answers
    assert len(context.connections) == 1, context.connections
