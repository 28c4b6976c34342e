"""Steps that run the soak for a short while."""

import asyncio
import sys
import tempfile
from pathlib import Path

from behave import then, when

sys.path.insert(0, str(Path(__file__).parents[1]))

from soak import play_seed  # noqa: E402


@when("routers run for {seconds:d} s under the faults of seed {seed:d}")
def play_soak(context, seconds, seed):
    with tempfile.TemporaryDirectory() as folder:
        context.fleet = asyncio.run(play_seed(seed, seconds, Path(folder)))


@then("no promise was broken")
def check_soak(context):
    assert not context.fleet.broken, context.fleet.broken[:5]


@then("requests were answered during and after the faults")
def check_answered(context):
    served = [one for one in context.fleet.sent if one.answer.status == 200]
    assert any(one.calm for one in served)
    assert any(not one.calm for one in served)
