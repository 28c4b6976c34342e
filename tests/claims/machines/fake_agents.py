"""A fake agent and its engine."""

from dataclasses import dataclass

from pulley_policy.claims import Verdict

from .fake_stores import SEND_TO_ENGINE, StepRunner
from .frames import PIECE_BYTES, Data, Failed, Open, Refused, Resume, make_answer


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
