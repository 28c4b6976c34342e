"""Steps that block the event loop while a router probes an endpoint."""

import asyncio
import socket
import time

from behave import then, when

from pulley_direct.crashes.crash_probes import PROBE_OPEN_MS, is_down

BLOCK_S = 2 * PROBE_OPEN_MS / 1_000
CONNECT_PAUSE_S = 0.05
LIMIT_S = 5


@when("a router is busy while a dying endpoint closes its probe")
def probe_dying(context):
    async def run():
        with socket.create_server(("127.0.0.1", 0)) as endpoint:
            host, port = endpoint.getsockname()
            probe = asyncio.create_task(is_down(f"{host}:{port}"))
            await asyncio.sleep(CONNECT_PAUSE_S)
            endpoint.accept()[0].close()
        time.sleep(BLOCK_S)
        context.is_down = await asyncio.wait_for(probe, LIMIT_S)

    asyncio.run(run())


@then("the endpoint counts as down")
def check_down(context):
    assert context.is_down
