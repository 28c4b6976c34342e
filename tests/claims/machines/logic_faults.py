"""Faulty variants of the logic, each of which the state machine must detect."""

from dataclasses import replace

from pulley_policy import answers, claims
from pulley_policy.claims import Reply, Ruling, Verdict
from pulley_policy.recoveries import Recovery

from .fake_stores import SEND_TO_ENGINE, Logic
from .fleet import FleetMachine


def send_then_claim(logic, subject, idempotent):
    """Send the attempt to the engine first and claim it afterwards."""
    yield SEND_TO_ENGINE
    if not idempotent:
        yield from logic.claim_steps(subject)
    return Ruling(Verdict.CREATED)


def retry_after_loss(idempotent):
    """Retry every attempt whose connection was lost."""
    return Recovery.RETRY


def void_without_compare(subject):
    """Treat the void as done even if its compare failed."""
    reply = Reply.LOST
    while reply is Reply.LOST:
        reply = yield claims.plan_void(subject)
    return Ruling(Verdict.VOIDED)


def accept_any_piece(assembly, attempt, offset, data, last):
    """Accept pieces of any attempt."""
    return answers.take_piece(assembly, assembly.attempt, offset, data, last)


def plan_without_earlier_voids(subject, view=None):
    """Plan a void that overwrites the earlier ones."""
    plan = claims.plan_first(subject, claims.Record(None, (subject.nonce,)))
    if view is None:
        return plan
    return replace(
        plan,
        current_revision=view.current.revision,
        earlier_revision=view.earlier.revision,
    )


def void_without_earlier_voids(subject):
    """Void an attempt without keeping the voids of other attempts."""
    view = None
    while True:
        reply = yield plan_without_earlier_voids(subject, view)
        if reply is Reply.DONE:
            return Ruling(Verdict.VOIDED)
        if reply is not Reply.LOST:
            view = reply
            ruling = claims.judge_void(subject, view)
            if ruling is not None:
                return ruling


def claim_in_any_window(subject):
    """Claim under the store's current window instead of the attempt's own."""
    current = subject
    view = None
    while True:
        reply = yield claims.plan_claim(current, view)
        if reply is Reply.DONE:
            return Ruling(Verdict.CREATED)
        if reply is not Reply.LOST:
            view = reply
            if view.window != current.window:
                current = replace(current, window=view.window)
                view = None
                continue
            ruling = claims.judge_claim(current, view)
            if ruling is not None:
                return ruling


FAULTY_LOGIC = {
    "claim after send": Logic(delivery_steps=send_then_claim),
    "retry on unknown": Logic(recover_from_loss=retry_after_loss),
    "void without compare": Logic(void_steps=void_without_compare),
    "late frame accepted": Logic(take_piece=accept_any_piece),
    "voids forgotten": Logic(void_steps=void_without_earlier_voids),
    "any window": Logic(claim_steps=claim_in_any_window),
}
IDEMPOTENT_ONLY = frozenset({"late frame accepted"})


def make_faulty_machine(name: str) -> type[FleetMachine]:
    """Return a state machine class over the logic with the named fault."""
    kinds = ("idempotent",) if name in IDEMPOTENT_ONLY else ("keyed", "keyless")
    members = {"logic": FAULTY_LOGIC[name], "first_kinds": kinds}
    return type("PlantedMachine", (FleetMachine,), members)
