"""Fakes of the store, agents and routers around the decisions under test."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from pulley_policy import answers, claims, recoveries
from pulley_policy.claims import Reply, Ruling, Stored, Subject, Verdict, View
from pulley_policy.recoveries import Recovery

SERVICE = "bottega"
SEND_TO_ENGINE = object()
MAX_ATTEMPTS = 2
MAX_RESUMES = 4
PIECE_BYTES = 3


def delivery_steps(logic, subject: Subject, idempotent: bool):
    """Claim the attempt, then send it to the engine, as an agent does."""
    if not idempotent:
        ruling = yield from logic.claim_steps(subject)
        if ruling.verdict is not Verdict.CREATED:
            return ruling
    yield SEND_TO_ENGINE
    return Ruling(Verdict.CREATED)


@dataclass(frozen=True)
class Logic:
    """The decisions under test, of which one may be replaced by a faulty version."""

    claim_steps: Callable = claims.claim_steps
    void_steps: Callable = claims.void_steps
    release_steps: Callable = claims.release_steps
    delivery_steps: Callable = delivery_steps
    recover_from_loss: Callable = recoveries.recover_from_loss
    recover_from_void: Callable = recoveries.recover_from_void
    take_piece: Callable = answers.take_piece


@dataclass
class FakeStore:
    """The claim window and the records; ``fault`` is the fault of the next write."""

    window: int = 1
    revision: int = 0
    records: dict = field(default_factory=dict)
    fault: str = ""
    down: bool = False
    late: list = field(default_factory=list)

    def commit(self, key, plan):
        fault, self.fault = self.fault, ""
        if self.down or fault == "no effect":
            return Reply.LOST
        if fault == "late":
            self.late.append((key, plan))
            return Reply.LOST
        reply = self.apply(key, plan)
        return Reply.LOST if fault == "lost reply" else reply

    def apply(self, key, plan):
        current = self.records.get((plan.window, key), Stored())
        earlier = self.records.get((plan.window - 1, key), Stored())
        if (self.window, current.revision, earlier.revision) != (
            plan.window,
            plan.current_revision,
            plan.earlier_revision,
        ):
            return View(self.window, current, earlier)
        self.revision += 1
        self.records[plan.window, key] = Stored(plan.record, self.revision)
        return Reply.DONE

    def advance(self):
        self.window += 1
        kept = self.window - 1
        self.records = {k: v for k, v in self.records.items() if k[0] >= kept}


class StepRunner:
    """Runs one generator of plans and commits them one at a time."""

    def __init__(self, steps, key):
        self.steps = steps
        self.key = key
        self.ruling = None
        self.pending = None
        self.send(None)

    def send(self, reply):
        try:
            self.pending = self.steps.send(reply)
        except StopIteration as stop:
            self.ruling = stop.value

    def step(self, store):
        self.send(store.commit(self.key, self.pending))


@dataclass(eq=False)
class Connection:
    """Frames in flight in both directions; a silent connection delivers none."""

    router: object
    agent: object
    to_agent: list = field(default_factory=list)
    to_router: list = field(default_factory=list)
    silent: bool = False


@dataclass(frozen=True)
class Open:
    """Frame that opens one attempt of one request."""

    request: int
    attempt: int
    subject: Subject
    idempotent: bool


@dataclass(frozen=True)
class Resume:
    """Frame that asks for an attempt's answer from an offset on."""

    request: int
    attempt: int
    nonce: bytes
    offset: int


@dataclass(frozen=True)
class Refused:
    """Frame that reports that an attempt has not run and never will."""

    request: int
    attempt: int
    ruling: Ruling | None


@dataclass(frozen=True)
class Failed:
    """Frame that reports that an attempt ran or may have run."""

    request: int
    attempt: int


@dataclass(frozen=True)
class Data:
    """Frame with a piece of an answer."""

    request: int
    attempt: int
    offset: int
    data: bytes
    last: bool


def make_answer(nonce: bytes) -> bytes:
    """Return the answer of one execution, which is unique to its nonce."""
    return b"<" + nonce + b"|" + nonce[::-1] + b">"


@dataclass(eq=False)
class Delivery:
    """One attempt in an agent; its answer is sent to ``subscribers``."""

    opened: Open
    runner: StepRunner
    subscribers: list
    sent: bool = False
    answer: bytes | None = None
    failed: bool = False


class FakeAgent:
    """One agent and its engine."""

    def __init__(self, name, logic, oracle):
        self.name = name
        self.logic = logic
        self.oracle = oracle
        self.replace()

    def replace(self):
        self.deliveries = {}
        self.seen = set()
        self.releases = []
        self.draining = False

    def receive(self, connection, frame):
        if isinstance(frame, Resume):
            self.resume_attempt(connection, frame)
        elif frame.subject.nonce not in self.seen:
            self.open_attempt(connection, frame)

    def open_attempt(self, connection, opened):
        self.seen.add(opened.subject.nonce)
        if self.draining:
            connection.to_router.append(Refused(opened.request, opened.attempt, None))
            return
        subject = self.oracle.with_token(opened.subject, self.name)
        steps = self.logic.delivery_steps(self.logic, subject, opened.idempotent)
        delivery = Delivery(opened, StepRunner(steps, subject.key), [])
        delivery.subject = subject
        delivery.subscribers.append((connection, opened.request, opened.attempt))
        self.deliveries[subject.nonce] = delivery

    def resume_attempt(self, connection, frame):
        delivery = self.deliveries.get(frame.nonce)
        if delivery is None:
            connection.to_router.append(Failed(frame.request, frame.attempt))
            return
        subscriber = (connection, frame.request, frame.attempt)
        delivery.subscribers.append(subscriber)
        if delivery.answer is not None:
            self.send_pieces(delivery, subscriber, frame.offset)
        elif delivery.failed:
            connection.to_router.append(Failed(frame.request, frame.attempt))

    def step(self, delivery, store):
        """Run one step of a delivery: a write, sending to the engine, or its end."""
        runner = delivery.runner
        if runner.ruling is not None:
            return
        if runner.pending is SEND_TO_ENGINE:
            delivery.sent = True
            self.oracle.execute(delivery.opened)
            runner.send(None)
        else:
            runner.step(store)
        if runner.ruling is not None and not delivery.sent:
            self.refuse(delivery, runner.ruling)

    def refuse(self, delivery, ruling):
        del self.deliveries[delivery.subject.nonce]
        for connection, request, attempt in delivery.subscribers:
            if ruling is not None and ruling.verdict is Verdict.CLAIMED:
                connection.to_router.append(Failed(request, attempt))
            else:
                connection.to_router.append(Refused(request, attempt, ruling))

    def time_out(self, delivery):
        """Refuse a delivery whose deadline passes before the store has answered."""
        if delivery.sent or delivery.runner.ruling is not None:
            return
        delivery.runner.steps.close()
        subject = delivery.subject
        self.releases.append(StepRunner(self.logic.release_steps(subject), subject.key))
        self.refuse(delivery, None)

    def finish(self, delivery):
        """Let the engine answer and send the answer to all subscribers."""
        if delivery.sent and delivery.answer is None and not delivery.failed:
            delivery.answer = make_answer(delivery.subject.nonce)
            for subscriber in delivery.subscribers:
                self.send_pieces(delivery, subscriber, 0)

    def crash_engine(self):
        for delivery in self.deliveries.values():
            if delivery.sent and delivery.answer is None and not delivery.failed:
                delivery.failed = True
                for connection, request, attempt in delivery.subscribers:
                    connection.to_router.append(Failed(request, attempt))

    def send_pieces(self, delivery, subscriber, offset):
        connection, request, attempt = subscriber
        answer = delivery.answer
        for start in range(offset, len(answer), PIECE_BYTES):
            piece = answer[start : start + PIECE_BYTES]
            last = start + PIECE_BYTES >= len(answer)
            data = Data(request, attempt, start, piece, last)
            connection.to_router.append(data)


@dataclass(eq=False)
class Request:
    """One request of a caller at a router; ``outcome`` is empty until it ends."""

    number: int
    key: bytes
    body: bytes
    idempotent: bool
    has_key: bool
    key_window: int = 0
    may_have_run: bool = False
    attempt: int = 0
    subject: Subject | None = None
    nonces: list = field(default_factory=list)
    connection: Connection | None = None
    assembly: answers.Assembly | None = None
    received: bytes = b""
    voiding: StepRunner | None = None
    resumed: int = 0
    outcome: str = ""
    orphan: bool = False


class FakeRouter:
    """One router with its requests and connections."""

    def __init__(self, name, logic, oracle):
        self.name = name
        self.logic = logic
        self.oracle = oracle
        self.requests = {}
        self.connections = {}
        self.window = 1

    def replace(self):
        for request in self.requests.values():
            request.orphan = not request.outcome
        self.requests = {}
        self.connections = {}

    def connect(self, agent) -> Connection:
        connection = self.connections.get(agent.name)
        if connection is None:
            connection = Connection(self, agent)
            self.connections[agent.name] = connection
            self.oracle.connections.append(connection)
        return connection

    def accept(self, request, key_window):
        """Accept a caller's request; it is refused if its key has expired."""
        self.requests[request.number] = request
        request.key_window = key_window
        self.open_attempt(request)

    def open_attempt(self, request):
        if request.has_key and claims.is_expired(request.key_window, self.window):
            self.finish_request(request, "unknown")
            return
        if request.attempt >= MAX_ATTEMPTS:
            self.finish_request(
                request, "unknown" if request.may_have_run else "not-run"
            )
            return
        request.attempt += 1
        agent = self.oracle.next_agent(request)
        nonce = self.oracle.make_nonce()
        key = request.key if request.has_key else nonce
        subject = Subject(SERVICE, key, nonce, self.window, agent.name, request.body)
        request.subject = subject
        request.nonces.append(nonce)
        request.assembly = answers.Assembly(request.attempt)
        request.received = b""
        request.connection = self.connect(agent)
        opened = Open(request.number, request.attempt, subject, request.idempotent)
        request.connection.to_agent.append(opened)

    def receive(self, connection, frame):
        request = self.requests.get(frame.request)
        if request is None or request.outcome:
            return
        if isinstance(frame, Data):
            self.receive_data(request, frame)
        elif frame.attempt == request.attempt and request.voiding is None:
            if isinstance(frame, Refused):
                self.receive_refused(request, frame.ruling)
            else:
                self.receive_failed(request)

    def receive_data(self, request, frame):
        taken = self.logic.take_piece(
            request.assembly, frame.attempt, frame.offset, frame.data, frame.last
        )
        if taken == answers.FrameFault.GAP:
            self.resume_attempt(
                request, request.subject.nonce, request.connection.agent
            )
        elif isinstance(taken, bytes):
            request.received += taken
            if answers.is_whole(request.assembly):
                self.finish_request(request, "complete")

    def receive_refused(self, request, ruling):
        verdict = ruling.verdict if ruling is not None else None
        if verdict is Verdict.TAKEN:
            self.join(request, ruling)
        elif verdict is Verdict.KEY_REUSED:
            self.finish_request(request, "not-run")
        else:
            self.window = self.oracle.store.window
            self.open_attempt(request)

    def receive_failed(self, request):
        request.may_have_run = True
        if request.idempotent:
            self.open_attempt(request)
        else:
            self.finish_request(request, "unknown")

    def handle_loss(self, request):
        """Recover a request after the connection of its attempt was lost."""
        if request.outcome or request.voiding is not None:
            return
        if request.resumed or request.received:
            self.resume_attempt(
                request, request.subject.nonce, request.connection.agent
            )
            return
        recovery = self.logic.recover_from_loss(request.idempotent)
        if recovery is Recovery.RETRY:
            request.may_have_run = request.idempotent
            self.open_attempt(request)
        else:
            steps = self.logic.void_steps(request.subject)
            request.voiding = StepRunner(steps, request.subject.key)

    def step_void(self, request, store):
        request.voiding.step(store)
        ruling = request.voiding.ruling
        if ruling is not None:
            request.voiding = None
            self.recover(request, ruling)

    def recover(self, request, ruling):
        recovery = self.logic.recover_from_void(ruling, request.has_key)
        if recovery is Recovery.RETRY:
            self.window = self.oracle.store.window
            self.open_attempt(request)
        elif recovery in (Recovery.SAY_NOT_RUN, Recovery.SAY_KEY_REUSED):
            self.finish_request(request, "not-run")
        elif recovery is Recovery.RESUME:
            self.resume_attempt(
                request, request.subject.nonce, request.connection.agent
            )
        elif recovery is Recovery.JOIN:
            self.join(request, ruling)
        else:
            self.finish_request(request, "unknown")

    def time_out_void(self, request):
        if request.voiding is not None:
            request.voiding = None
            self.finish_request(request, "unknown")

    def join(self, request, ruling):
        holder = ruling.claimed
        request.attempt += 1
        request.assembly = answers.Assembly(request.attempt)
        request.received = b""
        request.subject = Subject(SERVICE, request.key, holder.nonce, 0)
        agent = self.oracle.agents[holder.agent]
        self.resume_attempt(request, holder.nonce, agent)

    def resume_attempt(self, request, nonce, agent):
        request.resumed += 1
        if request.resumed > MAX_RESUMES:
            self.finish_request(request, "unknown")
            return
        request.connection = self.connect(agent)
        offset = request.assembly.offset
        resume = Resume(request.number, request.attempt, nonce, offset)
        request.connection.to_agent.append(resume)

    def finish_request(self, request, outcome):
        request.outcome = outcome
        self.oracle.check_outcome(request)

    def drop_connection(self, connection):
        """Drop a connection and recover the requests that were open on it."""
        if self.connections.get(connection.agent.name) is connection:
            del self.connections[connection.agent.name]
        for request in list(self.requests.values()):
            if request.connection is connection:
                self.handle_loss(request)


def open_requests(router: FakeRouter) -> Iterator[Request]:
    """Return an iterator over the requests that have no outcome yet."""
    return (request for request in router.requests.values() if not request.outcome)
