"""Test a small fleet of gates against an oracle that knows each engine's true state.

The gates see stale lists, lost, duplicated and reordered messages, and clocks that
jump. The oracle tracks each engine's actual work, which requests have run, and which
loads have reached which gate.
"""

from collections import Counter
from dataclasses import dataclass, field
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from pulley_policy import admission, gates, means, pointers
from pulley_policy.loads import LoadCount
from pulley_policy.placement import digest_chat, find_homes, rank_endpoints
from pulley_policy.queues import FairQueue, WaitingRequest
from pulley_policy.routes import (
    Route,
    follow_redirect,
    return_to_sender,
    take_target,
)

CAPACITY = 1_000.0
LOAD_MULTIPLE = 1.5
MAX_TEAM_RUNNING = 4
NAMES = [f"10.0.0.{number}:1" for number in range(1, 8)]
CHATS = [digest_chat("consiglio", str(number)) for number in range(12)]
EPSILON = 1e-6
MAX_HOPS = 3
N_SLOTS = 5


@dataclass
class HeardLoad:
    """The actual load of an engine, as sent in a message that reached a gate."""

    serial: int
    load: float
    received_ms: int


@dataclass
class Engine:
    """The actual state of one engine, with the gate in front of it."""

    gate: gates.Gate
    clock_skew_ms: int = 0
    running: dict[int, float] = field(default_factory=dict)
    items: dict[int, WaitingRequest] = field(default_factory=dict)
    drained: bool = False
    heard_loads: dict[str, HeardLoad] = field(default_factory=dict)
    bound: float = 0.0
    last_mean: float = 0.0
    last_heard_ms: int | None = None

    def load(self) -> float:
        return sum(self.running.values())


class FleetMachine(RuleBasedStateMachine):
    """Runs gates under churn and checks them against the oracle."""

    def __init__(self):
        super().__init__()
        self.random = Random(7)
        self.now_ms = 100_000
        self.engines: dict[str, Engine] = {}
        self.router_lists = {router: set() for router in ("r1", "r2")}
        self.messages = []
        self.serial = 0
        self.next_key = 0
        self.ran = Counter()
        self.refused = set()
        self.queued = set()

    @initialize(n_engines=st.integers(1, 5))
    def start(self, n_engines):
        for name in NAMES[:n_engines]:
            self.add_engine(name)
        for known in self.router_lists.values():
            known.update(self.engines)
        for name in self.engines:
            self.refresh_peers(name)

    def add_engine(self, name):
        limits = admission.Limits(load_multiple=LOAD_MULTIPLE, n_slots=N_SLOTS)
        gate = gates.Gate(name, LoadCount(CAPACITY), limits, FairQueue(max_waiting=6))
        gate.mean.round = self.serial
        self.engines[name] = Engine(gate)

    def local_ms(self, engine):
        return self.now_ms + engine.clock_skew_ms

    def pick_engine_name(self, number):
        names = sorted(self.engines)
        return names[number % len(names)] if names else None

    def refresh_peers(self, name):
        alive = {one for one, engine in self.engines.items() if not engine.drained}
        engine = self.engines[name]
        for gone in engine.gate.peers - alive:
            engine.heard_loads.pop(gone, None)
        gates.set_peers(engine.gate, frozenset(alive - {name}))

    # Churn

    @rule(number=st.integers(0, 9))
    def join(self, number):
        name = NAMES[number % len(NAMES)]
        if name not in self.engines:
            self.add_engine(name)
            self.refresh_peers(name)

    @rule(number=st.integers(0, 9))
    def crash(self, number):
        name = self.pick_engine_name(number)
        if name and len(self.engines) > 1:
            del self.engines[name]

    @rule(number=st.integers(0, 9))
    def drain(self, number):
        name = self.pick_engine_name(number)
        if name:
            self.engines[name].drained = True
            self.engines[name].gate.draining = True
            self.sweep(name)

    @rule(number=st.integers(0, 9))
    def read_list(self, number):
        name = self.pick_engine_name(number)
        if name:
            self.refresh_peers(name)

    @rule(router=st.sampled_from(["r1", "r2"]))
    def read_router_list(self, router):
        self.router_lists[router] = set(self.engines)

    @rule(number=st.integers(0, 9), jump_ms=st.integers(-20_000, 20_000))
    def jump_clock(self, number, jump_ms):
        name = self.pick_engine_name(number)
        if name:
            self.engines[name].clock_skew_ms += jump_ms

    @rule(elapsed_ms=st.integers(1, 3_000))
    def pass_time(self, elapsed_ms):
        self.now_ms += elapsed_ms
        for name in list(self.engines):
            self.sweep(name)
            self.start_waiting(name)

    # Requests

    @rule(
        router=st.sampled_from(["r1", "r2"]),
        chat=st.sampled_from(CHATS),
        team=st.sampled_from(["a", "b"]),
        priority=st.integers(0, 2),
        work=st.integers(1, 600),
        left_ms=st.integers(0, 5_000),
    )
    def send(self, router, chat, team, priority, work, left_ms):
        self.next_key += 1
        key, route, n_warm = self.next_key, Route(), 0
        while name := take_target(route) or self.choose_endpoint(router, chat, route):
            if name not in self.engines:
                route.tried.append(name)
                return_to_sender(route)
                continue
            item = WaitingRequest(
                key, team, priority, work, 0, max_running=MAX_TEAM_RUNNING
            )
            item.chat, item.n_hops = chat, route.n_hops
            verdict = self.offer(name, item, left_ms)
            route.tried.append(name)
            assert len(route.tried) <= 2 * len(NAMES), (
                "a request was redirected in a loop"
            )
            if not isinstance(verdict, admission.Redirect):
                break
            n_warm += verdict.warm
            assert n_warm <= 1, "a pointer led to another pointer"
            follow_redirect(route, name, verdict.endpoint, verdict.warm)
            assert route.target, "a redirect was dropped"
        if key not in self.queued:
            self.refused.add(key)

    def choose_endpoint(self, router, chat, route):
        left = self.router_lists[router] - set(route.tried)
        return next(iter(rank_endpoints(chat, left)), None)

    @rule(
        chat=st.sampled_from(CHATS),
        team=st.sampled_from(["a", "b"]),
        works=st.lists(st.integers(1, 600), min_size=4, max_size=10),
        left_ms=st.integers(1, 5_000),
    )
    def surge(self, chat, team, works, left_ms):
        for work in works:
            self.send("r1", chat, team, 0, work, left_ms)

    def offer(self, name, item, left_ms):
        """Send a request to a gate and return the gate's verdict."""
        engine = self.engines[name]
        now_ms = self.local_ms(engine)
        item.deadline_ms = now_ms + left_ms
        self.update_bound(engine)
        verdict = gates.decide_arrival(engine.gate, item, now_ms, self.random.random)
        if isinstance(verdict, admission.Redirect):
            assert item.n_hops < MAX_HOPS, "one request was redirected too often"
            assert verdict.endpoint != name, "a gate redirected to itself"
        if isinstance(verdict, admission.Queue):
            self.queued.add(item.key)
            self.start_waiting(name)
        return verdict

    def start_waiting(self, name):
        engine = self.engines[name]
        while True:
            self.update_bound(engine)
            item = gates.start_next(engine.gate, self.local_ms(engine))
            if not item:
                return
            self.check_start(name, engine, item)
            engine.running[item.key] = item.work
            engine.items[item.key] = item
            self.ran[item.key] += 1

    def check_start(self, name, engine, item):
        before = engine.load()
        bound = engine.bound
        largest = max([item.work, *engine.running.values()])
        excess = before + item.work - largest - bound
        assert excess <= EPSILON, (
            f"{name} at load {before} exceeded its load bound {bound}"
        )
        assert not before or before + item.work <= CAPACITY + EPSILON
        assert len(engine.running) < N_SLOTS, "more requests run than there are slots"
        assert not engine.drained, f"{name} started work after its drain"
        assert item.deadline_ms > self.local_ms(engine), (
            "an expired request was started"
        )
        assert item.key not in self.refused, "a refused request ran"
        assert self.ran[item.key] == 0, "a request ran twice"
        team = [one for one in engine.running if engine.items[one].team == item.team]
        assert len(team) < MAX_TEAM_RUNNING, "a team is over its limit"

    def update_bound(self, engine):
        """Compute the bound from the actual loads that reached this gate."""
        now_ms = self.local_ms(engine)
        mean = gates.estimate_mean(engine.gate, now_ms)
        for peer, one in list(engine.heard_loads.items()):
            if now_ms - one.received_ms > means.SAMPLE_TTL_MS:
                del engine.heard_loads[peer]
        if engine.heard_loads and engine.gate.peers:
            loads = [one.load for one in engine.heard_loads.values()]
            engine.last_mean = (engine.load() + sum(loads)) / (1 + len(loads))
            error = abs(mean.share * CAPACITY - engine.last_mean)
            assert error < EPSILON, f"the mean is wrong by {error}"
        if engine.last_heard_ms is None and engine.gate.peers:
            engine.last_heard_ms = now_ms
        silent_ms = now_ms - (engine.last_heard_ms or now_ms)
        isolated = not engine.gate.peers or silent_ms > means.ISOLATED_AFTER_MS
        bound = CAPACITY if isolated else LOAD_MULTIPLE * engine.last_mean
        engine.bound = min(CAPACITY, bound)

    def sweep(self, name):
        engine = self.engines[name]
        now_ms = self.local_ms(engine)
        self.update_bound(engine)
        for ended in list(gates.sweep(engine.gate, now_ms, self.random.random)):
            self.refused.add(ended.item.key)

    @rule(number=st.integers(0, 9), which=st.integers(0, 9))
    def finish(self, number, which):
        name = self.pick_engine_name(number)
        engine = self.engines.get(name)
        if engine is None or not engine.running:
            return
        key = sorted(engine.running)[which % len(engine.running)]
        del engine.running[key]
        item = engine.items.pop(key)
        gates.finish(engine.gate, item, item.work)
        self.start_waiting(name)

    @rule(number=st.integers(0, 9), done=st.integers(1, 200))
    def progress(self, number, done):
        engine = self.engines.get(self.pick_engine_name(number))
        if engine is None:
            return
        for key, left in engine.running.items():
            step = min(done, max(0.0, left - 1))
            engine.running[key] = left - step
            engine.gate.load.progress(key, done)

    # Messages

    @rule(number=st.integers(0, 9))
    def exchange(self, number):
        name = self.pick_engine_name(number)
        if name:
            peers = sorted(self.engines[name].gate.peers)
            for peer in means.choose_partners(peers, self.random.random, 4):
                self.post_load(name, peer)

    def post_load(self, name, peer):
        engine = self.engines[name]
        engine.gate.mean.round += 1
        self.serial += 1
        body = (engine.gate.load.load(), engine.gate.mean.round)
        self.messages.append((peer, name, body, (self.serial, engine.load())))

    @rule(
        which=st.lists(st.integers(0, 50), min_size=1, max_size=6),
        fate=st.sampled_from(["arrive", "arrive", "get lost", "arrive twice"]),
    )
    def deliver(self, which, fate):
        for number in which:
            if not self.messages:
                return
            index = number % len(self.messages)
            is_duplicate = fate == "arrive twice"
            message = self.messages[index] if is_duplicate else self.messages.pop(index)
            if fate != "get lost":
                self.deliver_message(message)

    @rule(number=st.integers(0, 9))
    def sync_homes(self, number):
        name = self.pick_engine_name(number)
        if name:
            self.messages.extend(self.find_notices(name))

    def find_notices(self, name):
        gate = self.engines[name].gate
        names = gate.peers | {name}
        return pointers.find_pending_notices(
            gate.warm, name, lambda chat: find_homes(chat, names)
        )

    def apply_notice(self, notice):
        engine = self.engines.get(notice.home)
        if engine is not None:
            for chat in notice.chats:
                engine.gate.pointers.set(chat, notice.endpoint)

    def deliver_message(self, message):
        if isinstance(message, pointers.Notice):
            self.apply_notice(message)
            return
        peer, sender, body, (serial, true_load) = message
        engine = self.engines.get(peer)
        if engine is None or sender not in engine.gate.peers:
            return
        now_ms = self.local_ms(engine)
        engine.gate.mean.add_sample(sender, body[0], CAPACITY, body[1], now_ms)
        previous = engine.heard_loads.get(sender)
        expired = previous and now_ms - previous.received_ms > means.SAMPLE_TTL_MS
        if previous is None or expired or serial > previous.serial:
            engine.last_heard_ms = now_ms
            engine.heard_loads[sender] = HeardLoad(serial, true_load, now_ms)

    @rule()
    def check_converged_means(self):
        """Check that the mean is exact once all lists and messages have arrived."""
        for name in self.engines:
            self.refresh_peers(name)
        alive = [name for name, one in self.engines.items() if not one.drained]
        for name in alive:
            for peer in alive:
                if peer != name:
                    self.post_load(name, peer)
                    self.deliver_message(self.messages.pop())
        if len(alive) < 2:
            return
        true_mean = sum(self.engines[name].load() for name in alive) / len(alive)
        for name in alive:
            engine = self.engines[name]
            self.update_bound(engine)
            mean = gates.estimate_mean(engine.gate, self.local_ms(engine))
            error = abs(mean.share * CAPACITY - true_mean)
            assert error < EPSILON, f"the converged mean is wrong by {error}"
            assert not mean.stale

    @rule()
    def check_converged_pointers(self):
        """Check that after one refresh each home knows where its chats are warm."""
        alive = [name for name, one in self.engines.items() if not one.drained]
        for name in alive:
            self.refresh_peers(name)
        for name in alive:
            warm = self.engines[name].gate.warm
            warm.refresh(len(warm.chats))
            warm.refresh(len(warm.chats))
            for notice in self.find_notices(name):
                self.apply_notice(notice)
        for name in alive:
            for chat in self.engines[name].gate.warm.chats:
                self.check_findable(chat, find_homes(chat, alive))

    def check_findable(self, chat, homes):
        """Check that the home, or else the endpoint ranked second, finds the chat."""
        first = self.engines[homes[0]].gate
        if chat in first.warm.chats:
            return
        for home in homes:
            gate = self.engines[home].gate
            target = gates.find_pointer(gate, chat)
            warm_at = target and chat in self.engines[target].gate.warm.chats
            assert warm_at or chat in gate.warm.chats, "a warm chat was lost"
