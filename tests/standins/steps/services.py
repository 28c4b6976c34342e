"""Steps for the plain service and the relay."""

import asyncio

from behave import then, when

from pulley_http import Client, close_client, fetch, start_server
from pulley_standins.relays import open_relay, relay_address, silence_connections
from pulley_standins.services import ServiceSettings, build_service, handle_request

UNREACHED_DELAY_MS = 60_000


@when(
    'the key "{twice}" is posted twice and the key "{once}" once, '
    "without waiting for the answers"
)
def post_keys(context, twice, once):
    async def run():
        context.service = build_service(ServiceSettings(delay_ms=UNREACHED_DELAY_MS))
        server = await start_server(
            lambda request: handle_request(context.service, request), "127.0.0.1", 0
        )
        client = Client()
        posts = [
            asyncio.create_task(post(client, server.address, key))
            for key in (twice, twice, once)
        ]
        async with asyncio.timeout(30):
            while sum(context.service.executions.counts.values()) < len(posts):
                await asyncio.sleep(0.01)
        for task in posts:
            task.cancel()
        close_client(client)

    asyncio.run(run())


async def post(client, address, key):
    headers = [(b"idempotency-key", key.encode())]
    return await fetch(
        client,
        address,
        "POST",
        "/handles",
        headers=headers,
        timeout_ms=UNREACHED_DELAY_MS,
    )


@then('the service has counted {n:d} for "{a}" and {m:d} for "{b}"')
def check_counts(context, n, a, m, b):
    assert context.service.executions.counts == {a: n, b: m}


@when("a relay's open connections are silenced")
def silence_relayed_connections(context):
    async def run():
        echo = await asyncio.start_server(echo_back, "127.0.0.1", 0)
        host, port = echo.sockets[0].getsockname()[:2]
        relay = await open_relay(f"{host}:{port}")
        old = await asyncio.open_connection(*relay_address(relay).split(":"))
        context.before = await exchange(old)
        silence_connections(relay)
        context.after = await exchange(old, wait_s=0.3)
        new = await asyncio.open_connection(*relay_address(relay).split(":"))
        context.new = await exchange(new)
        old[1].close()
        new[1].close()

    asyncio.run(run())


async def echo_back(reader, writer):
    while data := await reader.read(100):
        writer.write(data)


async def exchange(connection, wait_s=30) -> bytes:
    reader, writer = connection
    writer.write(b"x")
    try:
        return await asyncio.wait_for(reader.read(1), wait_s)
    except TimeoutError:
        return b"silence"


@then("the open connection receives nothing more and a new one is answered")
def check_silent_and_new(context):
    assert (context.before, context.after, context.new) == (b"x", b"silence", b"x")
