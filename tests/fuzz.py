"""Run the Hypothesis state machines with many steps, each from a seed.

    python tests/fuzz.py --seed 7 --steps 500 --machine fleet

On a failure, the shortest failing run is printed and the exit code is 1.
"""

import argparse
import importlib
import sys
import traceback
from pathlib import Path

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test

MACHINES = {
    "claims": "claims.machines.fleet:FleetMachine",
    "fleet": "policy.machines.fleet:FleetMachine",
    "fairness": "policy.machines.fairness:FairnessMachine",
    "rules": "rules.machines.distribution:DistributionMachine",
}
N_EXAMPLES = 200


def run_machine(name: str, seed_value: int, n_steps: int) -> bool:
    """Run one machine from a seed; return True when no example failed."""
    module, class_name = MACHINES[name].split(":")
    machine = getattr(importlib.import_module(module), class_name)
    options = settings(
        max_examples=N_EXAMPLES,
        stateful_step_count=n_steps,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(seed(seed_value)(machine), settings=options)
    except Exception:
        traceback.print_exc()
        print(f"{name}: failed, seed {seed_value}, steps {n_steps}", flush=True)
        return False
    print(f"{name}: no fault, seed {seed_value}, steps {n_steps}", flush=True)
    return True


def main() -> int:
    """Run the machines selected on the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=200)
    parser.add_argument("--machine", choices=sorted(MACHINES))
    arguments = parser.parse_args()
    sys.path.insert(0, str(Path(__file__).parent))
    names = [arguments.machine] if arguments.machine else sorted(MACHINES)
    passed = [run_machine(name, arguments.seed, arguments.steps) for name in names]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
