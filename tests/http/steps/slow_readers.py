"""Steps for a client that processes one piece while further bytes arrive."""

import asyncio

from behave import given, then, when

from pulley_http import Client, Response, close_client, send_request, start_server

TEST_TIMEOUT_S = 20
N_SLEEPS = 200


@given('a server that sends "one", "two" and the end of the body in turn')
def make_handler(context):
    async def handle(request):
        async def body():
            yield b"one"
            await context.first_piece_read.wait()
            yield b"two"

        return Response(200, [], body())

    context.handle = handle


@when('a client processes "one" until everything has been sent')
def read_slowly(context):
    async def read():
        context.first_piece_read = asyncio.Event()
        server = await start_server(context.handle, "127.0.0.1", 0)
        client = Client()
        response = await send_request(client, server.address, "GET", "/")
        pieces = []
        async for piece in response.body:
            pieces.append(piece)
            context.first_piece_read.set()
            for _sleep in range(N_SLEEPS):
                await asyncio.sleep(0.001)
        close_client(client)
        server.listener.close()
        return b"".join(pieces)

    async def read_within_timeout():
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await read()

    try:
        context.read = asyncio.run(read_within_timeout())
    except TimeoutError:
        context.read = b"it waited for more"


@then(
    'the client reads "onetwo" and the end of the body without waiting for more bytes'
)
def check_body(context):
    assert context.read == b"onetwo", context.read
