"""Steps for a client that reads a body more slowly than it arrives."""

import asyncio

from behave import given, then, when

from pulley_http import Client, Response, close_client, send_request, start_server

READ_TIMEOUT_S = 20


@given("a server that sends one piece and then the rest")
def make_body(context):
    async def body(send_rest):
        yield b"first "
        await send_rest.wait()
        yield b"second"

    context.body = body


@when("a client reads the first piece and resumes reading after the rest has arrived")
def read_slowly(context):
    async def run():
        send_rest = asyncio.Event()

        async def handle(request):
            return Response(200, [], context.body(send_rest))

        server = await start_server(handle, "127.0.0.1", 0)
        client = Client()
        response = await send_request(client, server.address, "GET", "/")
        pieces = [await anext(response.body)]
        send_rest.set()
        await asyncio.sleep(0.2)
        async with asyncio.timeout(READ_TIMEOUT_S):
            pieces += [piece async for piece in response.body]
        close_client(client)
        server.listener.close()
        return b"".join(pieces)

    context.received = asyncio.run(run())


@then("it has received the whole body")
def check_body(context):
    assert context.received == b"first second", context.received
