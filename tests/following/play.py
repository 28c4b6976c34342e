"""Play simulated days of routers that follow a store, by hand, with fresh seeds.

python tests/following/play.py --first 1000 --last 1999 --n-routers 8
"""

import logging
import sys
from pathlib import Path
from random import Random

import defopt

sys.path.insert(0, str(Path(__file__).resolve().parent / "machines"))

from faults import play_day  # noqa: E402
from fleets import PromiseBroken  # noqa: E402
from virtual_loops import run_virtually  # noqa: E402


def main(*, first: int, last: int, n_routers: int = 8) -> None:
    """Play one day a seed, and print each that broke a promise.

    Parameters
    ----------
    first
        The first seed.
    last
        The last seed.
    n_routers
        How many routers start the day.
    """
    logging.disable(logging.CRITICAL)
    n_broken = 0
    for seed in range(first, last + 1):
        try:
            run_virtually(play_day(Random(seed), n_routers))
        except PromiseBroken as error:
            n_broken += 1
            print(f"seed {seed}: {error}", flush=True)
    print(f"{last - first + 1} days, {n_broken} broke a promise", flush=True)


if __name__ == "__main__":
    defopt.run(main)
