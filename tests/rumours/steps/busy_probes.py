"""Steps that block the event loop while an agent probes its engine."""

import asyncio
import socket
import time

from behave import when

from pulley_agent.crashes import PROBE_TIMEOUT_MS, CrashWatch, has_crashed
from pulley_base import Clock
from pulley_policy.suspects import Suspects

BLOCK_S = 1.6 * PROBE_TIMEOUT_MS / 1_000
LIMIT_S = 5


def probe_while_busy(context, *, dies: bool) -> None:
    """Probe an engine and block the loop once the probe has begun.

    With ``dies`` the engine accepts the probe's connection and closes it in that time.
    """

    async def run():
        with socket.create_server(("127.0.0.1", 0)) as engine:
            host, port = engine.getsockname()
            watch = CrashWatch(
                None, Clock(), "service", f"{host}:{port}", Suspects(60_000)
            )
            probe = asyncio.create_task(has_crashed(watch))
            await asyncio.sleep(0.05 if dies else 0)
            if dies:
                engine.accept()[0].close()
            time.sleep(BLOCK_S)
            context.crashed = await asyncio.wait_for(probe, LIMIT_S)

    asyncio.run(run())


@when("an agent probes a live engine and is busy for longer than the probe may take")
def probe_live(context):
    probe_while_busy(context, dies=False)


@when("an agent is busy while the engine closes the probe's connection")
def probe_dying(context):
    probe_while_busy(context, dies=True)
