"""A state machine over the fakes, checked by one oracle.

The oracle records the executions of each key and the outcome that each caller
gets. These alone decide whether the fleet behaved correctly.
"""

from collections import Counter
from dataclasses import replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from .fake_agents import FakeAgent
from .fake_routers import FakeRouter, Request, open_requests
from .fake_stores import FakeStore, Logic
from .frames import make_answer

INDEX = st.integers(0, 7)
KEYS = st.sampled_from([b"K1", b"K2"])
POSITIONS = st.sampled_from([0, 0, 0, 1, 2])
SEND_KINDS = ("keyed", "other body", "both routers", "keyless", "idempotent")
SENDS = st.sampled_from(SEND_KINDS)
WORK = st.sampled_from(["finish", "finish", "release", "void times out", "time out"])
PROCESSES = st.sampled_from(
    ["replace agent", "replace router", "drain", "crash engine"]
)
STORE = st.sampled_from(["outage", "lost reply", "no effect", "late", "apply late"])
WINDOWS = st.sampled_from(["advance", "read"])
MAX_STEPS = 4
MAX_FINAL_ROUNDS = 100


class Oracle:
    """Checks executions and outcomes; also holds what the fakes share."""

    def __init__(self, logic):
        self.store = FakeStore()
        self.connections = []
        self.executions = Counter()
        self.executed = {}
        self.n_nonces = 0
        self.n_requests = 0
        self.not_run = set()
        names = ("agent1", "agent2")
        self.agents = {name: FakeAgent(name, logic, self) for name in names}
        self.routers = [FakeRouter(name, logic, self) for name in "ab"]
        self.key_windows = {}

    def make_nonce(self):
        self.n_nonces += 1
        return b"n%d" % self.n_nonces

    def with_token(self, subject, agent):
        self.n_nonces += 1
        return replace(subject, token=b"t%d" % self.n_nonces, agent=agent)

    def next_agent(self, request):
        names = sorted(self.agents)
        return self.agents[names[(request.number + request.attempt) % len(names)]]

    def execute(self, opened):
        """Record an execution; check that a key runs once, and not after not-run."""
        subject = opened.subject
        self.executed[subject.nonce] = subject
        assert subject.nonce not in self.not_run, "ran after its outcome was not-run"
        if not opened.idempotent:
            self.executions[subject.key] += 1
            assert self.executions[subject.key] <= 1, "a key ran twice"

    def check_outcome(self, request):
        """Check a request's outcome against the executions."""
        if request.outcome == "not-run":
            executed = [nonce for nonce in request.nonces if nonce in self.executed]
            assert not executed, "the outcome of a request that ran was not-run"
            self.not_run.update(request.nonces)
        if request.outcome == "complete":
            assert self.is_correct_answer(request), "a wrong or incomplete answer"

    def is_correct_answer(self, request):
        return any(
            request.received == make_answer(nonce)
            and (subject.body, subject.key) == (request.body, request.key)
            for nonce, subject in self.list_executions()
        )

    def list_executions(self):
        for nonce, subject in self.executed.items():
            yield (
                nonce,
                Execution(subject.body_digest, self.find_caller_key(nonce, subject)),
            )

    def find_caller_key(self, nonce, subject):
        """Return the caller's key, empty if the key is the attempt's own nonce."""
        return b"" if subject.key == nonce else subject.key


class Execution:
    """The body and the key of an executed request."""

    def __init__(self, body, key):
        self.body = body
        self.key = key


class FleetMachine(RuleBasedStateMachine):
    """Drives the fakes through all orders of events and faults."""

    logic = Logic()
    first_kinds = SEND_KINDS

    def __init__(self):
        super().__init__()
        self.oracle = Oracle(self.logic)
        self.store = self.oracle.store
        self.agents = list(self.oracle.agents.values())
        self.routers = self.oracle.routers

    def send(self, router, key, body, idempotent):
        oracle = self.oracle
        oracle.n_requests += 1
        has_key = bool(key) and not idempotent
        request = Request(oracle.n_requests, key, body, idempotent, has_key)
        key_window = oracle.key_windows.setdefault(key, router.window)
        router.accept(request, key_window)

    @initialize(data=st.data(), run=st.booleans())
    def send_first(self, data, run):
        """Start with a request, so that short runs reach its end."""
        self.send_request(data.draw(st.sampled_from(self.first_kinds)), 0, b"K1")
        if run:
            self.run_agents()

    @rule(kind=SENDS, index=INDEX, key=KEYS)
    def send_request(self, kind, index, key):
        router = self.routers[index % 2]
        if kind == "keyed":
            self.send(router, key, b"order " + key, False)
        elif kind == "other body":
            self.send(router, key, b"other order", False)
        elif kind == "both routers":
            for router in self.routers:
                self.send(router, key, b"order " + key, False)
        else:
            body = b"body %d" % self.oracle.n_requests
            self.send(router, b"", body, kind == "idempotent")

    def pick(self, index, items):
        items = list(items)
        return items[index % len(items)] if items else None

    def frames(self):
        for connection in self.oracle.connections:
            if not connection.silent:
                for side in ("to_agent", "to_router"):
                    for position in range(len(getattr(connection, side))):
                        yield connection, side, position

    def deliver_frame(self, connection, side, position, keep=False):
        queue = getattr(connection, side)
        frame = queue[position] if keep else queue.pop(position)
        if side == "to_agent":
            connection.agent.receive(connection, frame)
        elif connection.router is not None:
            connection.router.receive(connection, frame)

    @rule(index=INDEX, position=POSITIONS, keep=st.booleans())
    def deliver(self, index, position, keep):
        """Deliver one frame, mostly a queue's first; a kept one is delivered again."""
        queues = [frame for frame in self.frames() if frame[2] == 0]
        picked = self.pick(index, queues)
        if picked is not None:
            connection, side, _first = picked
            position %= len(getattr(connection, side))
            self.deliver_frame(connection, side, position, keep=keep)

    @rule(n_frames=st.integers(1, 8))
    def deliver_in_order(self, n_frames):
        for _frame in range(n_frames):
            picked = self.pick(0, self.frames())
            if picked is not None:
                self.deliver_frame(*picked)

    @rule()
    def run_agents(self):
        """Let the agents receive and run everything that is sent to them."""
        frames = [frame for frame in self.frames() if frame[1] == "to_agent"]
        for connection, side, _position in frames:
            self.deliver_frame(connection, side, 0)
        for agent, delivery in list(self.deliveries()):
            for _step in range(MAX_STEPS):
                agent.step(delivery, self.store)
            agent.finish(delivery)

    def deliveries(self):
        for agent in self.agents:
            for delivery in agent.deliveries.values():
                yield agent, delivery

    @rule(index=INDEX, n_steps=st.integers(1, 3))
    def step_agent(self, index, n_steps):
        for _step in range(n_steps):
            picked = self.pick(index, self.deliveries())
            if picked is not None:
                picked[0].step(picked[1], self.store)

    def voids(self):
        for router in self.routers:
            for request in open_requests(router):
                if request.voiding is not None:
                    yield router, request

    @rule(n_steps=st.integers(1, 3))
    def step_voids(self, n_steps):
        for _step in range(n_steps):
            for router, request in list(self.voids()):
                router.step_void(request, self.store)

    @rule(kind=WORK, index=INDEX)
    def work(self, kind, index):
        """Let engines answer, releases continue and deadlines pass."""
        if kind == "release":
            self.step_releases(self.agents[index % 2])
        elif kind == "void times out":
            picked = self.pick(index, self.voids())
            if picked is not None:
                picked[0].time_out_void(picked[1])
        else:
            picked = self.pick(index, self.deliveries())
            if picked is not None:
                act = picked[0].finish if kind == "finish" else picked[0].time_out
                act(picked[1])

    def step_releases(self, agent):
        for runner in list(agent.releases):
            runner.step(self.store)
            if runner.ruling is not None:
                agent.releases.remove(runner)

    @rule(silent=st.booleans(), newest=st.booleans(), n_steps=st.integers(0, 2))
    def lose_connection(self, silent, newest, n_steps):
        """Let a router drop a connection, on which frames may still be delivered."""
        live = [each for each in self.oracle.connections if not each.silent]
        if live:
            connection = live[-1 if newest else 0]
            connection.silent = silent
            connection.router.drop_connection(connection)
            self.step_voids(n_steps)

    @rule(kind=PROCESSES, index=INDEX)
    def inject_process_fault(self, kind, index):
        agent = self.agents[index % 2]
        if kind == "replace agent":
            self.replace_agent(agent)
        elif kind == "replace router":
            self.routers[index % 2].replace()
            self.routers[index % 2].window = self.store.window
        elif kind == "drain":
            agent.draining ^= True
        else:
            agent.crash_engine()

    def replace_agent(self, agent):
        agent.replace()
        for connection in self.oracle.connections:
            if connection.agent is agent and not connection.silent:
                connection.silent = True
                connection.router.drop_connection(connection)

    @rule(kind=STORE, index=INDEX)
    def inject_store_fault(self, kind, index):
        store = self.store
        if kind == "outage":
            store.down = not store.down
        elif kind == "apply late":
            if store.late:
                store.apply(*store.late.pop(index % len(store.late)))
        else:
            store.fault = kind

    @rule(kind=WINDOWS, index=INDEX)
    def update_window(self, kind, index):
        if kind == "advance":
            self.store.advance()
        else:
            self.routers[index % 2].window = self.store.window

    def run_final_round(self):
        for late in self.store.late:
            self.store.apply(*late)
        self.store.late.clear()
        for router, request in list(self.voids()):
            router.step_void(request, self.store)
        for agent, delivery in list(self.deliveries()):
            agent.step(delivery, self.store)
            agent.finish(delivery)
        self.deliver_in_order(50)

    def teardown(self):
        """End all faults; each request must then get an outcome."""
        self.store.down = False
        self.store.fault = ""
        for connection in self.oracle.connections:
            if connection.silent:
                connection.router.drop_connection(connection)
        for final_round in range(MAX_FINAL_ROUNDS):
            self.run_final_round()
            waiting = [r for router in self.routers for r in open_requests(router)]
            if not waiting and final_round >= MAX_STEPS:
                break
        assert not waiting, f"no outcome for request {waiting[0].number}"
