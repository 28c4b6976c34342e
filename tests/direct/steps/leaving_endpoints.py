"""Steps about endpoints that say in their answers that they leave."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from busy_endpoints import busy
from pulley_platform_standins.endpoints import Behavior, unlist_endpoint
from pulley_platform_standins.stores import StoreFault
from raw_endpoints import (
    Script,
    add_raw_endpoints,
    encode_framed,
    encode_head,
)
from scenes import (
    CHAT,
    LOOKUP,
    ORDER,
    add_endpoint,
    call,
    check_refused_at_once,
    find_endpoints,
    start_fixture,
    wait_until_synced,
)

from pulley_direct.endpoints.departures import usable_endpoints
from pulley_direct.requests import attempts
from pulley_direct.state.signals import wait_until
from pulley_policy.placement import rank_endpoints

LEAVES = "server-leaving: 1"
NOTICE = (b"server-leaving", b"1")
N_REQUESTS = 10
EVENT = b"id: 1\ndata: a\n\n"
OUTAGE_S = 1.3


def say_in_answer(request):
    return encode_head(request, "content-length: 2", LEAVES) + b"ok"


def say_in_stream(request):
    return encode_stream(request, LEAVES)


def say_in_error(request):
    return encode_head(request, "content-length: 2", LEAVES, status=500) + b"no"


def say_in_rejection(request):
    lines = ("content-length: 0", "not-executed: 1", LEAVES)
    return encode_head(request, *lines, status=503)


def say_in_information(request):
    head = f"HTTP/1.1 103 x\r\n{LEAVES}\r\n\r\n".encode()
    return head + encode_framed(request, "a length", b"ok")


def say_in_earlier_answer(request):
    earlier = SimpleNamespace(request_id="another")
    return say_in_answer(earlier) + encode_framed(request, "a length", b"ok")


def say_another_value(request):
    return encode_head(request, "content-length: 2", "server-leaving: 0") + b"ok"


def say_misdirected(request):
    return encode_head(request, "content-length: 0", LEAVES, status=421)


ANSWERS = {
    "a whole answer": say_in_answer,
    "the head of a stream": say_in_stream,
    "an error of its own": say_in_error,
    "a rejection": say_in_rejection,
    "an informational answer": say_in_information,
    "an answer to an earlier request": say_in_earlier_answer,
    "an answer with another value": say_another_value,
    "the rejection of a misdirected request": say_misdirected,
}


def encode_stream(request, *lines):
    """Return a whole stream of one event."""
    framing = f"content-length: {len(EVENT)}"
    return encode_head(request, "content-type: text/event-stream", framing, *lines) + (
        EVENT
    )


def script_of(encode, is_stream):
    """Return a script whose first answer is encoded by ``encode``, the rest sound."""

    async def answer_first(request, writer):
        writer.write(encode(request))

    async def answer_others(request, writer):
        if is_stream:
            writer.write(encode_stream(request))
        else:
            writer.write(encode_framed(request, "a length", b"ok"))

    return Script([answer_first, answer_others])


def parts_at(home, names):
    """Return the parts of a prompt whose home is one of several endpoints."""
    digests = (f"{number:02x}" for number in range(256))
    digest = next(
        one for one in digests if rank_endpoints(one.encode(), names)[0] == home
    )
    return f"{digest}:100,bb:50"


@given("an endpoint that says in {answer} that it leaves, and a sound one")
def note_answer(context, answer):
    context.answer_kind = answer


@when("ten more requests are sent while the store is silent")
def send_more(context):
    is_stream = context.answer_kind == "the head of a stream"
    service, path = ("model", CHAT) if is_stream else ("shop", LOOKUP)

    async def run():
        async with start_fixture(n_endpoints=0) as fixture:
            script = script_of(ANSWERS[context.answer_kind], is_stream)
            await add_raw_endpoints(fixture, service, 1, script)
            await call(fixture, path, request_id="first")
            n_first = len(script.requests)
            assert n_first, "the first request did not reach the endpoint"
            await add_endpoint(fixture, "sound", service)
            await wait_until_synced(fixture)
            fixture.store.fault = StoreFault.NO_ANSWER
            parts = parts_at("raw-0", ["raw-0", "sound"])
            with busy(fixture, "sound"):
                answers = [
                    await call(fixture, path, request_id=f"request-{n}", parts=parts)
                    for n in range(N_REQUESTS)
                ]
            return [one.status for one in answers], len(script.requests) - n_first

    context.statuses, context.n_late = asyncio.run(run())


@then("all are answered, none of them by the endpoint that leaves")
def check_none_late(context):
    assert context.statuses == [200] * N_REQUESTS, context.statuses
    assert context.n_late == 0, context.n_late


@then("some of them are answered by the first endpoint")
def check_used_on(context):
    assert context.statuses == [200] * N_REQUESTS, context.statuses
    assert context.n_late > 0, context.n_late


@given("a request that waits for a connection to an endpoint")
def note_wait(context):
    context.connect_channel = attempts.connect_channel


@when("the endpoint says that it leaves before the connection opens")
def leave_while_connecting(context):
    connecting = {}

    async def connect_late(pool, address):
        channel = await context.connect_channel(pool, address)
        gate = connecting.setdefault(address, asyncio.Event())
        await gate.wait()
        return channel

    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            first, other = find_endpoints(fixture, "shop")
            attempts.connect_channel = connect_late
            with busy(fixture, other.name):
                waiting = asyncio.create_task(call(fixture, ORDER, request_id="late"))
                while first.address not in connecting:
                    await asyncio.sleep(0.01)
                attempts.connect_channel = context.connect_channel
                first.notices = [NOTICE]
                await call(fixture, LOOKUP, request_id="teller")
            connecting[first.address].set()
            return await waiting, first, other

    try:
        context.result = asyncio.run(run())
    finally:
        attempts.connect_channel = context.connect_channel


@then("the request is answered by the other endpoint and the first one gets nothing")
def check_sent_to_other(context):
    answer, first, other = context.result
    assert first.runs["teller"] == 1, first.runs
    assert answer.status == 200, answer
    assert other.runs["late"] == 1 and not first.runs["late"], (first.runs, other.runs)


@given("two endpoints of which both have said that they leave")
def note_all_leave(context):
    pass


@when("one more request is sent")
def send_when_all_leave(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            endpoints = find_endpoints(fixture, "shop")
            for one, other in (endpoints, endpoints[::-1]):
                one.notices = [NOTICE]
                with busy(fixture, other.name):
                    await call(fixture, LOOKUP, request_id=f"to-{one.name}")
            before = [len(one.requests) for one in endpoints]
            answer = await call(fixture, ORDER, request_id="late")
            after = [len(one.requests) for one in endpoints]
            return answer, before, after

    context.result = asyncio.run(run())


@then("it is refused at once as not run, with a time to come back")
def check_refused(context):
    answer, before, after = context.result
    assert before == after == [1, 1], (before, after)
    check_refused_at_once(answer)
    assert float(answer.header("retry-after")) > 0, answer


@given("a stream at an endpoint that breaks off, and another endpoint that leaves")
def note_stream(context):
    pass


@when("the stream breaks off")
def break_stream(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            first, other = find_endpoints(fixture, "model")
            first.behavior = Behavior.CUT_STREAM
            other.notices = [NOTICE]
            names = [first.name, other.name]
            parts = parts_at(other.name, names)
            await call(fixture, CHAT, request_id="teller", parts=parts)
            assert other.runs["teller"] == 1, other.runs
            parts = parts_at(first.name, names)
            answer = await call(fixture, CHAT, request_id="broken", parts=parts)
            return answer, first, other

    context.result = asyncio.run(run())


@then("the endpoint that leaves gets no request for the rest")
def check_not_continued(context):
    answer, first, other = context.result
    assert first.runs["broken"] == 1, first.runs
    assert not other.runs["broken"] and not answer.whole, (other.runs, answer)


@given("an endpoint that said that it leaves during an outage of the store")
def note_outage(context):
    pass


@when("the store returns without its entry")
def return_without_entry(context):
    async def run():
        async with start_fixture() as fixture:
            endpoint = find_endpoints(fixture, "shop")[0]
            fixture.store.fault = StoreFault.REFUSE
            endpoint.notices = [NOTICE]
            await call(fixture, LOOKUP)
            await asyncio.sleep(OUTAGE_S)
            unlist_endpoint(fixture.store, endpoint)
            fixture.store.fault = StoreFault.NONE
            view = fixture.router.fleet_view
            await wait_until(view.changed, lambda: view.failing_since_ms is None, 2_000)
            return endpoint.runs.total(), usable_endpoints(view, "shop")

    context.result = asyncio.run(run())


@then("no endpoint of its service is usable")
def check_none_usable(context):
    n_runs, usable = context.result
    assert n_runs == 1 and not usable, (n_runs, usable)
