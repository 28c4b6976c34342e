"""Steps that run one short soak and check its result."""

import asyncio
import sys
import tempfile
from pathlib import Path

from behave import then, when

sys.path.insert(0, str(Path(__file__).parents[1]))

from soak import run_seed  # noqa: E402


@when("routers run for {seconds:d} s under the faults of seed {seed:d}")
def run_soak(context, seconds, seed):
    with tempfile.TemporaryDirectory() as folder:
        context.fleet = asyncio.run(run_seed(seed, seconds, Path(folder)))


@then("no guarantee was violated")
def check_guarantees(context):
    assert not context.fleet.violations, context.fleet.violations[:5]


@then("requests were answered during and after the faults")
def check_answered(context):
    served = [sent for sent in context.fleet.sent if sent.answer.status == 200]
    assert any(sent.after_faults for sent in served)
    assert any(not sent.after_faults for sent in served)
