"""Steps with endpoints that crash as they begin to answer a certain prompt part."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from unittest.mock import patch

from behave import given, then, when
from crashing_hosts import (
    N_ROUTERS,
    Host,
    HostScene,
    add_router,
    crash_host,
    start_scene,
    wait_for,
)
from pulley_platform_standins.endpoints import (
    Behavior,
    answer_headers,
    answer_request,
    header_text,
)
from pulley_platform_standins.stores import StoreFault
from scenes import CHAT, Answer, RouterFixture, call, send_call, start_fixture

from pulley_base import Reason
from pulley_direct.admin import describe_router, read_gauges
from pulley_direct.crashes.crashes import is_crash_loss
from pulley_direct.state.jobs import AttemptFailed, Job
from pulley_direct.state.models import Call, Endpoint, PromptPart, RetryClass, Route
from pulley_http import Response
from pulley_policy import probation
from pulley_policy.losses import Scores

SOUND_INTERVAL_S = 0.03
CRASHING_INTERVAL_S = 0.09
MARGIN_S = 1.0
REFUSED_AT_ONCE_MS = 100
SOUND_PARTS = "f1:100,5b:50"
CRASHING_PARTS = SOUND_PARTS + ",dead:20"
N_HANG_UPS = 12
HANG_UP_S = 0.03


@dataclass(slots=True)
class Prompt:
    """One prompt, when it was sent in s of the loop, and what became of it."""

    id: str
    parts: str
    router: int
    sent_s: float
    n_arrivals: int = 0
    answer: Answer = field(default_factory=Answer)

    @property
    def crashing(self) -> bool:
        """Return whether the prompt has the part that crashes endpoints."""
        return self.parts.startswith(CRASHING_PARTS)


@dataclass(slots=True)
class Scene(HostScene):
    """The routers and hosts of one scenario, and its prompts.

    Once its endpoints are ``repaired``, no prompt crashes them.
    """

    repaired: bool = False
    prompts: dict[str, Prompt] = field(default_factory=dict)

    def prompts_after_fifth_crash(self, crashing: bool) -> list[Prompt]:
        """Return the prompts sent later than the margin after the fifth crash."""
        start_s = (self.crashes_s[:5] or [0.0])[-1] + MARGIN_S
        return [
            one
            for one in self.prompts.values()
            if one.crashing is crashing and one.sent_s > start_s
        ]


async def answer_or_crash(scene: Scene, host: Host, request) -> Response:
    """Answer a request, or crash after the head if its prompt has the part."""
    prompt = scene.prompts[header_text(request, b"attempt-id")]
    prompt.n_arrivals += 1
    if scene.repaired or not prompt.crashing:
        return await answer_request(host.endpoint, request)
    headers = answer_headers(host.endpoint, request)
    headers.append((b"content-type", b"text/event-stream"))
    return Response(200, headers, crash(scene, host))


async def crash(scene: Scene, host: Host):
    """Crash a host's endpoint in the body of an answer."""
    crash_host(scene, host)
    raise ConnectionError("crashed")
    yield b""


async def send_prompt(scene: Scene, router: int, parts: str) -> Prompt:
    """Send one prompt to a router and read its answer."""
    loop = asyncio.get_running_loop()
    prompt = Prompt(f"request-{len(scene.prompts)}", parts, router, loop.time())
    scene.prompts[prompt.id] = prompt
    address = scene.routers[router].caller_server.address
    prompt.answer = await send_call(
        scene.fixture.client, address, CHAT, request_id=prompt.id, parts=parts
    )
    return prompt


async def send_prompts(
    scene: Scene, duration_s: float, interval_s: float, parts: str
) -> None:
    """Send prompts with shared parts at a fixed rate to the routers in turn.

    No two are alike.
    """
    async with asyncio.TaskGroup() as group:
        for number in range(int(duration_s / interval_s)):
            prompt_parts = f"{parts},{number:x}a:10"
            group.create_task(send_prompt(scene, number % N_ROUTERS, prompt_parts))
            await asyncio.sleep(interval_s)


@given("a store that is silent from the first prompt on")
def silence_store(context):
    context.store_away = True


@when("prompts with a crashing part come among sound ones for {duration_s:d} s")
def play(context, duration_s):
    store_away = getattr(context, "store_away", False)

    async def run():
        scene = Scene(answer_or_crash)
        async with start_scene(scene):
            if store_away:
                scene.keeps_names = True
                scene.fixture.store.fault = StoreFault.NO_ANSWER
            await asyncio.gather(
                send_prompts(scene, duration_s, SOUND_INTERVAL_S, SOUND_PARTS),
                send_prompts(scene, duration_s, CRASHING_INTERVAL_S, CRASHING_PARTS),
            )
            if store_away:
                context.sharing_s = await time_sharing(scene)
            else:
                await add_router(scene)
                parts = f"{CRASHING_PARTS},late:10"
                context.late = await send_prompt(scene, N_ROUTERS, parts)
                context.pages = [read_pages(one.router) for one in scene.routers]
            for task in filter(asyncio.Task.done, scene.tasks):
                task.result()
            return scene

    context.scene = asyncio.run(run())


@given("a first hold of 1 s, and turns of 0.4 s to probe")
def shorten_holds(context):
    times = patch.multiple(
        probation,
        HOLDS_MS=(1_000, 60_000),
        TURN_MS=400,
        TURN_OPEN_MS=200,
        OTHER_TEAMS_MS=0,
    )
    times.start()
    context.add_cleanup(times.stop)


@when(
    "prompts with a crashing part come for {crashing_s:d} s, and {more_s:d} s more to "
    "repaired endpoints"
)
def play_repair(context, crashing_s, more_s):
    async def run():
        scene = Scene(answer_or_crash)
        async with start_scene(scene):
            await send_prompts(scene, crashing_s, CRASHING_INTERVAL_S, CRASHING_PARTS)
            scene.repaired = True
            await send_prompts(scene, more_s, CRASHING_INTERVAL_S, CRASHING_PARTS)
            context.prompts = list(scene.prompts.values())
            return scene

    context.scene = asyncio.run(run())


@then("at most {n:d} of them crashed an endpoint")
def check_crashes(context, n):
    assert 2 <= len(context.scene.crashes_s) <= n, context.scene.crashes_s


@then("every router answers prompts with the part in the last second")
def check_repaired(context):
    end_s = context.prompts[-1].sent_s
    last = [one for one in context.prompts if one.sent_s > end_s - MARGIN_S]
    found = Counter((one.router, one.answer.status) for one in last)
    assert set(found) == {(router, 200) for router in range(N_ROUTERS)}, found


@then("the last one is refused as not run and quarantined")
def check_last(context):
    assert_quarantined(context.prompts[-1].answer)


@when("one prompt with a crashing part comes, and another one a second later")
def send_singly(context):
    async def run():
        scene = Scene(answer_or_crash)
        async with start_scene(scene):
            for number in range(N_ROUTERS):
                parts = f"{CRASHING_PARTS},{number:x}a:10"
                await send_prompt(scene, number, parts)
                await asyncio.sleep(MARGIN_S)
            return list(scene.prompts.values())

    context.prompts = asyncio.run(run())


@then("each of them crashed one endpoint and its caller learns that it may have run")
def check_single_crashes(context):
    for one in context.prompts[:2]:
        found = one.n_arrivals, one.answer.status, one.answer.header("pulley-outcome")
        assert found == (1, 502, "unknown"), found


@then("a third one is refused as not run and quarantined")
def check_third(context):
    assert_quarantined(context.prompts[2].answer)


@when("a prompt on a {route} is lost {stage}")
def lose_prompt(context, route, stage):
    retry_class = RetryClass.STREAM if route == "stream" else RetryClass.IDEMPOTENT
    parts = (PromptPart("aa", 1), PromptPart("bb", 1))
    call = Call("request-1", "host", "/", "POST", "/", [], parts=parts)
    route = Route("route", "host", "/", retry_class, (), 1_000, 0)
    job = Job(call, route, "model", None, b"", 0, 1_000, 1, scores=Scores())
    failure = AttemptFailed(
        Reason.CONNECTION_LOST,
        stage,
        Endpoint("model-1", "model", "127.0.0.1:1"),
        answer_began=stage != "before the head",
    )
    context.counts = is_crash_loss(job, failure)


@then("that {counts} as lost while its answer began")
def check_counts(context, counts):
    assert context.counts is (counts == "counts"), context.counts


async def time_sharing(scene: Scene) -> float:
    """Return how long after the store's return its crash reports are written, in s."""
    store = scene.fixture.store
    loop = asyncio.get_running_loop()
    store.fault = StoreFault.NONE
    started_s = loop.time()
    await wait_for(
        lambda: sum("crashes/" in key for key in store.items) >= N_ROUTERS - 1
    )
    return loop.time() - started_s


@then("at most {n:d} of them reach an endpoint later than 1 s after the fifth crash")
def check_late_arrivals(context, n):
    scene = context.scene
    late = scene.prompts_after_fifth_crash(crashing=True)
    reached = [one.id for one in late if one.n_arrivals]
    assert len(reached) <= n, f"{len(reached)} of {len(late)} reached an endpoint"


@then("the later ones are refused at once as not run and quarantined")
def check_refusals(context):
    late = context.scene.prompts_after_fifth_crash(crashing=True)
    late = [one for one in late if not one.n_arrivals]
    assert len(late) >= 5, len(late)
    for one in late:
        assert_quarantined(one.answer)


def assert_quarantined(answer: Answer) -> None:
    """Check that an answer is a refusal of a request that was not run."""
    found = answer.status, answer.header("pulley-reason")
    assert found == (503, "quarantined"), found
    assert answer.header("pulley-outcome") == "not-run"
    assert float(answer.header("retry-after")) > 1.0
    assert answer.took_ms < REFUSED_AT_ONCE_MS, answer.took_ms


@then(
    "every sound prompt sent later than 1 s after the fifth crash has its whole answer"
)
def check_sound(context):
    sound = context.scene.prompts_after_fifth_crash(crashing=False)
    assert len(sound) >= 20, len(sound)
    found = Counter((one.answer.status, one.answer.whole) for one in sound)
    assert set(found) == {(200, True)}, found


@then("a router that starts later refuses the part too")
def check_late_router(context):
    assert_quarantined(context.late.answer)
    assert not context.late.n_arrivals


def read_pages(router) -> tuple:
    """Return what a router's pages for operators say of the quarantine."""
    metric = read_gauges(router)["plantainpulley_direct_quarantined_keys"]
    return describe_router(router)["quarantined"], metric


@then("every router's pages for operators name the part, and no other")
def check_pages(context):
    expected = (["model/part/dead"], 1)
    assert context.pages == [expected] * (N_ROUTERS + 1), context.pages


@then("each router sent at most {n:d} of them to endpoints")
def check_each_router(context, n):
    prompts = context.scene.prompts.values()
    found = Counter(one.router for one in prompts if one.crashing and one.n_arrivals)
    assert max(found.values()) <= n, found


@then("the routers share their reports within 2 s of the store's return")
def check_sharing(context):
    assert context.sharing_s <= 2.0, context.sharing_s


@when("callers hang up on prompts with one part, and endpoints fail more of them")
def abuse_part(context):
    async def run():
        async with start_fixture(3) as fixture:
            model = [one for one in fixture.endpoints if one.service == "model"]
            for endpoint in model:
                endpoint.pause_ms = 2_000
            for number in range(N_HANG_UPS):
                await hang_up(fixture, number)
            for behavior in (Behavior.FAILING, Behavior.FULL, Behavior.CUT_STREAM):
                for endpoint in model:
                    endpoint.pause_ms, endpoint.behavior = 0, behavior
                for number in range(N_HANG_UPS):
                    await call_with_part(fixture, f"{behavior}-{number}")
            for endpoint in model:
                endpoint.behavior = Behavior.NORMAL
            return await call_with_part(fixture, "last")

    context.answer = asyncio.run(run())


@when("endpoints break off {n:d} prompts with one part before the first event")
def break_off(context, n):
    async def run():
        async with start_fixture(3) as fixture:
            model = [one for one in fixture.endpoints if one.service == "model"]
            for endpoint in model:
                endpoint.behavior = Behavior.CUT_STREAM
                endpoint.n_events_before_cut = 0
            for number in range(n):
                await call_with_part(fixture, f"cut-{number}")
            for endpoint in model:
                endpoint.behavior = Behavior.NORMAL
            return await call_with_part(fixture, "last")

    context.answer = asyncio.run(run())


async def call_with_part(fixture: RouterFixture, name: str) -> Answer:
    """Send one prompt with the part."""
    parts = f"{SOUND_PARTS},{len(name)}:10"
    return await call(fixture, CHAT, request_id=name, parts=parts)


async def hang_up(fixture: RouterFixture, number: int) -> None:
    """Send one prompt with the part, and hang up before its answer ends."""
    try:
        name = f"hang-up-{number}"
        await asyncio.wait_for(call_with_part(fixture, name), HANG_UP_S)
    except TimeoutError:
        return


@then("a prompt with that part has its whole answer")
def check_part(context):
    answer = context.answer
    found = answer.status, answer.header("pulley-reason"), answer.whole
    assert found == (200, "", True), found
