"""Steps that run the state machines, with or without an injected fault."""

import importlib
import sys
from collections import deque
from pathlib import Path
from unittest import mock

from behave import given, then, when
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from pulley_policy import admission, gates, means, pointers, queues

sys.path.insert(0, str(Path(__file__).parents[2]))
MACHINES = {
    "fleet": ("policy.machines.fleet", "FleetMachine"),
    "fairness": ("policy.machines.fairness", "FairnessMachine"),
}
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)

FAULT_SETTINGS = settings(SETTINGS, max_examples=1_500, phases=[Phase.generate])


def return_infinite_bound(*_arguments):
    return float("inf")


def count_own_load_twice(gate, now_ms):
    load = 2 * gate.load.load()
    return gate.mean.estimate(load, gate.load.capacity, len(gate.peers), now_ms)


def ignore_deadlines(gate, mean, now_ms, make_start_check=gates.make_start_check):
    return make_start_check(gate, mean, now_ms - 1_000_000)


def reset_hops(**fields):
    if fields["n_hops"] < admission.MAX_HOPS:
        fields["n_hops"] = 0
    return admission.Arrival(**fields)


def keep_refused_queued(gate, now_ms, draw):
    for item in gate.queue.items():
        verdict = gates.decide_waiting(gate, item, now_ms, draw)
        if verdict is not None:
            item.deadline_ms = now_ms + 10_000
            yield gates.EndedWait(item, verdict)


def store_any_sample(estimate, peer, load, capacity, round, now_ms, full=False):
    estimate.samples[peer] = means.Sample(load, capacity, round, now_ms)
    estimate.last_heard_ms = now_ms
    return True


def order_by_arrival(queue):
    backlogged = [
        (team_queue.waiting[0].key, team, team_queue)
        for team, team_queue in queue.teams.items()
        if team_queue.waiting
    ]
    return iter(sorted(backlogged, key=lambda entry: entry[:2]))


def put_in_reversed_class(queue, item):
    team_queues = queue.classes[2 - item.priority].teams
    team_queue = team_queues.setdefault(item.team, queues.TeamQueue())
    team_queue.waiting = deque([*team_queue.waiting, item])
    queue.n_waiting += 1
    return True


class NeverDrainingGate(gates.Gate):
    """A gate that ignores a request to drain."""

    draining = property(lambda gate: False, lambda gate, value: None)


FAULTS = {
    "the load bound is ignored": lambda: mock.patch.object(
        admission, "find_bound", return_infinite_bound
    ),
    "the mean counts this load twice": lambda: mock.patch.object(
        gates, "estimate_mean", count_own_load_twice
    ),
    "a drain is ignored": lambda: mock.patch.object(gates, "Gate", NeverDrainingGate),
    "redirects are not bounded": lambda: mock.patch.object(admission, "MAX_HOPS", 99),
    "pointers lead to pointers": lambda: mock.patch.object(
        gates, "Arrival", reset_hops
    ),
    "expired requests start": lambda: mock.patch.object(
        gates, "make_start_check", ignore_deadlines
    ),
    "refused requests stay queued": lambda: mock.patch.object(
        gates, "sweep", keep_refused_queued
    ),
    "notices are never resent": lambda: mock.patch.object(
        pointers.WarmChats, "refresh", lambda warm, n_chats: None
    ),
    "old samples replace newer ones": lambda: mock.patch.object(
        means.MeanEstimate, "add_sample", store_any_sample
    ),
    "teams are served by arrival time": lambda: mock.patch.object(
        queues.ClassQueue, "order_teams", order_by_arrival
    ),
    "batch is served before interactive": lambda: mock.patch.object(
        queues.FairQueue, "put", put_in_reversed_class
    ),
}


@given('the fault "{fault}"')
def inject_fault(context, fault):
    context.fault = FAULTS[fault]


@when("the {machine} state machine runs")
def run_state_machine(context, machine):
    module, name = MACHINES[machine]
    machine_class = getattr(importlib.import_module(module), name)
    context.failure = ""
    fault = getattr(context, "fault", None)
    try:
        if fault is None:
            run_state_machine_as_test(machine_class, settings=SETTINGS)
        else:
            with fault():
                run_state_machine_as_test(machine_class, settings=FAULT_SETTINGS)
    except AssertionError as error:
        context.failure = f"AssertionError: {error}"


@then("it finds no fault")
def check_no_fault(context):
    assert not context.failure, context.failure


@then('it finds a fault with the message "{message}"')
def check_fault_message(context, message):
    assert message in context.failure, context.failure or "no fault was found"
