"""Steps that run routers under planned work for a short time."""

import asyncio
import sys
import tempfile
from pathlib import Path

from behave import then, when

sys.path.insert(0, str(Path(__file__).parents[1]))

from planned import BESIDE, PLANNED, run_seed  # noqa: E402

KINDS = {"alone": PLANNED, "beside faults of the store": PLANNED + BESIDE}


@when("routers run for {seconds:d} s under the planned work of seed {seed:d} {beside}")
def run_planned_work(context, seconds, seed, beside):
    with tempfile.TemporaryDirectory() as folder:
        running = run_seed(seed, seconds, Path(folder), kinds=KINDS[beside])
        context.played = asyncio.run(running)


@then("no request was lost")
def check_lost(context):
    played = context.played
    assert not played.lost and not played.violations, (
        played.lost[:5],
        played.violations[:5],
    )


@then("{n:d} requests were answered on connections that carried others before")
def check_kept(context, n):
    kept = [sent for sent in context.played.sent if sent.n_before and sent.whole]
    assert len(kept) >= n, len(kept)
