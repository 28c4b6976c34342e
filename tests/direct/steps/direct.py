"""Steps that send requests through a router to endpoints on loopback."""

import asyncio
import json
import socket
import struct
import time

from behave import then, use_step_matcher, when
from pulley_platform_standins.endpoints import Behavior, list_endpoint, unlist_endpoint
from pulley_platform_standins.stores import (
    StoreFault,
    compact_history,
    put_document,
    put_item,
)
from scenes import (
    CHAT,
    LOOKUP,
    ONCE,
    OPEN,
    ORDER,
    TOKEN,
    add_endpoint,
    call,
    configuration,
    publish,
    start_fixture,
    wait_until_synced,
)

from pulley_adapter.documents import decode_configuration
from pulley_direct.beliefs import install_configuration, usable_endpoints
from pulley_direct.budgets import get_budget
from pulley_direct.loads import get_state, is_backing_off
from pulley_direct.signals import wait_until
from pulley_direct.trust import is_ready

use_step_matcher("parse")

PATHS = {"an order": ORDER, "a lookup": LOOKUP, "a stream": CHAT}
MAX_CANCEL_S = 0.5
RESERVED = {
    "tenant": "another",
    "hold": "h-1",
    "pin-ms": "1000",
    "kv-backup": "10.0.0.1:1",
    "kv-from": "10.0.0.1:1/h",
    "kv-fetch": "10.0.0.1:1",
    "expect-instance": "another",
    "request-priority": "0",
}


def find_endpoints(fixture, service):
    return [one for one in fixture.endpoints if one.service == service]


def total_runs(fixture):
    return sum(one.runs.total() for one in fixture.endpoints)


@when("a caller sends headers that are reserved for the fleet")
def send_reserved_headers(context):
    async def run():
        async with start_fixture() as fixture:
            reserved_headers = [
                (name.encode(), value.encode()) for name, value in RESERVED.items()
            ]
            reserved_headers.append((b"x-colour", b"green"))
            await call(fixture, ORDER, headers=reserved_headers)
            return find_endpoints(fixture, "shop")[0].requests[-1]

    context.request = asyncio.run(run())
    context.got = {
        key.decode(): value.decode() for key, value in context.request.headers
    }


@then("the endpoint gets its own name, the team and the remaining time")
def check_fleet_headers(context):
    assert context.got["expect-instance"] == "shop-0", context.got
    assert context.got["tenant"] == "orto", context.got
    assert 900 < int(context.got["deadline-ms"]) <= 1_000, context.got
    assert context.got["attempt-id"] == "request-1", context.got
    assert context.got["x-colour"] == "green", context.got


@then("it gets neither the token nor the reserved headers that the caller sent")
def check_no_reserved_headers(context):
    assert "authorization" not in context.got, context.got
    forwarded_names = {
        name for name, value in RESERVED.items() if context.got.get(name) == value
    }
    assert not forwarded_names, forwarded_names


@when("a caller sends a request to a healthy endpoint")
def send_request_to_healthy(context):
    async def run():
        async with start_fixture() as fixture:
            return await call(fixture, ORDER)

    context.answer = asyncio.run(run())


@then("the caller gets the endpoint's status, body and stamp")
def check_answer_unchanged(context):
    answer = context.answer
    assert (answer.status, answer.body) == (200, b"done\n"), answer
    assert answer.header("server-stamp") == "stamp-of-shop-0", answer
    assert answer.whole


@when("a caller sends {kind} while all endpoints are {behavior}")
def send_while_all_behave_as(context, kind, behavior):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            for endpoint in fixture.endpoints:
                endpoint.behavior = Behavior(behavior)
            answer = await call(fixture, PATHS[kind], timeout_ms=600)
            return answer, total_runs(fixture)

    context.answer, context.n_runs = asyncio.run(run())


@when("a caller sends a lookup while the first endpoint is {behavior}")
def send_lookup_while_first_behaves_as(context, behavior):
    async def run():
        async with start_fixture(n_endpoints=1) as fixture:
            fixture.endpoints[0].behavior = Behavior(behavior)
            await add_endpoint(fixture, "shop-1", "shop")
            await wait_until_synced(fixture)
            # Make the other endpoint look busy, so the first one is chosen.
            get_state(fixture.router.loads, "shop-1").in_flight = 3
            answer = await call(fixture, LOOKUP, timeout_ms=1_500)
            assert fixture.endpoints[0].runs.total() == 1, fixture.endpoints[0]
            return answer, total_runs(fixture)

    context.answer, context.n_runs = asyncio.run(run())


@then('the answer has the status {status:d} and the outcome "{outcome}"')
def check_status_and_outcome(context, status, outcome):
    found = (context.answer.status, context.answer.header("pulley-outcome"))
    assert found == (status, outcome), context.answer


@then('the answer has the status {status:d} and the outcome ""')
def check_status_and_no_outcome(context, status):
    found = (context.answer.status, context.answer.header("pulley-outcome"))
    assert found == (status, ""), context.answer


@then("it ran {n_runs:d} times")
def check_n_runs(context, n_runs):
    assert context.n_runs == n_runs, context.n_runs


@then("the answer's Retry-After is a fraction of a second")
def check_fractional_retry_after(context):
    assert 0 < float(context.answer.header("retry-after")) < 1, context.answer


@then("it arrived before half of the timeout had passed")
def check_early_answer(context):
    assert context.answer.took_ms < 750, context.answer


@when("a caller reads a resumable stream from an endpoint that breaks off")
def read_breaking_resumable_stream(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            for endpoint in find_endpoints(fixture, "model"):
                endpoint.n_events = 6
                endpoint.n_events_before_cut = 2
                endpoint.behavior = Behavior.CUT_STREAM
            task = asyncio.create_task(call(fixture, CHAT, timeout_ms=3_000))
            while not total_runs(fixture):
                await asyncio.sleep(0)
            for endpoint in find_endpoints(fixture, "model"):
                if not endpoint.runs:
                    endpoint.behavior = Behavior.NORMAL
            return await task, fixture.endpoints

    context.answer, context.endpoints = asyncio.run(run())


@then("it gets every event once and in order, and the stream is complete")
def check_all_events(context):
    lines = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 7)]
    assert context.answer.body == b"".join(lines), context.answer
    assert context.answer.whole


@then("the second endpoint was asked to resume after the last whole event")
def check_resume_position(context):
    second = [one for one in context.endpoints if one.behavior is Behavior.NORMAL]
    (request,) = [r for one in second for r in one.requests if one.service == "model"]
    assert dict(request.headers)[b"last-event-id"] == b"2", request


@when("a caller reads a non-resumable stream from an endpoint that breaks off")
def read_breaking_stream(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            for endpoint in find_endpoints(fixture, "model"):
                endpoint.behavior = Behavior.CUT_STREAM
            return await call(fixture, ONCE, timeout_ms=3_000), total_runs(fixture)

    context.answer, context.n_runs = asyncio.run(run())


@then("the stream ends incomplete")
def check_incomplete_stream(context):
    assert context.answer.status == 200 and not context.answer.whole, context.answer


@then("only one endpoint ran it")
def check_one_run(context):
    assert context.n_runs == 1, context.n_runs


async def serve_raw(answers):
    """Start a server that sends raw answers, one for each request on a connection.

    Each answer is a pair of its bytes and ``close``, ``reset`` or an empty
    string: how the connection ends after it.
    """

    async def serve(reader, writer):
        try:
            for data, end in answers:
                head = await reader.readuntil(b"\r\n\r\n")
                length = [
                    int(line.split(b":")[1])
                    for line in head.lower().split(b"\r\n")
                    if line.startswith(b"content-length")
                ]
                await reader.readexactly(length[0] if length else 0)
                writer.write(data)
                await writer.drain()
                if end == "reset":
                    linger = struct.pack("ii", 1, 0)
                    sock = writer.get_extra_info("socket")
                    await asyncio.sleep(0.05)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                    return
                if end == "close":
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def list_raw_server(fixture, server, name="raw"):
    """List a raw server as the only endpoint of the shop service."""
    for endpoint in find_endpoints(fixture, "shop"):
        unlist_endpoint(fixture.store, endpoint)
    port = server.sockets[0].getsockname()[1]
    row = {"service": "shop", "address": f"127.0.0.1:{port}", "zone": "here"}
    put_document(
        fixture.store, f"servers/{name}", row | {"slots": 4, "state": "ready", "seq": 1}
    )


def raw_answer(request_id, body, framing="content-length: %d\r\n"):
    framed = framing % len(body) if "%" in framing else framing
    head = f"HTTP/1.1 200 OK\r\nattempt-id: {request_id}\r\n{framed}\r\n"
    return head.encode() + body


@when("an endpoint repeats its answer to an earlier request before the next one")
def repeat_earlier_answer(context):
    async def run():
        first = raw_answer("request-1", b"first")
        second = raw_answer("request-1", b"first") + raw_answer("request-2", b"second")
        server = await serve_raw([(first, ""), (second, "")])
        async with start_fixture() as fixture:
            list_raw_server(fixture, server)
            await wait_until_synced(fixture)
            await call(fixture, ORDER, request_id="request-1")
            answer = await call(fixture, ORDER, request_id="request-2")
        server.close()
        return answer

    context.answer = asyncio.run(run())


@then("the caller gets the answer to its own request")
def check_matching_answer(context):
    assert (context.answer.status, context.answer.body) == (200, b"second"), (
        context.answer
    )


@when("an endpoint ends an answer without a length with a {end}")
def end_answer_without_length(context, end):
    async def run():
        server = await serve_raw([(raw_answer("request-1", b"all", ""), end)])
        async with start_fixture() as fixture:
            list_raw_server(fixture, server)
            await wait_until_synced(fixture)
            answer = await call(fixture, ORDER)
        server.close()
        return answer

    context.answer = asyncio.run(run())


@when("a caller hangs up on a stream")
def hang_up_on_stream(context):
    async def run():
        async with start_fixture() as fixture:
            endpoint = find_endpoints(fixture, "model")[0]
            endpoint.n_events, endpoint.event_ms = 1_000, 20
            task = asyncio.create_task(call(fixture, CHAT, timeout_ms=30_000))
            while not endpoint.n_running:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(MAX_CANCEL_S)
            return endpoint.n_running

    context.n_running = asyncio.run(run())


@then("the endpoint's work is cancelled within half a second")
def check_work_cancelled(context):
    assert context.n_running == 0, context.n_running


@when("the store is silent for longer than tokens are accepted without it")
def silence_store(context):
    async def run():
        async with start_fixture(revoke_ms=1_000) as fixture:
            fixture.store.fault = StoreFault.NO_ANSWER
            await asyncio.sleep(1.2)
            with_token = await call(fixture, ORDER)
            public = await call(fixture, OPEN, token=None)
            return with_token, public, is_ready(fixture.router)

    context.answer, context.public, context.ready = asyncio.run(run())


@then('a request with a token is refused as not run for "{reason}"')
@then('a stream is refused as not run for "{reason}"')
def check_refused_not_run(context, reason):
    answer = context.answer
    assert answer.status == 503, answer
    assert answer.header("pulley-reason") == reason, answer
    assert answer.header("pulley-outcome") == "not-run", answer


@then("a request on a public route is answered")
def check_public_route(context):
    assert context.public.status == 200, context.public


@when("a token is removed while its caller keeps its connection")
def remove_token(context):
    async def run():
        async with start_fixture() as fixture:
            before = await call(fixture, ORDER)
            assert before.status == 200, before
            publish(fixture, 2, tokens=["another-token"])
            await wait_until_synced(fixture)
            return await call(fixture, ORDER, request_id="request-2")

    context.answer = asyncio.run(run())


@then('the next request on that connection is refused for "{reason}"')
def check_token_refused(context, reason):
    answer = context.answer
    assert (answer.status, answer.header("pulley-reason")) == (401, reason), answer


@when("an older configuration is read after a newer one")
def install_older_configuration(context):
    async def run():
        async with start_fixture() as fixture:
            fleet_view = fixture.router.fleet_view
            for version in (9, 4):
                found = decode_configuration(configuration(version, [TOKEN]))
                install_configuration(fleet_view, found)
            return fleet_view.configuration.version

    context.version = asyncio.run(run())


@then("the newer one stays in force")
def check_newer_in_force(context):
    assert context.version == 9, context.version


@when("an endpoint starts draining")
def drain_endpoint(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            draining = find_endpoints(fixture, "shop")[0]
            list_endpoint(fixture.store, draining, "draining")
            await asyncio.sleep(0.2)
            draining.requests.clear()
            for number in range(10):
                await call(fixture, LOOKUP, request_id=f"request-{number}")
            return draining.requests

    context.late_requests = asyncio.run(run())


@then("no request reaches it")
def check_no_late_requests(context):
    assert not context.late_requests, context.late_requests


@when("the store returns from an outage without an endpoint's entry")
def lose_entry_in_outage(context):
    async def run():
        async with start_fixture() as fixture:
            fixture.store.fault = StoreFault.REFUSE
            await asyncio.sleep(1.3)
            unlist_endpoint(fixture.store, find_endpoints(fixture, "shop")[0])
            fixture.store.fault = StoreFault.NONE
            await asyncio.sleep(0.8)
            fleet_view = fixture.router.fleet_view
            during = len(usable_endpoints(fleet_view, "shop"))
            await asyncio.sleep(2.4)
            return during, len(usable_endpoints(fleet_view, "shop"))

    context.counts = asyncio.run(run())


@then("the endpoint is used until the grace period is over")
def check_grace_period(context):
    assert context.counts == (1, 0), context.counts


@when("invalid entries are written")
def write_invalid_entries(context):
    async def run():
        async with start_fixture() as fixture:
            store = fixture.store
            valid_row = {"service": "shop", "address": "127.0.0.1:9", "zone": "here"}
            valid_row |= {"slots": 4, "state": "ready"}
            invalid_rows = [
                valid_row | {"state": "resting"},
                valid_row | {"slots": "four"},
                valid_row | {"address": "nowhere"},
                valid_row | {"service": 5},
                {key: valid_row[key] for key in ("service", "address")},
            ]
            for number, document in enumerate(invalid_rows):
                put_document(store, f"servers/wrong-{number}", document)
            put_item(store, "servers/bytes", b"\xff\xfe\x00")
            put_item(store, "servers/list", json.dumps([1]).encode())
            await asyncio.sleep(0.3)
            await add_endpoint(fixture, "shop-1", "shop")
            await asyncio.sleep(0.3)
            answers = [
                await call(fixture, LOOKUP, request_id=f"request-{number}")
                for number in range(5)
            ]
            return answers, usable_endpoints(fixture.router.fleet_view, "shop")

    context.answers, context.usable = asyncio.run(run())


@then("requests still reach the valid endpoints, also one listed later")
def check_valid_endpoints_used(context):
    assert [one.status for one in context.answers] == [200] * 5, context.answers
    names = {one.name for one in context.usable}
    assert names == {"shop-0", "shop-1"}, context.usable


@when("the store loses its history and an endpoint joins")
def lose_history(context):
    async def run():
        async with start_fixture() as fixture:
            put_item(fixture.store, "op/other", b"{}")
            compact_history(fixture.store)
            joined = await add_endpoint(fixture, "shop-9", "shop")
            unlist_endpoint(fixture.store, find_endpoints(fixture, "shop")[0])
            compact_history(fixture.store)
            await asyncio.sleep(0.8)
            return await call(fixture, ORDER), joined

    context.answer, context.joined = asyncio.run(run())


@then("requests reach the endpoint that joined")
def check_joined_endpoint_used(context):
    assert context.answer.status == 200, context.answer
    assert context.joined.runs.total() == 1, context.joined


@when("a router is stopping and the load balancer has removed it")
def send_while_stopping(context):
    async def run():
        async with start_fixture() as fixture:
            clock = fixture.router.clock
            fixture.router.stops_at_ms = clock.now_ms() + 1_000
            long_route = configuration(2, [TOKEN])
            for row in long_route["routes"]:
                row["timeoutMs"] = 12_000 if row["type"] == "stream" else 400
            put_document(fixture.store, "op/config", long_route)
            fixture.version = 2
            await wait_until_synced(fixture)
            stream = await call(fixture, CHAT, timeout_ms=12_000)
            lookup = await call(fixture, LOOKUP, timeout_ms=12_000)
            return stream, lookup

    context.answer, context.lookup = asyncio.run(run())


@then("a lookup is answered")
def check_lookup_answered(context):
    assert context.lookup.status == 200, context.lookup


@when("a request arrives before the store has answered")
def send_before_configuration(context):
    async def run():
        async with start_fixture(known=False) as fixture:
            task = asyncio.create_task(call(fixture, ORDER, timeout_ms=5_000))
            await asyncio.sleep(0.2)
            publish(fixture, 1)
            return await task

    context.answer = asyncio.run(run())


@then("it is answered after the configuration arrives")
def check_answered_after_configuration(context):
    assert context.answer.status == 200, context.answer


@when("a request with a short deadline gets no answer")
def miss_short_deadline(context):
    async def run():
        async with start_fixture() as fixture:
            endpoint = find_endpoints(fixture, "shop")[0]
            endpoint.behavior = Behavior.NO_ANSWER
            answer = await call(fixture, ORDER, timeout_ms=200)
            return answer, is_backing_off(fixture.router.loads, endpoint.name)

    context.answer, context.held_off = asyncio.run(run())


@then("its endpoint is not in backoff")
def check_no_backoff(context):
    assert context.answer.status == 504, context.answer
    assert not context.held_off


@when("an endpoint's address is taken over by another service's endpoint")
def take_over_address(context):
    async def run():
        async with start_fixture() as fixture:
            model = find_endpoints(fixture, "model")[0]
            row = {"service": "shop", "address": model.address, "zone": "here"}
            row |= {"slots": 99, "state": "ready", "born": int(time.time() * 1_000)}
            put_document(fixture.store, "servers/shop-old", row)
            await asyncio.sleep(0.3)
            # Make the valid endpoint look busy, so that the stale one is chosen first.
            get_state(fixture.router.loads, "shop-0").in_flight = 1
            answers = [
                await call(fixture, LOOKUP, request_id=f"request-{number}")
                for number in range(4)
            ]
            return answers, model

    context.answers, context.model = asyncio.run(run())


@then("the request is answered by an endpoint of its own service")
def check_own_service_answers(context):
    stamps = {one.header("server-stamp") for one in context.answers}
    assert stamps == {"stamp-of-shop-0"}, context.answers
    assert context.model.requests and not context.model.runs, context.model


@then("the refusal came within {most_ms:d} ms with a Retry-After of almost zero")
def check_refusal_time(context, most_ms):
    assert context.answer.status == 503, context.answer
    assert context.answer.took_ms < most_ms, context.answer
    assert float(context.answer.header("retry-after")) < 0.1, context.answer


@then("the router is not ready")
def check_not_ready(context):
    assert not context.ready


@when("watches hang while the configuration changes")
def hang_watches(context):
    async def run():
        async with start_fixture(configuration_ms=2_000) as fixture:
            fixture.store.fault = StoreFault.HANG_WATCHES
            await asyncio.sleep(1.2)
            publish(fixture, 2)
            started_ms = fixture.router.clock.now_ms()
            fleet_view = fixture.router.fleet_view
            await wait_until(
                fleet_view.changed, lambda: fleet_view.configuration.version == 2, 5_000
            )
            return fixture.router.clock.now_ms() - started_ms

    context.took_ms = asyncio.run(run())


@then("the change is in force within its time limit")
def check_in_force(context):
    assert context.took_ms < 2_000, context.took_ms


@when("an endpoint is silent for a while and no retry is left")
def silence_endpoint(context):
    async def run():
        async with start_fixture(
            n_endpoints=2, retry_slack=0, retry_ratio=0
        ) as fixture:
            for endpoint in find_endpoints(fixture, "model"):
                endpoint.pause_ms = 1_700
            await call(fixture, ORDER)
            get_budget(fixture.router, "model").left = 0.0
            answer = await call(fixture, CHAT, timeout_ms=4_000)
            runs = sum(one.runs.total() for one in find_endpoints(fixture, "model"))
            return answer, runs

    context.answer, context.n_runs = asyncio.run(run())


@then("the stream is complete, and one endpoint ran it")
def check_complete_stream_run_once(context):
    assert context.answer.whole and context.answer.body.count(b"id:") == 5, (
        context.answer
    )
    assert context.n_runs == 1, context.n_runs


@when(
    "{n_callers:d} callers stream at once from an endpoint that accepts 50 connections"
)
def open_many_streams(context, n_callers):
    async def run():
        async with start_fixture() as fixture:
            endpoint = find_endpoints(fixture, "model")[0]
            endpoint.event_ms = 100
            calls = [
                call(fixture, CHAT, request_id=f"request-{number}", timeout_ms=4_000)
                for number in range(n_callers)
            ]
            return await asyncio.gather(*calls), endpoint.runs.total()

    context.answers, context.n_runs = asyncio.run(run())


@then("at most {most:d} of them run, and the others are refused as not run")
def check_channel_share(context, most):
    statuses = [one.status for one in context.answers]
    assert 0 < context.n_runs <= most, context.n_runs
    assert statuses.count(200) == context.n_runs, statuses
    assert statuses.count(503) == len(statuses) - context.n_runs, statuses


@when("a stream breaks off and the other endpoint fails to resume it")
def fail_resume(context):
    async def run():
        async with start_fixture(n_endpoints=2) as fixture:
            models = find_endpoints(fixture, "model")
            for endpoint in models:
                endpoint.behavior = Behavior.CUT_STREAM
            task = asyncio.create_task(call(fixture, CHAT, timeout_ms=3_000))
            while not total_runs(fixture):
                await asyncio.sleep(0)
            for endpoint in models:
                if not endpoint.runs:
                    endpoint.behavior = Behavior.FAILING
            answer = await task
            states = fixture.router.loads.states.values()
            return answer, sum(state.in_flight for state in states)

    context.answer, context.n_in_flight = asyncio.run(run())


@then("no endpoint counts a request in flight")
def check_in_flight(context):
    assert context.n_in_flight == 0, context.n_in_flight
