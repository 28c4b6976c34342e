"""Steps with an endpoint that answers before it has read a long body."""

import asyncio
import socket

from behave import then, when
from scenes import ORDER, call, start_fixture, wait_until_synced
from timed_endpoints import answer_head, list_raw_endpoint

BODY_BYTES = 6 * 1024 * 1024
SHORT_BODY = b"x"
RECEIVE_BUFFER_BYTES = 4_096
# Longer than the time after which unacknowledged bytes end a connection.
LATE_S = 1.2
ANSWER = b"done"
FRAMING = f"content-length: {len(ANSWER)}\r\n"


async def start_early_answerer(connections: list) -> asyncio.Server:
    """Start a server that answers a long request at once and reads its body late."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(("127.0.0.1", 0))

    async def serve(reader, writer):
        connections.append(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            writer.write(answer_head(FRAMING, "long") + ANSWER)
            await asyncio.sleep(LATE_S)
            writer.transport.resume_reading()
            await reader.readexactly(BODY_BYTES)
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(SHORT_BODY))
            writer.write(answer_head(FRAMING, "short") + ANSWER)
            await reader.read()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, sock=listener)


@when("an order is sent on a connection whose long body has not been read yet")
def send_both(context):
    async def run():
        context.connections = []
        server = await start_early_answerer(context.connections)
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
