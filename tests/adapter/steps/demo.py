"""Steps that run the demo as a user does, in a process of its own."""

import subprocess
import sys

from behave import then, when

DEMO_TIMEOUT_S = 60


@when("the demo is run")
def run_demo(context):
    context.done = subprocess.run(
        [sys.executable, "-m", "pulley_platform_standins.demo"],
        capture_output=True,
        text=True,
        timeout=DEMO_TIMEOUT_S,
    )


@then("it exits with 0 and shows every request served")
def check_served(context):
    done = context.done
    assert done.returncode == 0, (done.stdout, done.stderr)
    for kind in ("lookup", "order", "chat"):
        assert f"{kind:8} 10 sent, 200: 10" in done.stdout, done.stdout


@then('it shows that the cut order failed with "{reason}"')
def check_cut_order(context, reason):
    output = context.done.stdout.partition("$ plantainpulley explain")[2]
    (line,) = [line for line in output.splitlines() if "request_refused" in line]
    assert f"reason={reason}" in line and "status=502" in line, output
