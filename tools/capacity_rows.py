"""Rows of the capacity table, and the committed measurements that they project."""

import json
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MEASUREMENTS = ROOT / "docs" / "measurements"


class MissingMetricError(Exception):
    """Raised for a metric that no committed measurement contains."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table: a figure projected from measurements, and its budget.

    ``figure`` is None when a measurement is missing, ``budget`` when there is none.
    """

    role: str
    quantity: str
    formula: str
    figure: float | None
    unit: str
    budget: float | None
    explanation: str


@dataclass(slots=True)
class Measurements:
    """The committed metrics: case name to metric name to value."""

    cases: dict[str, dict[str, float]] = field(default_factory=dict)

    def get_metric(self, case: str, metric: str) -> float:
        """Return a metric; raises MissingMetricError when it was not measured."""
        try:
            return self.cases[case][metric]
        except KeyError:
            raise MissingMetricError(f"{case}: {metric}") from None


def read_measurements(folder: Path = MEASUREMENTS) -> Measurements:
    """Read the metrics of every JSON file in ``folder``."""
    cases = {}
    for path in sorted(folder.glob("*.json")):
        cases[path.stem] = json.loads(path.read_text())["metrics"]
    return Measurements(cases)


def make_row(role, quantity, compute, unit, budget, explanation) -> Row:
    """Compute one row; if a metric is missing, the formula column names it."""
    try:
        figure, formula = compute()
    except MissingMetricError as error:
        return Row(
            role, quantity, f"not measured ({error})", None, unit, budget, explanation
        )
    return Row(role, quantity, formula, figure, unit, budget, explanation)
