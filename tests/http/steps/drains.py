"""Steps in which a server is drained while a request arrives."""

import asyncio

from behave import when
from raw_callers import block_loop, connect_raw, read_status

from pulley_http import Response, start_server
from pulley_http.servers import drain_server

DRAIN_TIMEOUT_MS = 2_000
PAUSE_S = 0.05
SHORT_DRAIN_MS = 300
# The block begins before the end of the short drain and ends after it.
BLOCK_START_S = 0.2
BLOCK_MS = 300
# Turns of the loop that a handler takes for an answer that is there.
N_TURNS = 5
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


async def answer_empty(request):
    return Response(200)


async def drain_between(first: bytes, rest: bytes, pause_s: float) -> str:
    """Send ``first``, wait, begin a drain, and send ``rest``; return the status."""
    server = await start_server(answer_empty, "127.0.0.1", 0)
    async with connect_raw(server) as caller:
        await asyncio.sleep(PAUSE_S)
        caller.send(first)
        if pause_s:
            await asyncio.sleep(pause_s)
        drain = asyncio.create_task(drain_server(server, DRAIN_TIMEOUT_MS))
        if rest:
            await asyncio.sleep(PAUSE_S)
            send_ignoring_close(caller, rest)
        status = await read_status(caller)
    await drain
    return status


def send_ignoring_close(caller, data: bytes) -> None:
    """Send bytes for a caller whose connection may be closed."""
    try:
        caller.send(data)
    except ConnectionError:
        pass


@when("a drain begins after half of a head")
def drain_after_half_head(context):
    half = len(REQUEST) // 2
    context.status = asyncio.run(drain_between(REQUEST[:half], REQUEST[half:], PAUSE_S))


@when("a drain begins before a request that has arrived is read")
def drain_before_read(context):
    async def run():
        server = await start_server(answer_empty, "127.0.0.1", 0)
        async with connect_raw(server) as caller:
            await asyncio.sleep(PAUSE_S)
            caller.send(REQUEST)
            drain = asyncio.gather(
                drain_server(server, DRAIN_TIMEOUT_MS), read_status(caller)
            )
            _n_aborted, context.status = await drain
        server.listener.close()

    asyncio.run(run())


@when("a drain begins just before a request arrives")
def drain_before_arrival(context):
    async def run():
        server = await start_server(answer_empty, "127.0.0.1", 0)
        async with connect_raw(server) as caller:
            await asyncio.sleep(PAUSE_S)
            drain = asyncio.create_task(drain_server(server, DRAIN_TIMEOUT_MS))
            # In the same turn, before the connection's task resumes.
            asyncio.get_running_loop().call_soon(caller.send, REQUEST)
            context.status = await read_status(caller)
        await drain

    asyncio.run(run())


@when("a request's handler goes on while the loop is busy past the end of a drain")
def handle_past_drain(context):
    async def run():
        released = asyncio.Event()

        async def answer_released(request):
            await released.wait()
            for _ in range(N_TURNS):
                await asyncio.sleep(0)
            return Response(200)

        server = await start_server(answer_released, "127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        async with connect_raw(server) as caller:
            caller.send(REQUEST)
            await asyncio.sleep(PAUSE_S)
            loop.call_later(BLOCK_START_S, released.set)
            loop.call_later(BLOCK_START_S, block_loop, BLOCK_MS, caller, b"")
            drain = asyncio.create_task(drain_server(server, SHORT_DRAIN_MS))
            context.status = await read_status(caller)
            await drain

    asyncio.run(run())
