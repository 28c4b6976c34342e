"""Steps for engine crashes: the probe, and the report of attempts in flight."""

import asyncio

from behave import given, then, when

from pulley_agent.answers import Answer
from pulley_agent.attempts import Attempt
from pulley_agent.crashes import (
    SETTLE_MS,
    CrashWatch,
    has_crashed,
    report_crash,
    suspects_prefix,
)
from pulley_base import Clock
from pulley_http import Client
from pulley_platform import Store, read_prefix
from pulley_policy.suspects import Suspects
from pulley_standins.stores import start_store, stop_store
from pulley_wire.messages import Open

SERVICE = "consiglio"
LIMIT_S = 5


def prepare_probe(context, hold_ms):
    """Prepare a probe of an engine that closes after ``hold_ms``, or never if None."""

    async def hold_connection(reader, writer):
        await asyncio.sleep(LIMIT_S if hold_ms is None else hold_ms / 1000)
        writer.close()

    async def run():
        server = await asyncio.start_server(hold_connection, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        engine = f"{host}:{port}"
        watch = CrashWatch(None, Clock(), SERVICE, engine, Suspects(60_000))
        context.crashed = await has_crashed(watch)
        server.close()

    context.probe = run


@given("an engine that accepts a connection and closes it {ms:d} ms later")
def dying_engine(context, ms):
    prepare_probe(context, ms)


@given("an engine that keeps accepted connections open")
def living_engine(context):
    prepare_probe(context, None)


@when("its agent probes the engine")
def probe(context):
    asyncio.run(asyncio.wait_for(context.probe(), LIMIT_S))


@then("the engine counts as crashed")
def counts_crashed(context):
    assert context.crashed


@then("the engine counts as alive")
def counts_alive(context):
    assert not context.crashed


def make_attempt(number):
    opened = Open(request=number, attempt=1)
    return Attempt(opened, Answer(1_000), 60_000, ran=True, digest=bytes([number]) * 16)


@given("an agent with two attempts on its engine")
def make_attempts(context):
    context.attempts = [make_attempt(1), make_attempt(2)]
    context.announced = []


@when("the first attempt fails alone and the second {ms:d} ms later")
def fail_both(context, ms):
    first, second = context.attempts

    async def fail_second(watch):
        await asyncio.sleep(ms / 1000)
        started_ms = watch.clock.now_ms()
        await report_crash(watch, [first, second])
        context.waited_ms = watch.clock.now_ms() - started_ms

    async def run():
        standin = await start_store("127.0.0.1")
        store = Store(Client(), (standin.server.address,))
        watch = CrashWatch(store, Clock(), SERVICE, "", Suspects(60_000))
        watch.announce = lambda crash, digests: context.announced.append(
            (crash, digests)
        )
        await asyncio.gather(report_crash(watch, [first]), fail_second(watch))
        context.watch = watch
        context.stored = await read_prefix(store, suspects_prefix(SERVICE))
        stop_store(standin)

    asyncio.run(asyncio.wait_for(run(), LIMIT_S))


@then("both are suspects of one crash")
def one_crash(context):
    suspects = [
        context.watch.suspects.by_digest[each.digest] for each in context.attempts
    ]
    assert [len(suspect.crashes) for suspect in suspects] == [1, 1], suspects
    assert suspects[0].crashes == suspects[1].crashes, suspects


@then("both were announced to the other agents")
def both_announced(context):
    announced = [digest for _crash, digests in context.announced for digest in digests]
    assert announced == [each.digest for each in context.attempts], context.announced
    assert len({crash for crash, _digests in context.announced}) == 1, context.announced


@then("both are in the store under that crash")
def both_stored(context):
    crash = context.announced[0][0]
    keys = {stored.key for stored in context.stored}
    prefix = suspects_prefix(SERVICE)
    assert keys == {f"{prefix}{a.digest.hex()}/{crash}" for a in context.attempts}, keys


@then("the second failure waited for its own report")
def second_waited(context):
    assert context.waited_ms >= SETTLE_MS, context.waited_ms
