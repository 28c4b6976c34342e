"""Steps that end a response without a length from either side."""

import asyncio

import h11
from behave import then, when

from pulley_base import PulleyError
from pulley_http import Client, read_all
from pulley_http.clients import read_body
from pulley_http.connections import next_event, open_connection

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
BODY = b"the first part"
READ_TIMEOUT_S = 10


async def read_response(context, *, server_closes: bool):
    """Read a response; its connection is closed by the server or by this side."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + BODY)
        await writer.drain()
        if server_closes:
            writer.close()
        else:
            await reader.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connection = await open_connection(f"{host}:{port}", 1_000)
    request = h11.Request(method="GET", target="/", headers=[("host", "a")])
    connection.transport.write(connection.h11.send(request))
    connection.h11.send(h11.EndOfMessage())
    await next_event(connection, "head")
    if not server_closes:
        asyncio.get_running_loop().call_later(0.05, connection.close)
    context.error = context.body = None
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            context.body = await read_all(read_body(Client(), connection))
    except PulleyError as error:
        context.error = error
    server.close()
    await server.wait_closed()


@when("a client closes a connection in the middle of a response without a length")
def close_own_side(context):
    asyncio.run(read_response(context, server_closes=False))


@when("a server closes its connection at the end of a response without a length")
def close_server_side(context):
    asyncio.run(read_response(context, server_closes=True))


@then('reading the response fails at the step "{step}"')
def check_failed_read(context, step):
    assert context.error is not None, context.body
    assert context.error.step == step, context.error


@then("the response is read to its end")
def check_whole_response(context):
    assert context.error is None, context.error
    assert context.body == BODY, context.body
