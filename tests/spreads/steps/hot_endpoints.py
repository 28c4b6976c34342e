"""Steps that simulate many routers and engines which report their load late."""

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random
from random import seed as seed_shared

from behave import given, then, when

from pulley_base import Clock
from pulley_direct.endpoints.placing import choose_target
from pulley_direct.gossip_receipts import receive
from pulley_direct.requests.head_reports import record_head
from pulley_direct.state.counters import SENT
from pulley_direct.state.fleet_views import FleetView
from pulley_direct.state.jobs import Job
from pulley_direct.state.loads import LoadTable, get_state
from pulley_direct.state.models import (
    AnswerMetadata,
    Call,
    Endpoint,
    PromptPart,
    ReportedLoad,
    RetryClass,
    Route,
    RouterEntry,
    RouterSettings,
)
from pulley_direct.state.routers import Router

TICK_MS = 10
SERVICE = "model"
REQUESTS_PER_S = 223
MEAN_GROUP_SIZE = 3.0
FACTOR = 2.0
SLACK_REQUESTS = 3
WINDOW_MS = 5_000
WINDOW_STEP_MS = 250
NETWORK_MS = 10
PREFILL_TOKENS_PER_MS = 82
# The rest of an engine's time goes to tokens of answers.
MAX_PREFILL_SHARE = 0.8
STEP_MS = 3.74
STEP_MS_PER_REQUEST = 0.08
ROUTE = Route("chat", "host", "/", RetryClass.STREAM, (), 15_000, 500)


@dataclass(frozen=True)
class Kind:
    """A kind of prompt: its weight, its contexts and its mean sizes in tokens."""

    weight: float
    n_contexts: int
    context_tokens: float
    own_tokens: float
    answer_tokens: float


KINDS = (
    Kind(97, 328, 10_000, 1_300, 382),
    Kind(140, 316, 580, 130, 291),
    Kind(155, 527, 1_700, 360, 23),
)


@dataclass
class Work:
    """A request at an engine."""

    router: Router
    job: Job
    prefill_tokens: float
    answer_tokens: float


@dataclass
class Engine:
    """An engine: requests that wait for their prefill, and those that run."""

    endpoint: Endpoint
    waiting: deque = field(default_factory=deque)
    running: list = field(default_factory=list)
    cached: set = field(default_factory=set)

    @property
    def load(self):
        """Return all requests at the engine."""
        return len(self.waiting) + len(self.running)


@dataclass
class World:
    """The simulated fleet; ``due`` holds calls with the times that they are due."""

    random: Random
    n_engines: int
    lost_share: float = 0.0
    now_ms: int = 0
    engines: dict = field(default_factory=dict)
    routers: dict = field(default_factory=dict)
    due: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    ranks: Counter = field(default_factory=Counter)


class Wire:
    """Delivers the datagrams of one router."""

    def __init__(self, world, source):
        self.world = world
        self.source = source

    def get_write_buffer_size(self):
        """Return 0: the link is never full."""
        return 0

    def sendto(self, data, address):
        """Deliver a datagram after the delay of the network, if it is not lost."""
        if self.world.random.random() < self.world.lost_share:
            return
        router = self.world.routers[f"{address[0]}:{address[1]}"]
        run_later(self.world, lambda: receive(router, data, self.source))


def run_later(world, call):
    world.due.append((world.now_ms + NETWORK_MS, call))


def build_world(seed, n_routers, n_engines):
    world = World(Random(seed), n_engines)
    for number in range(n_engines):
        endpoint = Endpoint(f"engine-{seed}-{number}", SERVICE, f"10.0.0.{number}:80")
        world.engines[endpoint.name] = Engine(endpoint)
    addresses = {f"router-{n}": f"10.0.1.{n}:7000" for n in range(n_routers)}
    clock = Clock(lambda: world.now_ms)
    for name, address in addresses.items():
        world.routers[address] = build_router(world, clock, name, addresses)
    return world


def build_router(world, clock, name, addresses):
    settings = RouterSettings(name, "", "", "", "", (0, 0), "")
    routers = {one: RouterEntry(one, address) for one, address in addresses.items()}
    fleet_view = FleetView(clock, clock, routers=routers)
    fleet_view.endpoints = {e.endpoint.name: e.endpoint for e in world.engines.values()}
    router = Router(settings, None, clock, fleet_view, None, LoadTable(clock))
    router.gossip = Wire(world, addresses[name])
    return router


def draw_size(random, mean, most=3.0):
    """Return a size with a long tail, up to ``most`` times the mean."""
    return mean * min(most, math.exp(random.gauss(-0.25, 0.7)))


def draw_context(random, kind):
    """Return the number of a context; the first ones are more popular."""
    weights = [(number + 1) ** -0.3 for number in range(kind.n_contexts)]
    return random.choices(range(kind.n_contexts), weights)[0]


def send_prompt(world):
    """Let a random router place one prompt."""
    random = world.random
    kind = random.choices(KINDS, [kind.weight for kind in KINDS])[0]
    context = f"{kind.weight}-{draw_context(random, kind)}"
    parts = (PromptPart(context, 0), PromptPart("own", 0))
    call = Call("r", "host", "/", "POST", "/", [], parts=parts)
    job = Job(call, ROUTE, SERVICE, None, b"", world.now_ms, world.now_ms + 15_000, 1)
    router = random.choice(list(world.routers.values()))
    target = choose_target(router, job)
    job.placement = target.placement
    world.ranks[target.placement.rank] += 1
    get_state(router.loads, target.endpoint.name).in_flight += 1
    work = Work(
        router,
        job,
        draw_size(random, kind.own_tokens),
        draw_size(random, kind.answer_tokens),
    )
    context_tokens = draw_size(Random(context), kind.context_tokens)
    engine = world.engines[target.endpoint.name]
    run_later(world, lambda: take_work(world, engine, work, context, context_tokens))


def take_work(world, engine, work, context, context_tokens):
    """Let a request arrive at an engine, and note whether that is over the bound."""
    mean = sum(one.load for one in world.engines.values()) / world.n_engines
    over = engine.load > FACTOR * mean + SLACK_REQUESTS
    world.arrivals.append((world.now_ms, over))
    if context not in engine.cached:
        engine.cached.add(context)
        work.prefill_tokens += context_tokens
    engine.waiting.append(work)


def run_engine(world, engine):
    """Let an engine work for one tick: prefills first, then tokens of answers."""
    budget_ms = TICK_MS * MAX_PREFILL_SHARE
    while engine.waiting and budget_ms > 0:
        work = engine.waiting[0]
        used_ms = min(budget_ms, work.prefill_tokens / PREFILL_TOKENS_PER_MS)
        budget_ms -= used_ms
        work.prefill_tokens -= used_ms * PREFILL_TOKENS_PER_MS
        if work.prefill_tokens <= 1e-6:
            engine.running.append(engine.waiting.popleft())
            begin_answer(world, engine, work)
    left_ms = TICK_MS * (1 - MAX_PREFILL_SHARE) + budget_ms
    n_tokens = left_ms / (STEP_MS + STEP_MS_PER_REQUEST * len(engine.running))
    for work in engine.running:
        work.answer_tokens -= n_tokens
    for work in [one for one in engine.running if one.answer_tokens <= 0]:
        engine.running.remove(work)
        get_state(work.router.loads, engine.endpoint.name).in_flight -= 1


def begin_answer(world, engine, work):
    """Report the engine's load as an answer begins."""
    load = ReportedLoad(len(engine.running), len(engine.waiting), 64)
    metadata = AnswerMetadata("r", False, False, True, load)
    run_later(
        world,
        lambda: record_head(work.router, work.job, engine.endpoint, 200, metadata),
    )


def draw_arrivals(random):
    """Return how many requests arrive in one tick; they come in groups."""
    n_groups = REQUESTS_PER_S * TICK_MS / 1_000 / MEAN_GROUP_SIZE
    n_requests = 0
    point = random.random()
    while point > math.exp(-n_groups):
        n_requests += 1 + min(8, int(random.expovariate(1 / (MEAN_GROUP_SIZE - 1))))
        point *= random.random()
    return n_requests


def run_world(world, duration_ms):
    while world.now_ms < duration_ms:
        for _ in range(draw_arrivals(world.random)):
            send_prompt(world)
        ready = [call for due_ms, call in world.due if due_ms <= world.now_ms]
        world.due = [one for one in world.due if one[0] > world.now_ms]
        for call in ready:
            call()
        for engine in world.engines.values():
            run_engine(world, engine)
        world.now_ms += TICK_MS


def find_worst_share(arrivals):
    """Return the largest share of requests over the bound in any window."""
    last_ms = arrivals[-1][0]
    shares = []
    for start_ms in range(0, last_ms - WINDOW_MS + 1, WINDOW_STEP_MS):
        end_ms = start_ms + WINDOW_MS
        window = [over for at_ms, over in arrivals if start_ms <= at_ms < end_ms]
        shares.append(sum(window) / len(window))
    return max(shares)


@given("routers that lose half of the datagrams")
def lose_datagrams(context):
    context.lost_share = 0.5


@when(
    "{n_routers:d} routers send prompts to {n_engines:d} engines "
    "for {duration_s:d} s, with the seed {seed:d}"
)
def simulate(context, n_routers, n_engines, duration_s, seed):
    # The router draws from the shared generator.
    seed_shared(seed)
    context.world = build_world(seed, n_routers, n_engines)
    context.world.lost_share = getattr(context, "lost_share", 0.0)
    run_world(context.world, duration_s * 1_000)


@then("in any 5 s at most {n:d} in 100 requests reach an engine over twice the mean")
def check_over(context, n):
    worst = find_worst_share(context.world.arrivals)
    assert worst <= n / 100, f"{100 * worst:.2f} in 100"


@then("at least {n:d} in 100 prompts go to their home")
def check_homes(context, n):
    ranks = context.world.ranks
    assert ranks[0] >= n / 100 * ranks.total(), ranks.most_common(4)


@then("a router sends at most {n:d} datagrams a second")
def check_datagrams(context, n):
    world = context.world
    for router in world.routers.values():
        sent_per_s = router.counters.gossip[SENT] * 1_000 / world.now_ms
        assert 0 < sent_per_s <= n, (router.settings.instance, sent_per_s)
