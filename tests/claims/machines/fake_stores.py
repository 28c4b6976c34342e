"""A fake store, and the decisions under test that write to it step by step."""

from collections.abc import Callable
from dataclasses import dataclass, field

from pulley_policy import answers, claims, recoveries
from pulley_policy.claims import Reply, Ruling, Stored, Subject, Verdict, View

SEND_TO_ENGINE = object()


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
