"""Steps with an agent that is busy as its drain times out."""

import asyncio
import socket
import time
from types import SimpleNamespace

from behave import then, when

from pulley_agent.sessions import finish_attempts

DRAIN_MS = 100
BLOCK_S = 0.3
ANSWER = b"done"


@when("an engine's answer comes while its agent is busy past its drain timeout")
def drain_while_busy(context):
    async def run():
        engine, agent = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=agent)
        attempt = SimpleNamespace(task=asyncio.create_task(reader.readexactly(4)))
        idle = asyncio.Event()
        attempt.task.add_done_callback(lambda _task: idle.set())
        sessions = SimpleNamespace(
            attempts={1: attempt},
            routes={},
            idle=idle,
            claims=SimpleNamespace(release_tasks=()),
        )
        draining = asyncio.create_task(finish_attempts(sessions, DRAIN_MS))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        engine.sendall(ANSWER)
        time.sleep(BLOCK_S)
        context.n_cut = await draining
        await asyncio.wait({attempt.task})
        context.cancelled = attempt.task.cancelled()
        writer.close()
        engine.close()

    asyncio.run(run())


@then("the drain cut no attempt")
def check_none_cut(context):
    assert context.n_cut == 0, context.n_cut
    assert not context.cancelled
