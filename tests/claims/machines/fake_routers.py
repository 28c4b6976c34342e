"""A fake router and its callers' requests."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from pulley_policy import answers, claims
from pulley_policy.claims import Subject, Verdict
from pulley_policy.recoveries import Recovery

from .fake_stores import StepRunner
from .frames import Connection, Data, Open, Refused, Resume

SERVICE = "bottega"
MAX_ATTEMPTS = 2
MAX_RESUMES = 4


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
