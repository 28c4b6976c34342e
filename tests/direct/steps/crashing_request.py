"""Steps with endpoints that crash as they begin to run a certain request."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from unittest.mock import AsyncMock, patch

from behave import then, when
from broken_streams import encode_events
from crashing_hosts import (
    N_ROUTERS,
    Host,
    HostScene,
    abort_connections,
    crash_host,
    start_scene,
)
from pulley_platform_standins.endpoints import (
    answer_headers,
    answer_request,
    header_text,
)
from pulley_platform_standins.stores import put_document
from scenes import CHAT, LOOKUP, ONCE, ORDER, Answer, configuration, send_call

from pulley_direct.crashes import crash_probes
from pulley_direct.state.crash_log import apply_reports
from pulley_direct.state.models import CrashReports
from pulley_http import Response
from pulley_policy import probation
from pulley_policy.crashes import list_quarantined
from pulley_policy.losses import LostRequest, Suspect

PATHS = {
    "lookup": LOOKUP,
    "order": ORDER,
    "prompt": CHAT,
    "resumable": CHAT,
    "single": ONCE,
}
PARTS = "f1:100,aa:10"
DEADLY = "deadly"
POPULAR = "popular"
MISSING = "missing"
MARGIN_S = 1.0
SETTLED_S = 0.8
SLOW_ANSWER_S = 0.2
EVENT_S = 0.01
DEADLY_EVERY_MS = 1_200
OTHERS_EVERY_S = 0.1
PAUSE_IN_BURST_S = 0.04
REFUSED_AT_ONCE_MS = 100
SLOW_PROBE_MS = 800
N_LAST = 3
N_DIFFERENT = 20
SHARED_PART = "f1"
# Holds and turns in ms that fit into a scenario of some seconds.
FAST_PROBES = {
    "HOLDS_MS": (100, 60_000, 60_000),
    "TURN_MS": 499,
    "TURN_OPEN_MS": 250,
    "OTHER_TEAMS_MS": 0,
}


@dataclass(slots=True)
class Scene(HostScene):
    """Requests with the body of ``deadly`` crash endpoints; when and where they came.

    Endpoints wait ``slow_s`` before each answer. They crash after ``n_events`` events
    of the answer to a deadly request; without events as they resume one, if
    ``resumes_dead``.
    """

    slow_s: float = 0.0
    n_events: int = 0
    resumes_dead: bool = False
    arrivals_s: list[float] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    others: list[Answer] = field(default_factory=list)
    n_sent: int = 0
    quarantined: list[list[str]] = field(default_factory=list)
    n_reports: list[int] = field(default_factory=list)


async def answer_or_crash(scene: Scene, host: Host, request) -> Response:
    """Crash if the request is the deadly one; answer any other."""
    loop = asyncio.get_running_loop()
    if header_text(request, b"x-name") == DEADLY:
        scene.arrivals_s.append(loop.time())
        last_id = int(header_text(request, b"last-event-id") or 0)
        if scene.n_events and not (scene.resumes_dead and last_id):
            events = stream_and_crash(scene, host, last_id)
            return Response(200, answer_headers(host.endpoint, request), events)
        crash_host(scene, host)
        await asyncio.sleep(1.0)
    await asyncio.sleep(scene.slow_s)
    if header_text(request, b"x-name") == MISSING:
        return Response(404, [], b"{}")
    return await answer_request(host.endpoint, request)


async def stream_and_crash(scene: Scene, host: Host, last_id: int):
    """Yield the next events of a stream, and crash."""
    for number in range(last_id + 1, last_id + scene.n_events + 1):
        yield encode_events(number, number)
        await asyncio.sleep(EVENT_S)
    crash_host(scene, host)
    await asyncio.sleep(1.0)


def serve_models(scene: Scene) -> None:
    """Let all routes go to the service of the hosts."""
    document = configuration(2, ["token-of-orto"])
    for route in document["routes"]:
        route["service"] = scene.service
    put_document(scene.fixture.store, "op/config", document)


async def send(scene: Scene, path: str, name: str, body: bytes) -> Answer:
    """Send a request to the next router."""
    running = scene.routers[scene.n_sent % N_ROUTERS]
    scene.n_sent += 1
    return await send_call(
        scene.fixture.client,
        running.caller_server.address,
        path,
        request_id=f"request-{scene.n_sent}",
        parts=PARTS,
        headers=[(b"x-name", name.encode())],
        body=body,
    )


async def send_deadly(scene: Scene, kind: str) -> None:
    """Send the deadly request once more."""
    answer = await send(scene, PATHS[kind], DEADLY, b'{"id": "deadly"}')
    scene.answers.append(answer)


async def send_others(scene: Scene) -> None:
    """Send a popular lookup and different ones, as long as the scenario lasts."""
    while True:
        body = b'{"id": %d}' % scene.n_sent
        scene.others.append(await send(scene, LOOKUP, "", body))
        scene.others.append(await send(scene, LOOKUP, "", b"{}"))
        await asyncio.sleep(OTHERS_EVERY_S)


async def run_scene(play) -> Scene:
    """Start a scene, play a part in it, and read what the routers hold in the end."""
    scene = Scene(answer_or_crash)
    async with start_scene(scene):
        serve_models(scene)
        await asyncio.sleep(SETTLED_S)
        await play(scene)
        await asyncio.sleep(SETTLED_S)
        for running in scene.routers:
            router = running.router
            evidence = router.fleet_view.crash_log.evidence
            scene.quarantined.append(list_quarantined(evidence, router.clock.now_ms()))
            scene.n_reports.append(len(evidence.reports))
        for task in filter(asyncio.Task.done, scene.tasks):
            task.result()
    return scene


async def send_beside_others(scene: Scene, kind: str, pauses_s: list[float]) -> None:
    """Send the deadly request, with pauses in s, while others come."""
    others = asyncio.create_task(send_others(scene))
    async with asyncio.TaskGroup() as group:
        for pause_s in pauses_s:
            group.create_task(send_deadly(scene, kind))
            await asyncio.sleep(pause_s)
    others.cancel()


@when("one {kind} that crashes endpoints comes every {every:d} ms for {duration:d} s")
def send_again(context, kind, every, duration):
    pauses_s = [every / 1_000] * (duration * 1_000 // every)

    async def play(scene):
        await send_beside_others(scene, kind, pauses_s)

    context.crashing = asyncio.run(run_scene(play))


@when(
    "one {kind} prompt that crashes endpoints after {n:d} events comes for {duration:d}"
    " s"
)
def send_streams(context, kind, n, duration):
    pauses_s = [DEADLY_EVERY_MS / 1_000] * (duration * 1_000 // DEADLY_EVERY_MS)

    async def play(scene):
        scene.n_events = n
        await send_beside_others(scene, kind, pauses_s)

    context.crashing = asyncio.run(run_scene(play))


@when("one prompt crashes endpoints after 1 event, and at once as it is resumed")
def send_dead_resumptions(context):
    async def play(scene):
        scene.n_events, scene.resumes_dead = 1, True
        await send_beside_others(scene, "resumable", [DEADLY_EVERY_MS / 1_000] * 4)

    context.crashing = asyncio.run(run_scene(play))


@when("one chat is cut in {n:d} crashes that it did not cause, and many others are")
def cut_chat(context, n):
    bodies = [b'{"id": %d}' % number for number in range(N_DIFFERENT)]

    async def play(scene):
        for _ in range(n):
            for host in scene.hosts:
                host.endpoint.pause_ms = int(2_000 * SLOW_ANSWER_S)
            chats = [send(scene, ONCE, "", body) for body in [b"{}", *bodies]]
            answers = asyncio.gather(*chats)
            await asyncio.sleep(SLOW_ANSWER_S)
            for host in scene.hosts:
                crash_host(scene, host)
            found = {(one.status, one.whole) for one in await answers}
            assert found == {(200, False)}, found
            await asyncio.sleep(SETTLED_S)
        scene.answers.append(await send(scene, ONCE, "", b"{}"))

    context.crashing = asyncio.run(run_scene(play))


@when(
    "one {kind} that crashes endpoints comes in bursts of {n:d}, one every {every:d} ms"
)
def send_bursts(context, kind, n, every):
    burst = [PAUSE_IN_BURST_S] * (n - 1) + [every / 1_000]

    async def play(scene):
        await send_beside_others(scene, kind, burst * 4)

    context.crashing = asyncio.run(run_scene(play))


@when("one {kind} that crashes endpoints comes at every router at once, each {ms:d} ms")
def send_everywhere(context, kind, ms):
    burst = [0.0] * (N_ROUTERS - 1) + [ms / 1_000]

    async def play(scene):
        await send_beside_others(scene, kind, burst * 4)

    context.crashing = asyncio.run(run_scene(play))


async def send_popular(scene: Scene) -> None:
    """Send the popular lookup once more."""
    scene.answers.append(await send(scene, LOOKUP, "", b"{}"))


@when("a lookup is lost at all endpoints at once, and then comes again for {s:d} s")
def lose_popular(context, s):
    async def play(scene):
        scene.slow_s = SLOW_ANSWER_S
        async with asyncio.TaskGroup() as group:
            for _ in range(N_DIFFERENT):
                group.create_task(send_popular(scene))
            await asyncio.sleep(SLOW_ANSWER_S / 2)
            for host in scene.hosts:
                crash_host(scene, host)
        scene.slow_s = 0
        await asyncio.sleep(SETTLED_S)
        scene.answers.clear()
        for _ in range(int(s / OTHERS_EVERY_S)):
            await send_popular(scene)
            await asyncio.sleep(OTHERS_EVERY_S)

    context.crashing = asyncio.run(run_scene(play))


@then("it is held back at first, and then answered by every router")
def check_held_back(context):
    answers = context.crashing.answers
    found = answers[0].status, answers[0].header("pulley-reason")
    assert found == (503, "quarantined"), found
    last = [answer.status for answer in answers[-N_ROUTERS:]]
    assert last == [200] * N_ROUTERS, last


@then("at most {n:d} of its arrivals are later than {late:d} s after the third crash")
def check_late(context, n, late):
    scene = context.crashing
    assert len(scene.crashes_s) >= 3, scene.crashes_s
    start_s = scene.crashes_s[2] + late
    arrived = [round(one - start_s, 2) for one in scene.arrivals_s if one > start_s]
    assert len(arrived) <= n, f"{len(arrived)} arrivals: {arrived}"


@then("endpoints crash at most {n:d} times")
def check_crashes(context, n):
    crashes_s = context.crashing.crashes_s
    found = [round(one - crashes_s[0], 2) for one in crashes_s]
    assert len(found) <= n, found


@then("the last ones are refused at once as not run and quarantined")
def check_refused(context):
    for answer in context.crashing.answers[-N_LAST:]:
        found = answer.status, answer.header("pulley-reason")
        assert found == (503, "quarantined"), found
        assert answer.header("pulley-outcome") == "not-run"
        assert answer.took_ms < REFUSED_AT_ONCE_MS, answer.took_ms


@then("every router names that request alone as quarantined")
def check_named(context):
    found = context.crashing.quarantined
    assert len({tuple(keys) for keys in found}) == 1, found
    assert len(found[0]) == 1 and "/request/" in found[0][0], found


@when("every endpoint is killed under a popular lookup and many different ones")
def kill_all(context):
    async def play(scene):
        for _ in scene.routers:
            await send(scene, LOOKUP, "", b"{}")
        scene.slow_s = SLOW_ANSWER_S
        for _ in range(2):
            lookups = [send(scene, LOOKUP, "", b"{}") for _ in range(N_DIFFERENT)]
            lookups += [
                send(scene, LOOKUP, "", b'{"id": %d}' % number)
                for number in range(N_DIFFERENT)
            ]
            async with asyncio.TaskGroup() as group:
                for one in lookups:
                    group.create_task(one)
                await asyncio.sleep(SLOW_ANSWER_S / 2)
                for host in scene.hosts:
                    crash_host(scene, host)
            await asyncio.sleep(SETTLED_S)
        scene.answers.append(await send(scene, LOOKUP, "", b"{}"))

    context.crashing = asyncio.run(run_scene(play))


@when("one order is lost in {n:d} crashes that it did not cause")
def lose_order(context, n):
    async def play(scene):
        scene.slow_s = SLOW_ANSWER_S
        for _ in range(n):
            task = asyncio.create_task(send(scene, ORDER, "", b"{}"))
            await asyncio.sleep(SLOW_ANSWER_S / 2)
            for host in scene.hosts:
                crash_host(scene, host)
            assert (await task).status == 502
            await asyncio.sleep(SETTLED_S)
        scene.answers.append(await send(scene, ORDER, "", b"{}"))

    context.crashing = asyncio.run(run_scene(play))


@then("no key is quarantined at any router")
def check_none(context):
    scene = context.crashing
    assert scene.quarantined == [[]] * N_ROUTERS, scene.quarantined


@then("the lookup has its whole answer")
@then("the order has its whole answer")
@then("the chat has its whole answer")
def check_whole(context):
    answer = context.crashing.answers[-1]
    assert (answer.status, answer.whole) == (200, True), answer


async def reset_under(scene: Scene, path: str, n: int) -> None:
    """Reset all connections to endpoints under different requests."""
    scene.slow_s = SLOW_ANSWER_S
    bodies = [b'{"id": %d}' % number for number in range(n)]
    answers = asyncio.gather(*(send(scene, path, "", body) for body in bodies))
    await asyncio.sleep(SLOW_ANSWER_S / 2)
    scene.slow_s = 0
    for host in scene.hosts:
        abort_connections(host.endpoint)
    scene.answers = await answers


@when("{n:d} orders are lost as their endpoints can no longer be reached")
def cut_links(context, n):
    async def play(scene):
        await reset_under(scene, ORDER, n)
        assert {one.status for one in scene.answers} == {502}, scene.answers

    probe = AsyncMock(return_value=crash_probes.ProbeResult.UNREACHABLE)
    with patch.object(crash_probes, "probe_endpoint", probe):
        context.crashing = asyncio.run(run_scene(play))
    assert probe.called


@when("endpoints that are up reset {n:d} lookups, each once")
def reset_lookups(context, n):
    async def play(scene):
        await reset_under(scene, LOOKUP, n)

    probe = crash_probes.probe_endpoint
    with (
        patch.object(crash_probes, "PROBE_OPEN_MS", SLOW_PROBE_MS),
        patch.object(crash_probes, "probe_endpoint", wraps=probe) as probes,
    ):
        context.crashing = asyncio.run(run_scene(play))
    context.n_probes = Counter(one.args[0] for one in probes.call_args_list)


@then("each of them has its answer before a probe's end")
def check_resent(context):
    for answer in context.crashing.answers:
        found = answer.status, answer.whole
        assert found == (200, True), found
        assert answer.took_ms < SLOW_PROBE_MS, answer.took_ms


@then("no router probes an endpoint more than once at a time")
def check_probes(context):
    assert 0 < max(context.n_probes.values()) <= N_ROUTERS, context.n_probes


@then("no router holds a report")
def check_reports(context):
    assert context.crashing.n_reports == [0] * N_ROUTERS, context.crashing.n_reports


def quarantine_part(scene: Scene) -> None:
    """Let every router know of two prompts that were lost with the shared part."""
    part = f"{scene.service}/part/{SHARED_PART}"
    lost = tuple(
        LostRequest(f"crash-{depth}", (Suspect(part, depth), Suspect(f"r-{depth}", 1)))
        for depth in (1, 2)
    )
    for running in scene.routers:
        router = running.router
        entry = CrashReports("another", lost, ())
        crash_log = router.fleet_view.crash_log
        apply_reports(crash_log, entry, router.clock.now_ms())
        assert list_quarantined(crash_log.evidence, router.clock.now_ms()) == [part]


@when(
    "prompts with a quarantined part that now crash endpoints at once come for {s:d} s"
)
def send_probes(context, s):
    async def play(scene):
        quarantine_part(scene)
        async with asyncio.TaskGroup() as group:
            for number in range(int(s / PAUSE_IN_BURST_S)):
                body = b'{"id": %d}' % number
                group.create_task(send(scene, CHAT, DEADLY, body))
                await asyncio.sleep(PAUSE_IN_BURST_S)

    with patch.multiple(probation, **FAST_PROBES):
        context.crashing = asyncio.run(run_scene(play))
    assert context.crashing.crashes_s, "no probe was sent"


@when(
    "a lookup that is answered with 404 is lost in {n:d} crashes that it did not cause"
)
def lose_missing(context, n):
    async def play(scene):
        for _ in range(n):
            scene.slow_s = SLOW_ANSWER_S
            task = asyncio.create_task(send(scene, LOOKUP, MISSING, b"{}"))
            await asyncio.sleep(SLOW_ANSWER_S / 2)
            for host in scene.hosts:
                crash_host(scene, host)
            await task
            await asyncio.sleep(SETTLED_S)
            scene.slow_s = 0
            scene.answers.append(await send(scene, LOOKUP, MISSING, b"{}"))

    context.crashing = asyncio.run(run_scene(play))


@then("the lookup is answered with 404")
def check_missing(context):
    found = [answer.status for answer in context.crashing.answers]
    assert found == [404] * len(found), found
