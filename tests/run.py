"""Run all behave suites and print the total number of scenarios at the end.

Each folder of ``tests/`` that contains ``.feature`` files is one suite. Suites run in
separate processes, at most ``MAX_PARALLEL_SUITES`` at a time, and ``LONE_SUITES`` alone
after the others. Failures of scenarios
that KNOWN-RED.txt lists are printed but do not fail the run. The exit code is 1 when
any other scenario failed.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_PARALLEL_SUITES = 3
SUITE_TIMEOUT_S = 1_200
# Suites that load the machine heavily, or measure memory; each runs alone.
LONE_SUITES = frozenset({"hostile"})
MAX_ERROR_LINES = 12
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"
KNOWN_FAILURE_MARK = "test:"


@dataclass(frozen=True)
class Result:
    """The result of one scenario; ``status`` is behave's, or ``timeout``.

    ``error`` is the end of the message of the step that failed, if any.
    """

    suite: str
    name: str
    status: str
    error: str = ""


def find_suites() -> list[Path]:
    """Return the folders below ``tests/`` that contain feature files, sorted."""
    return sorted({path.parent for path in (ROOT / "tests").rglob("*.feature")})


def run_suite(folder: Path) -> list[Result]:
    """Run one suite and return its scenarios' results.

    Prints the end of the suite's output when it failed. A suite that exceeds
    ``SUITE_TIMEOUT_S`` has the single result ``timeout``.
    """
    report = Path(tempfile.mkstemp(suffix=".json")[1])
    command = [sys.executable, "-m", "behave", "--no-color", "--summary"]
    command += ["-f", "json", "-o", str(report), "-f", "plain", str(folder)]
    environment = os.environ | {"PYTHONHASHSEED": "0"}
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=SUITE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return [Result(folder.name, "the whole suite", "timeout")]
    results = list(read_report(folder.name, report, completed.returncode))
    if completed.returncode != 0:
        print(
            completed.stdout[-20_000:], completed.stderr[-5_000:], sep="\n", flush=True
        )
    report.unlink()
    return results


def read_report(suite: str, report: Path, returncode: int) -> Iterator[Result]:
    """Yield the scenario results of a behave JSON report.

    An empty or invalid report yields one failed result for the suite.
    """
    try:
        features = json.loads(report.read_text())
    except ValueError:
        features = []
    if not features:
        yield Result(suite, f"the suite itself (exit {returncode})", "failed")
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] != "background":
                status = element.get("status", "failed")
                yield Result(suite, element["name"], status, read_error(element))


def read_error(element: dict) -> str:
    """Return the last lines of a failed step's message, empty if no step failed."""
    results = [step.get("result", {}) for step in element.get("steps", [])]
    messages = [one.get("error_message", ()) for one in results]
    lines = [line for one in messages for line in split_message(one)]
    return "\n".join(lines[-MAX_ERROR_LINES:])


def split_message(message: str | Iterable[str]) -> list[str]:
    """Return the lines of an error message, which behave gives as text or as lines."""
    return message.splitlines() if isinstance(message, str) else list(message)


def read_known_failures() -> set[str]:
    """Return the names in the ``test:`` lines of KNOWN-RED.txt, if there is one."""
    if not KNOWN_FAILURES_PATH.exists():
        return set()
    lines = KNOWN_FAILURES_PATH.read_text().splitlines()
    return {
        line.removeprefix(KNOWN_FAILURE_MARK).strip()
        for line in lines
        if line.startswith(KNOWN_FAILURE_MARK)
    }


def main() -> int:
    """Run all suites, or those named on the command line; return the exit code."""
    selected = sys.argv[1:]
    suites = [path for path in find_suites() if not selected or path.name in selected]
    together = [path for path in suites if path.name not in LONE_SUITES]
    alone = [path for path in suites if path.name in LONE_SUITES]
    with ThreadPoolExecutor(MAX_PARALLEL_SUITES) as pool:
        results = [one for found in pool.map(run_suite, together) for one in found]
    results += [one for path in alone for one in run_suite(path)]
    passed = [result for result in results if result.status == "passed"]
    failed = [result for result in results if result.status != "passed"]
    known_failures = read_known_failures()
    unexpected = [result for result in failed if result.name not in known_failures]
    for result in failed:
        kind = "FAILED" if result in unexpected else "KNOWN RED"
        print(f"{kind} {result.suite}: {result.name} ({result.status})")
        print(result.error)
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
