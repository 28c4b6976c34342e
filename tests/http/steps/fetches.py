"""Steps in which the answer to a fetch arrives while the event loop is blocked."""

import asyncio
import time

from behave import then, when

from pulley_base import ConnectionLost, PulleyError
from pulley_http import Client, close_client, fetch

TIMEOUT_MS = 200
BLOCK_MS = 400
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone"
PARTS = {
    "nothing": b"",
    "a part of a status line": b"HTTP/1.1",
    "a status line": b"HTTP/1.1 200 OK\r\n",
    "all headers": b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n",
}


@when("the answer to a fetch arrives while the loop is busy past its timeout")
def fetch_while_busy(context):
    async def answer_in_block(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)
        time.sleep(BLOCK_MS / 1_000)
        writer.close()

    run_fetch(context, answer_in_block)


@when("the server of a fetch sends {part} and closes")
def fetch_part_of_head(context, part):
    async def answer_in_part(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(PARTS[part])
        writer.close()

    run_fetch(context, answer_in_part)


def run_fetch(context, answer):
    """Fetch a page from a server that handles a connection with ``answer``."""

    async def run():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = "%s:%s" % server.sockets[0].getsockname()[:2]
        client = Client()
        try:
            return await fetch(client, address, "GET", "/", timeout_ms=TIMEOUT_MS)
        except PulleyError as error:
            return error
        finally:
            close_client(client)
            server.close()

    context.result = asyncio.run(run())


@then("the fetch returns the answer")
def check_returned(context):
    assert not isinstance(context.result, PulleyError), repr(context.result)
    assert context.result.body == b"done", context.result


@then('the fetch fails at the step "{step}"')
def check_failed(context, step):
    assert isinstance(context.result, ConnectionLost), repr(context.result)
    assert context.result.step == step, context.result.step
