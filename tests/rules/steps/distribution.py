"""Steps for the distribution of rules to processes."""

import sys
from pathlib import Path
from random import Random

from behave import then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from pulley_rules.following import (
    InstallResult,
    RulesState,
    install_text,
    read_interval_ms,
    should_request,
)

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "machines"))

VALID_TEXT = "team t weight={}  # maria: test"


@then("the state machine of editors, store and processes finds no fault")
def run_distribution_machine(context):
    from distribution import DistributionMachine

    run_state_machine_as_test(
        DistributionMachine,
        settings=settings(
            max_examples=150,
            stateful_step_count=60,
            deadline=None,
            derandomize=True,
            database=None,
        ),
    )


@when("a process holds revision 5 and receives revision 4 and revision 5 again")
def receive_older(context):
    context.rules_state = RulesState()
    install_text(context.rules_state, VALID_TEXT.format(5), 5)
    for revision in (4, 5):
        result = install_text(context.rules_state, VALID_TEXT.format(9), revision)
        assert result is InstallResult.NOT_HIGHER


@when("a process holds revision 5 and receives an invalid text as revision 6")
def receive_invalid(context):
    context.rules_state = RulesState()
    install_text(context.rules_state, VALID_TEXT.format(5), 5)
    assert install_text(context.rules_state, "taem t", 6) is InstallResult.REJECTED


@then("it still holds revision 5 and its text")
def check_still_held(context):
    rules = context.rules_state.rules
    assert (rules.revision, rules.text) == (5, VALID_TEXT.format(5))
    assert rules.teams["t"].weight == 5


@then("revision 6 is requested again only after 10 s and its problem is reported")
def check_request_interval(context):
    assert should_request(context.rules_state, 6, 100)
    assert not should_request(context.rules_state, 6, 10_099)
    assert should_request(context.rules_state, 6, 10_100)
    assert context.rules_state.rejection_error.problems[0].suggestion == "team"


@then("a valid text as revision 6 is installed")
def check_valid_installed(context):
    result = install_text(context.rules_state, VALID_TEXT.format(7), 6)
    assert result is InstallResult.INSTALLED


@then("5, 20, 60 and 12600 processes together read 2 times per second, within 10 %")
def check_read_rate(context):
    random = Random(4)
    for n_processes in (5, 20, 60, 12_600):
        n_draws = 20_000
        intervals = [
            read_interval_ms(n_processes, 2.0, random.random()) for _ in range(n_draws)
        ]
        reads_per_s = n_processes * n_draws * 1_000 / sum(intervals)
        assert 1.8 <= reads_per_s <= 2.2, (n_processes, reads_per_s)


@then("a process that does not know the fleet's size reads at most once every 5 s")
def check_unknown_size(context):
    random = Random(4)
    assert min(read_interval_ms(0, 2.0, random.random()) for _ in range(1_000)) >= 5_000
