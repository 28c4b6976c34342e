"""Run one benchmark case against real processes.

``python tools/load.py CASE --seed 1 --json out.json`` runs the module
``tools/cases/CASE.py`` and prints a table. The exit code is 1 when a target is missed
or the case times out, and 2 when there is no such case.
"""

import asyncio
import os
import sys
from importlib import import_module
from pathlib import Path

import defopt
from plots import document_path, write_table
from results import CaseResult, format_table, missed_targets, write_json

CASES_FOLDER = Path(__file__).resolve().parent / "cases"
CASE_TIMEOUT_S = 60
LONG_CASE_TIMEOUT_S = 1_800


def list_cases() -> list[str]:
    """Return the names of all cases, sorted."""
    return sorted(path.stem for path in CASES_FOLDER.glob("[a-z]*.py"))


async def run_with_timeout(case: str, seed: int, long: bool) -> CaseResult:
    """Run a case with a timeout, which the case can set as ``LIMIT_S`` in seconds.

    A long run has a fixed timeout. Raises TimeoutError.
    """
    module = import_module(f"cases.{case}")
    timeout_s = getattr(module, "LIMIT_S", CASE_TIMEOUT_S)
    async with asyncio.timeout(LONG_CASE_TIMEOUT_S if long else timeout_s):
        return await module.run(seed, long)


def write_docs(case: str, seed: int, result: CaseResult) -> None:
    """Write a case's plot, JSON and table under ``docs/``."""
    result.draw()
    write_json(document_path(case), case, seed, result)
    if result.table:
        write_table(case, result.table)


def bench(
    case: str, *, seed: int = 1, json: Path | None = None, docs: bool = False
) -> int:
    """Run one case and print its table.

    Parameters
    ----------
    case
        The name of a module in tools/cases.
    seed
        The seed of the callers' random numbers.
    json
        A file for the metrics and targets as JSON.
    docs
        Also write the plot, JSON and table under docs/.
    """
    if case not in list_cases():
        print(f"no case {case!r}; there are: {', '.join(list_cases())}")
        return 2
    try:
        result = asyncio.run(run_with_timeout(case, seed, bool(os.environ.get("LONG"))))
    except TimeoutError:
        print(f"{case}: not finished within its time limit")
        return 1
    print(f"\ncase={case} seed={seed}")
    print(format_table(result))
    if result.table:
        print(f"\n{result.table}\n")
    if json is not None:
        write_json(json, case, seed, result)
    if docs:
        write_docs(case, seed, result)
    missed = missed_targets(result)
    if missed:
        print(f"targets missed: {', '.join(missed)}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(bench))
