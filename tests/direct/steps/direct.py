"""Steps that send requests through a router to endpoints on loopback."""

import asyncio
import json
import socket
import struct
import time

from behave import then, use_step_matcher, when
from pulley_platform_standins.endpoints import Manner, list_endpoint, unlist_endpoint
from pulley_platform_standins.stores import (
    Mood,
    forget_history,
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
    open_scene,
    publish,
    settled,
)

from pulley_adapter.documents import decode_configuration
from pulley_direct.beliefs import install_configuration, usable_endpoints
from pulley_direct.budgets import get_budget
from pulley_direct.loads import get_state, is_backing_off
from pulley_direct.signals import wait_until
from pulley_direct.trust import is_ready

use_step_matcher("parse")

PATHS = {"an order": ORDER, "a lookup": LOOKUP, "a stream": CHAT}
GONE_AFTER_S = 0.5
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


def endpoints_of(scene, service):
    return [one for one in scene.endpoints if one.service == service]


def total_runs(scene):
    return sum(one.runs.total() for one in scene.endpoints)


@when("a caller sends headers that only the fleet may set")
def play_caller_sends_headers_only_fleet(context):
    async def play():
        async with open_scene() as scene:
            pairs = [
                (name.encode(), value.encode()) for name, value in RESERVED.items()
            ]
            pairs.append((b"x-colour", b"green"))
            await call(scene, ORDER, headers=pairs)
            return endpoints_of(scene, "shop")[0].requests[-1]

    context.request = asyncio.run(play())
    context.got = {
        key.decode(): value.decode() for key, value in context.request.headers
    }


@then("the endpoint gets its own name, the team and what is left of the time")
def check_endpoint_gets_own_name_team(context):
    assert context.got["expect-instance"] == "shop-0", context.got
    assert context.got["tenant"] == "orto", context.got
    assert 900 < int(context.got["deadline-ms"]) <= 1_000, context.got
    assert context.got["attempt-id"] == "request-1", context.got
    assert context.got["x-colour"] == "green", context.got


@then("it gets neither the token nor the caller's reserved headers")
def check_gets_neither_token_nor_caller(context):
    assert "authorization" not in context.got, context.got
    kept = {name for name, value in RESERVED.items() if context.got.get(name) == value}
    assert not kept, kept


@when("a caller sends a request to a sound endpoint")
def play_caller_sends_request_sound_endpoint(context):
    async def play():
        async with open_scene() as scene:
            return await call(scene, ORDER)

    context.answer = asyncio.run(play())


@then("the caller gets the endpoint's status, body and stamp")
def check_caller_gets_endpoint_s_status(context):
    answer = context.answer
    assert (answer.status, answer.body) == (200, b"done\n"), answer
    assert answer.header("server-stamp") == "stamp-of-shop-0", answer
    assert answer.whole


@when("a caller sends {kind} while all endpoints are {manner}")
def play_caller_sends_while_all_endpoints(context, kind, manner):
    async def play():
        async with open_scene(n_endpoints=2) as scene:
            for endpoint in scene.endpoints:
                endpoint.manner = Manner(manner)
            answer = await call(scene, PATHS[kind], timeout_ms=600)
            return answer, total_runs(scene)

    context.answer, context.n_runs = asyncio.run(play())


@when("a caller sends a lookup while the first endpoint is {manner}")
def play_caller_sends_lookup_while_first(context, manner):
    async def play():
        async with open_scene(n_endpoints=1) as scene:
            scene.endpoints[0].manner = Manner(manner)
            await add_endpoint(scene, "shop-1", "shop")
            await settled(scene)
            # The other endpoint looks busy, so the first one is chosen.
            get_state(scene.router.loads, "shop-1").in_flight = 3
            answer = await call(scene, LOOKUP, timeout_ms=1_500)
            assert scene.endpoints[0].runs.total() == 1, scene.endpoints[0]
            return answer, total_runs(scene)

    context.answer, context.n_runs = asyncio.run(play())


@then('the answer has the status {status:d} and the outcome "{outcome}"')
def check_answer_has_status_outcome(context, status, outcome):
    found = (context.answer.status, context.answer.header("pulley-outcome"))
    assert found == (status, outcome), context.answer


@then('the answer has the status {status:d} and the outcome ""')
def check_answer_has_status_outcome_2(context, status):
    found = (context.answer.status, context.answer.header("pulley-outcome"))
    assert found == (status, ""), context.answer


@then("it ran {n_runs:d} times")
def check_ran_times(context, n_runs):
    assert context.n_runs == n_runs, context.n_runs


@then("the answer's Retry-After is a fraction of a second")
def check_answer_s_retry_after_fraction(context):
    assert 0 < float(context.answer.header("retry-after")) < 1, context.answer


@then("it came before half of the time had passed")
def check_came_before_half_time_had(context):
    assert context.answer.took_ms < 750, context.answer


@when("a caller reads a resumable stream from an endpoint that breaks off")
def play_caller_reads_resumable_stream_from(context):
    async def play():
        async with open_scene(n_endpoints=2) as scene:
            for endpoint in endpoints_of(scene, "model"):
                endpoint.n_events = 6
                endpoint.break_after = 2
                endpoint.manner = Manner.BREAKING
            task = asyncio.create_task(call(scene, CHAT, timeout_ms=3_000))
            while not total_runs(scene):
                await asyncio.sleep(0)
            for endpoint in endpoints_of(scene, "model"):
                if not endpoint.runs:
                    endpoint.manner = Manner.SOUND
            return await task, scene.endpoints

    context.answer, context.endpoints = asyncio.run(play())


@then("it gets every event once and in order, and the stream ends whole")
def check_gets_every_event_once_order(context):
    lines = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 7)]
    assert context.answer.body == b"".join(lines), context.answer
    assert context.answer.whole


@then("the second endpoint was asked to go on after the last whole event")
def check_second_endpoint_was_asked_go(context):
    second = [one for one in context.endpoints if one.manner is Manner.SOUND]
    (request,) = [r for one in second for r in one.requests if one.service == "model"]
    assert dict(request.headers)[b"last-event-id"] == b"2", request


@when("a caller reads another stream from an endpoint that breaks off")
def play_caller_reads_another_stream_from(context):
    async def play():
        async with open_scene(n_endpoints=2) as scene:
            for endpoint in endpoints_of(scene, "model"):
                endpoint.manner = Manner.BREAKING
            return await call(scene, ONCE, timeout_ms=3_000), total_runs(scene)

    context.answer, context.n_runs = asyncio.run(play())


@then("the stream ends without looking whole")
def check_stream_ends_without_looking_whole(context):
    assert context.answer.status == 200 and not context.answer.whole, context.answer


@then("only one endpoint ran it")
def check_only_one_endpoint_ran(context):
    assert context.n_runs == 1, context.n_runs


async def serve_raw(answers):
    """Serve raw answers, one for each request that arrives on a connection."""

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


def list_raw(scene, server, name="raw"):
    """List a raw server as the only endpoint of the shop."""
    for endpoint in endpoints_of(scene, "shop"):
        unlist_endpoint(scene.store, endpoint)
    port = server.sockets[0].getsockname()[1]
    row = {"service": "shop", "address": f"127.0.0.1:{port}", "zone": "here"}
    put_document(
        scene.store, f"servers/{name}", row | {"slots": 4, "state": "ready", "seq": 1}
    )


def raw_answer(request_id, body, framing="content-length: %d\r\n"):
    framed = framing % len(body) if "%" in framing else framing
    head = f"HTTP/1.1 200 OK\r\nattempt-id: {request_id}\r\n{framed}\r\n"
    return head.encode() + body


@when("an endpoint answers an earlier request once more before the awaited one")
def play_endpoint_answers_earlier_request_once(context):
    async def play():
        first = raw_answer("request-1", b"first")
        second = raw_answer("request-1", b"first") + raw_answer("request-2", b"second")
        server = await serve_raw([(first, ""), (second, "")])
        async with open_scene() as scene:
            list_raw(scene, server)
            await settled(scene)
            await call(scene, ORDER, request_id="request-1")
            answer = await call(scene, ORDER, request_id="request-2")
        server.close()
        return answer

    context.answer = asyncio.run(play())


@then("the caller gets the answer to its own request")
def check_caller_gets_answer_own_request(context):
    assert (context.answer.status, context.answer.body) == (200, b"second"), (
        context.answer
    )


@when("an endpoint without a length ends its answer with a {end}")
def play_endpoint_without_length_ends_answer(context, end):
    async def play():
        server = await serve_raw([(raw_answer("request-1", b"all", ""), end)])
        async with open_scene() as scene:
            list_raw(scene, server)
            await settled(scene)
            answer = await call(scene, ORDER)
        server.close()
        return answer

    context.answer = asyncio.run(play())


@when("a caller hangs up on a stream")
def play_caller_hangs_up_stream(context):
    async def play():
        async with open_scene() as scene:
            endpoint = endpoints_of(scene, "model")[0]
            endpoint.n_events, endpoint.event_ms = 1_000, 20
            task = asyncio.create_task(call(scene, CHAT, timeout_ms=30_000))
            while not endpoint.n_running:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(GONE_AFTER_S)
            return endpoint.n_running

    context.n_running = asyncio.run(play())


@then("the endpoint's work ends within half a second")
def check_endpoint_s_work_ends_within(context):
    assert context.n_running == 0, context.n_running


@when("the store falls silent for longer than tokens are trusted")
def play_store_falls_silent_longer_than(context):
    async def play():
        async with open_scene(revoke_ms=1_000) as scene:
            scene.store.mood = Mood.SILENT
            await asyncio.sleep(1.2)
            keyed = await call(scene, ORDER)
            public = await call(scene, OPEN, token=None)
            return keyed, public, is_ready(scene.router)

    context.answer, context.public, context.ready = asyncio.run(play())


@then('a request with a token is refused as not run for "{reason}"')
@then('a stream is refused as not run for "{reason}"')
def check_stream_refused_not_run(context, reason):
    answer = context.answer
    assert answer.status == 503, answer
    assert answer.header("pulley-reason") == reason, answer
    assert answer.header("pulley-outcome") == "not-run", answer


@then("a request on a public route is answered")
def check_request_public_route_answered(context):
    assert context.public.status == 200, context.public


@when("a token is removed while its caller keeps its connection")
def play_token_removed_while_caller_keeps(context):
    async def play():
        async with open_scene() as scene:
            before = await call(scene, ORDER)
            assert before.status == 200, before
            publish(scene, 2, tokens=["another-token"])
            await settled(scene)
            return await call(scene, ORDER, request_id="request-2")

    context.answer = asyncio.run(play())


@then('the next request on that connection is refused for "{reason}"')
def check_next_request_connection_refused(context, reason):
    answer = context.answer
    assert (answer.status, answer.header("pulley-reason")) == (401, reason), answer


@when("an older configuration is read after a newer one")
def play_older_configuration_read_after_newer(context):
    async def play():
        async with open_scene() as scene:
            beliefs = scene.router.beliefs
            for version in (9, 4):
                found = decode_configuration(configuration(version, [TOKEN]))
                install_configuration(beliefs, found)
            return beliefs.configuration.version

    context.version = asyncio.run(play())


@then("the newer one stays in force")
def check_newer_one_stays_force(context):
    assert context.version == 9, context.version


@when("an endpoint begins to drain")
def play_endpoint_begins_drain(context):
    async def play():
        async with open_scene(n_endpoints=2) as scene:
            leaving = endpoints_of(scene, "shop")[0]
            list_endpoint(scene.store, leaving, "draining")
            await asyncio.sleep(0.2)
            leaving.requests.clear()
            for number in range(10):
                await call(scene, LOOKUP, request_id=f"request-{number}")
            return leaving.requests

    context.late = asyncio.run(play())


@then("no request reaches it")
def check_no_request_reaches(context):
    assert not context.late, context.late


@when("the store comes back without an endpoint's entry")
def play_store_comes_back_without_endpoint(context):
    async def play():
        async with open_scene() as scene:
            scene.store.mood = Mood.REFUSING
            await asyncio.sleep(1.3)
            unlist_endpoint(scene.store, endpoints_of(scene, "shop")[0])
            scene.store.mood = Mood.WELL
            await asyncio.sleep(0.8)
            beliefs = scene.router.beliefs
            during = len(usable_endpoints(beliefs, "shop"))
            await asyncio.sleep(2.4)
            return during, len(usable_endpoints(beliefs, "shop"))

    context.counts = asyncio.run(play())


@then("the endpoint is used until the grace time is over")
def check_endpoint_used_until_grace_time(context):
    assert context.counts == (1, 0), context.counts


@when("entries are written that can't be read")
def play_entries_are_written_can_t(context):
    async def play():
        async with open_scene() as scene:
            store = scene.store
            sound = {"service": "shop", "address": "127.0.0.1:9", "zone": "here"}
            sound |= {"slots": 4, "state": "ready"}
            wrong = [
                sound | {"state": "resting"},
                sound | {"slots": "four"},
                sound | {"address": "nowhere"},
                sound | {"service": 5},
                {key: sound[key] for key in ("service", "address")},
            ]
            for number, document in enumerate(wrong):
                put_document(store, f"servers/wrong-{number}", document)
            put_item(store, "servers/bytes", b"\xff\xfe\x00")
            put_item(store, "servers/list", json.dumps([1]).encode())
            await asyncio.sleep(0.3)
            await add_endpoint(scene, "shop-1", "shop")
            await asyncio.sleep(0.3)
            answers = [
                await call(scene, LOOKUP, request_id=f"request-{number}")
                for number in range(5)
            ]
            return answers, usable_endpoints(scene.router.beliefs, "shop")

    context.answers, context.usable = asyncio.run(play())


@then("requests still reach the sound endpoints, also one listed later")
def check_requests_still_reach_sound_endpoints(context):
    assert [one.status for one in context.answers] == [200] * 5, context.answers
    names = {one.name for one in context.usable}
    assert names == {"shop-0", "shop-1"}, context.usable


@when("the store forgets its history and an endpoint joins")
def play_store_forgets_history_endpoint_joins(context):
    async def play():
        async with open_scene() as scene:
            put_item(scene.store, "op/other", b"{}")
            forget_history(scene.store)
            joined = await add_endpoint(scene, "shop-9", "shop")
            unlist_endpoint(scene.store, endpoints_of(scene, "shop")[0])
            forget_history(scene.store)
            await asyncio.sleep(0.8)
            return await call(scene, ORDER), joined

    context.answer, context.joined = asyncio.run(play())


@then("requests reach the endpoint that joined")
def check_requests_reach_endpoint_joined(context):
    assert context.answer.status == 200, context.answer
    assert context.joined.runs.total() == 1, context.joined


@when("a router is told to stop and the balancer has learned of it")
def play_router_told_stop_balancer_has(context):
    async def play():
        async with open_scene() as scene:
            clock = scene.router.clock
            scene.router.stops_at_ms = clock.now_ms() + 1_000
            long_route = configuration(2, [TOKEN])
            for row in long_route["routes"]:
                row["timeoutMs"] = 12_000 if row["type"] == "stream" else 400
            put_document(scene.store, "op/config", long_route)
            scene.version = 2
            await settled(scene)
            stream = await call(scene, CHAT, timeout_ms=12_000)
            lookup = await call(scene, LOOKUP, timeout_ms=12_000)
            return stream, lookup

    context.answer, context.lookup = asyncio.run(play())


@then("a lookup is answered")
def check_lookup_answered(context):
    assert context.lookup.status == 200, context.lookup


@when("a request arrives before the store has answered")
def play_request_arrives_before_store_has(context):
    async def play():
        async with open_scene(known=False) as scene:
            task = asyncio.create_task(call(scene, ORDER, timeout_ms=5_000))
            await asyncio.sleep(0.2)
            publish(scene, 1)
            return await task

    context.answer = asyncio.run(play())


@then("it is answered once the configuration is known")
def check_answered_once_configuration_known(context):
    assert context.answer.status == 200, context.answer


@when("a request with a short deadline gets no answer")
def play_request_with_short_deadline_gets(context):
    async def play():
        async with open_scene() as scene:
            endpoint = endpoints_of(scene, "shop")[0]
            endpoint.manner = Manner.MUTE
            answer = await call(scene, ORDER, timeout_ms=200)
            return answer, is_backing_off(scene.router.loads, endpoint.name)

    context.answer, context.held_off = asyncio.run(play())


@then("its endpoint is not held off")
def check_endpoint_not_held_off(context):
    assert context.answer.status == 504, context.answer
    assert not context.held_off


@when("an endpoint's address is taken over by another service's endpoint")
def play_endpoint_s_address_taken_over(context):
    async def play():
        async with open_scene() as scene:
            model = endpoints_of(scene, "model")[0]
            row = {"service": "shop", "address": model.address, "zone": "here"}
            row |= {"slots": 99, "state": "ready", "born": int(time.time() * 1_000)}
            put_document(scene.store, "servers/shop-old", row)
            await asyncio.sleep(0.3)
            # The sound endpoint looks busy, so the one on the address is chosen first.
            get_state(scene.router.loads, "shop-0").in_flight = 1
            answers = [
                await call(scene, LOOKUP, request_id=f"request-{number}")
                for number in range(4)
            ]
            return answers, model

    context.answers, context.model = asyncio.run(play())


@then("the request is answered by an endpoint of its own service")
def check_request_answered_by_endpoint_own(context):
    stamps = {one.header("server-stamp") for one in context.answers}
    assert stamps == {"stamp-of-shop-0"}, context.answers
    assert context.model.requests and not context.model.runs, context.model


@then("the refusal came within {most_ms:d} ms and says to come back at once")
def check_refusal_time(context, most_ms):
    assert context.answer.status == 503, context.answer
    assert context.answer.took_ms < most_ms, context.answer
    assert float(context.answer.header("retry-after")) < 0.1, context.answer


@then("the router is not ready")
def check_not_ready(context):
    assert not context.ready


@when("watches hang while the configuration changes")
def play_deaf_watches(context):
    async def play():
        async with open_scene(configuration_ms=2_000) as scene:
            scene.store.mood = Mood.DEAF
            await asyncio.sleep(1.2)
            publish(scene, 2)
            started_ms = scene.router.clock.now_ms()
            beliefs = scene.router.beliefs
            await wait_until(
                beliefs.changed, lambda: beliefs.configuration.version == 2, 5_000
            )
            return scene.router.clock.now_ms() - started_ms

    context.took_ms = asyncio.run(play())


@then("the change is in force within the time that it may take")
def check_in_force(context):
    assert context.took_ms < 2_000, context.took_ms


@when("an endpoint falls silent for a while and no retry is left")
def play_silence(context):
    async def play():
        async with open_scene(n_endpoints=2, retry_slack=0, retry_ratio=0) as scene:
            for endpoint in endpoints_of(scene, "model"):
                endpoint.pause_ms = 1_700
            await call(scene, ORDER)
            get_budget(scene.router, "model").left = 0.0
            answer = await call(scene, CHAT, timeout_ms=4_000)
            runs = sum(one.runs.total() for one in endpoints_of(scene, "model"))
            return answer, runs

    context.answer, context.n_runs = asyncio.run(play())


@then("the stream is whole, and one endpoint ran it")
def check_silence(context):
    assert context.answer.whole and context.answer.body.count(b"id:") == 5, (
        context.answer
    )
    assert context.n_runs == 1, context.n_runs


@when("{n_callers:d} callers stream at once from an endpoint that takes 50 channels")
def play_many_streams(context, n_callers):
    async def play():
        async with open_scene() as scene:
            endpoint = endpoints_of(scene, "model")[0]
            endpoint.event_ms = 100
            calls = [
                call(scene, CHAT, request_id=f"request-{number}", timeout_ms=4_000)
                for number in range(n_callers)
            ]
            return await asyncio.gather(*calls), endpoint.runs.total()

    context.answers, context.n_runs = asyncio.run(play())


@then("at most {most:d} of them run, and the others are refused as not run")
def check_many_streams(context, most):
    statuses = [one.status for one in context.answers]
    assert 0 < context.n_runs <= most, context.n_runs
    assert statuses.count(200) == context.n_runs, statuses
    assert statuses.count(503) == len(statuses) - context.n_runs, statuses


@when("a stream breaks off and the other endpoint fails it")
def play_failed_resume(context):
    async def play():
        async with open_scene(n_endpoints=2) as scene:
            models = endpoints_of(scene, "model")
            for endpoint in models:
                endpoint.manner = Manner.BREAKING
            task = asyncio.create_task(call(scene, CHAT, timeout_ms=3_000))
            while not total_runs(scene):
                await asyncio.sleep(0)
            for endpoint in models:
                if not endpoint.runs:
                    endpoint.manner = Manner.FAILING
            answer = await task
            states = scene.router.loads.states.values()
            return answer, sum(state.in_flight for state in states)

    context.answer, context.n_in_flight = asyncio.run(play())


@then("no endpoint counts a request in flight")
def check_in_flight(context):
    assert context.n_in_flight == 0, context.n_in_flight
