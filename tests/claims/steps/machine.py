"""Steps that run the state machine with the real logic and with faulty logic."""

from behave import given, then, when
from claims.machines.fleet import FleetMachine
from claims.machines.logic_faults import make_faulty_machine
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

N_STEPS = 20


@given('the logic has the fault "{name}"')
def set_logic_fault(context, name):
    context.machine = make_faulty_machine(name)


@when("the state machine of the fleet runs {n_examples:d} times")
def run_machine(context, n_examples):
    options = settings(
        max_examples=n_examples,
        stateful_step_count=N_STEPS,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=[Phase.generate],
    )
    machine = getattr(context, "machine", FleetMachine)
    context.failure = None
    try:
        run_state_machine_as_test(machine, settings=options)
    except AssertionError as failure:
        context.failure = failure


@then("it finds no failure")
def check_no_failure(context):
    assert context.failure is None, context.failure


@then("it finds a failure")
def check_failure(context):
    assert context.failure is not None, "the fault in the logic was not detected"
