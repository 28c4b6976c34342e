"""Fit measured values linearly to fleet size, and project them to other sizes."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy


@dataclass(frozen=True, slots=True)
class Point:
    """A value measured at one fleet size."""

    n_engines: int
    n_routers: int
    value: float


@dataclass(frozen=True, slots=True)
class Slope:
    """A linear fit: ``base + per_engine x engines + per_router x routers``."""

    base: float
    per_engine: float
    per_router: float

    def project(self, n_engines: float, n_routers: float) -> float:
        """Return the value at another size; negative coefficients count as 0."""
        increase = max(0.0, self.per_engine) * n_engines
        increase += max(0.0, self.per_router) * n_routers
        return max(0.0, self.base) + increase


def fit_slope(points: Sequence[Point]) -> Slope:
    """Fit points by least squares.

    Raises ValueError unless engine and router counts vary independently.
    """
    sizes = [[1.0, point.n_engines, point.n_routers] for point in points]
    values = [point.value for point in points]
    coefficients, _residuals, rank, _singular_values = numpy.linalg.lstsq(
        numpy.array(sizes), numpy.array(values), rcond=None
    )
    if rank < 3:
        raise ValueError(
            "engine and router counts of the points must vary independently"
        )
    return Slope(*map(float, coefficients))
