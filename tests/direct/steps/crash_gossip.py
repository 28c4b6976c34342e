"""Steps in which routers tell each other of crashes by datagrams."""

import asyncio
from unittest.mock import Mock

from behave import given, then, when
from gossip import start_two
from hypothesis import given as given_any
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from pulley_platform_standins.stores import StoreFault
from scenes import start_fixture

from pulley_base import Clock, to_seconds
from pulley_direct.crashes.crash_probes import ProbeResult
from pulley_direct.crashes.crashes import clear, report_loss
from pulley_direct.gossip_receipts import receive
from pulley_direct.peers.gossip_messages import (
    MAX_DATAGRAM_BYTES,
    decode_message,
    encode_message,
)
from pulley_direct.state.counters import DROPPED
from pulley_direct.state.crash_log import OWN
from pulley_direct.state.jobs import Loss
from pulley_direct.state.models import CrashReports, Endpoint, RouterEntry
from pulley_policy.losses import (
    Clearance,
    LostRequest,
    Suspect,
    score_request,
)
from pulley_policy.suspicions import find_suspected

KEY = "model/request/0123456789abcdef01234567"
POLL_MS = 5
NOW_MS = 100_000
N_EXAMPLES = 100
OTHER = "10.0.0.1:7340"
DATAGRAMS = {
    "that is no JSON": b"crashes {",
    "that is a list": b"crashes []",
    "with a negative depth": b'crashes {"lost": [["a/1", [["k", -1]]]], "cleared": []}',
    "without rows": b'crashes {"cleared": []}',
    "nested without end": b"crashes " + b"[" * 1_100,
}


async def lose(router, key, crash, n_parts=0):
    """Let a router report a request as lost in the crash of an endpoint."""
    parts = tuple(f"model/part/{number:064}" for number in range(n_parts))
    scores = score_request(router.fleet_view.crash_log.evidence, (*parts, key))
    probe = asyncio.get_running_loop().create_future()
    probe.set_result(ProbeResult.REFUSING)
    endpoint = Endpoint(crash, "model", "127.0.0.1:1", started_ms=1)
    assert await report_loss(router, Loss(endpoint, scores, probe))


def find_suspected_by(running):
    """Return whether a router suspects the request."""
    router = running.router
    evidence = router.fleet_view.crash_log.evidence
    return find_suspected(evidence, (KEY,), router.clock.now_ms())


async def wait_suspected(running, expected, limit_ms):
    """Wait until a router suspects the request, or does no more."""
    for _ in range(limit_ms // POLL_MS):
        if find_suspected_by(running) == expected:
            return True
        await asyncio.sleep(to_seconds(POLL_MS))
    return False


@given("two routers whose watches hang")
def note_two(context):
    context.with_answer = False


@when("the first router reports that a request was lost in {n:d} crashes")
def note_crashes(context, n):
    context.n_crashes = n


@when("it has a good answer to that request")
def note_answer(context):
    context.with_answer = True


async def tell_second(n_crashes, with_answer, limit_ms):
    """Return whether the second router hears of crashes, and of a good answer."""
    async with start_two(2) as (fixture, first, second):
        fixture.store.fault = StoreFault.NO_ANSWER
        # All lost at the same moment, none known to the sender of another.
        async with asyncio.TaskGroup() as group:
            for number in range(n_crashes):
                group.create_task(lose(first.router, KEY, f"endpoint-{number}"))
        heard = await wait_suspected(second, [KEY], limit_ms)
        if with_answer:
            evidence = first.router.fleet_view.crash_log.evidence
            clear(first.router, score_request(evidence, (KEY,)))
            return heard and await wait_suspected(second, [], limit_ms)
        return heard


@then("the second router suspects that request within {ms:d} ms")
@then("the second router suspects no request within {ms:d} ms")
def check_second(context, ms):
    assert asyncio.run(tell_second(context.n_crashes, context.with_answer, ms))


@given("a router that knows {n:d} other routers")
def note_others(context, n):
    context.n_others = n
    context.steps = []


def play_steps(context):
    """Play the steps so far; return the router and what each step sent."""

    async def play():
        async with start_fixture(1) as fixture:
            router = fixture.router
            for number in range(context.n_others):
                entry = RouterEntry(f"other-{number}", f"10.0.0.{number + 1}:7340")
                router.fleet_view.routers[entry.name] = entry
            router.gossip = Mock()
            router.gossip.get_write_buffer_size.return_value = 0
            sent = []
            for step in context.steps:
                before = router.gossip.sendto.call_count
                await step(router)
                sent.append(router.gossip.sendto.call_count - before)
            return router, sent

    return asyncio.run(play())


@when("it hears of a request's first crash from one of them")
def hear_first(context):
    hear(context, "endpoint-1")


@when("it hears of that request's second crash from one of them")
def hear_second(context):
    hear(context, "endpoint-2")


def hear(context, crash):
    """Plan a datagram with one report."""
    reports = CrashReports(OWN, (LostRequest(crash, (Suspect(KEY, 1),)),), ())

    async def step(router):
        receive(router, encode_message(reports), OTHER)

    context.steps.append(step)


@then("it tells nobody of it")
def check_told_nobody(context):
    assert play_steps(context)[1][-1] == 0


@then("it tells {n:d} of them")
def check_told(context, n):
    assert play_steps(context)[1][-1] == n


@when("it loses {n:d} different requests")
def lose_many(context, n):
    async def step(router):
        router.clock = Clock(lambda: NOW_MS)
        for number in range(n):
            await lose(router, f"model/request/{number}", f"endpoint-{number % 9}")

    context.steps.append(step)


@then("it has sent at most {n:d} datagrams")
def check_sent(context, n):
    (n_sent,) = play_steps(context)[1]
    assert 0 < n_sent <= n, n_sent


@when("it loses a prompt with {n:d} parts of 64 characters")
def lose_long(context, n):
    context.steps.append(lambda router: lose(router, KEY, "endpoint-1", n_parts=n))


@when("it gets a datagram of crashes {kind} from one of them")
def get_malformed(context, kind):
    async def step(router):
        receive(router, DATAGRAMS[kind], OTHER)

    context.steps.append(step)


@then("it holds no report, and counts the datagram as dropped")
def check_malformed(context):
    router, _ = play_steps(context)
    assert not router.fleet_view.crash_log.evidence.reports
    assert router.counters.gossip == {DROPPED: 1}, router.counters.gossip


def any_reports():
    """Return a strategy for crash reports of any kind."""
    text = strategies.text(max_size=40)
    suspect = strategies.builds(
        Suspect, text, strategies.integers(1, 1_000), strategies.integers(0, 1_000)
    )
    lost = strategies.builds(
        LostRequest,
        text,
        strategies.lists(suspect, min_size=1, max_size=3).map(tuple),
        text,
        strategies.integers(0, 864_000_000),
        strategies.booleans(),
    )
    crashes = strategies.lists(text, max_size=3).map(tuple)
    cleared = strategies.builds(Clearance, text, crashes)
    return strategies.builds(
        CrashReports,
        strategies.just(OTHER),
        strategies.lists(lost, max_size=2).map(tuple),
        strategies.lists(cleared, max_size=2).map(tuple),
    )


@when("reports of any kind are written to datagrams and read again")
def write_and_read(context):
    context.pairs = []

    @hypothesis_settings(max_examples=N_EXAMPLES, derandomize=True, deadline=None)
    @given_any(any_reports())
    def write_one(reports):
        data = encode_message(reports)
        if len(data) <= MAX_DATAGRAM_BYTES:
            context.pairs.append((reports, decode_message(data, OTHER)))

    write_one()


@then("they are the same")
def check_same(context):
    assert len(context.pairs) > N_EXAMPLES // 4, len(context.pairs)
    for written, read in context.pairs:
        assert written == read, (written, read)
