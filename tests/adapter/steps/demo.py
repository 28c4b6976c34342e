"""Steps that run the demo as a user does."""

import subprocess
import sys

from behave import then, when

LIMIT_S = 60


@when("the demo is run")
def run_demo(context):
    context.done = subprocess.run(
        [sys.executable, "-m", "pulley_platform_standins.demo"],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )


@then("it exits with 0 and shows every request served")
def check_served(context):
    done = context.done
    assert done.returncode == 0, (done.stdout, done.stderr)
    for kind in ("lookup", "order", "chat"):
        assert f"{kind:8} 10 sent, 200: 10" in done.stdout, done.stdout


@then('it tells the cut order\'s story to "{reason}"')
def check_story(context, reason):
    story = context.done.stdout.partition("$ plantainpulley explain")[2]
    (end,) = [line for line in story.splitlines() if "request_refused" in line]
    assert f"reason={reason}" in end and "status=502" in end, story
