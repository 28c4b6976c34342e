"""The result of a benchmark case: metrics, targets, and their output formats."""

import json
import operator
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

MIN_VALUE_US = 1
MAX_VALUE_US = 600_000_000
SIGNIFICANT_FIGURES = 3
OPERATORS = {
    "<": operator.lt,
    "<=": operator.le,
    "==": operator.eq,
    ">=": operator.ge,
    ">": operator.gt,
}


@dataclass(frozen=True, slots=True)
class Target:
    """A bound on a metric, such as ``Target("<", 10)``."""

    op: str
    value: float


@dataclass(slots=True)
class CaseResult:
    """A case's metrics, and the targets that some of them must meet.

    ``table`` is a Markdown table with the details; ``draw`` writes the plot under
    ``docs/``.
    """

    metrics: dict[str, float] = field(default_factory=dict)
    targets: dict[str, Target] = field(default_factory=dict)
    table: str = ""
    draw: Callable[[], object] = lambda: None


def make_histogram() -> HdrHistogram:
    """Create a histogram of durations in microseconds, from 1 µs to 10 minutes."""
    return HdrHistogram(MIN_VALUE_US, MAX_VALUE_US, SIGNIFICANT_FIGURES)


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile in milliseconds of a histogram in microseconds."""
    return histogram.get_value_at_percentile(percentile) / 1_000


def missed_targets(result: CaseResult) -> list[str]:
    """Return the names of metrics that miss their target or were not measured."""
    return [
        name
        for name, target in result.targets.items()
        if name not in result.metrics
        or not OPERATORS[target.op](result.metrics[name], target.value)
    ]


def format_table(result: CaseResult) -> str:
    """Format the metrics as text lines, each with its target and whether it is met."""
    missed = missed_targets(result)
    lines = [f"{'metric':34} {'value':>12}  target"]
    for name, value in result.metrics.items():
        target = result.targets.get(name)
        bound = f"{target.op} {target.value:g}" if target else ""
        verdict = "" if not target else ("  MISSED" if name in missed else "  met")
        lines.append(f"{name:34} {value:12.3f}  {bound}{verdict}")
    return "\n".join(lines)


def write_json(path: Path, case: str, seed: int, result: CaseResult) -> None:
    """Write case, seed, metrics and targets to ``path`` as one JSON document."""
    document = {
        "case": case,
        "seed": seed,
        "metrics": result.metrics,
        "targets": {
            name: {"op": target.op, "value": target.value}
            for name, target in result.targets.items()
        },
    }
    path.write_text(json.dumps(document, indent=2) + "\n")
