"""Project the footprint of a process to the target fleet."""

from footprints import PER_REQUEST, Measurement
from growth import ROLES
from slopes import Point, Slope, fit_slope
from target_fleet import N_DATA_CENTRES, N_ENGINES, N_ROUTERS, REQUESTS_PER_S

TARGET_COUNTS = {"agent": N_ENGINES, "router": N_ROUTERS}


def fit_figure(measurements: list[Measurement], role: str, kind: str) -> Slope:
    """Fit the slope of one kind of figure of one role over all sizes."""
    points = [
        Point(measurement.n_engines, measurement.n_routers, measurement.figures[kind])
        for measurement in measurements
        if measurement.role == role
    ]
    return fit_slope(points)


def mean_per_request(measurements: list[Measurement], role: str) -> float:
    """Return the control bytes per request at one role, as the mean over all sizes."""
    values = [
        measurement.figures[PER_REQUEST]
        for measurement in measurements
        if measurement.role == role
    ]
    return sum(values) / len(values)


def find_loaded(role: str, idle: Slope, bytes_per_request: float) -> dict:
    """Return the coefficients of the bytes per second under load at one role.

    They are those of the idle bytes, with the bytes of the requests added to the base.
    """
    requests_per_s = REQUESTS_PER_S / TARGET_COUNTS[role]
    name = f"loaded_bytes_per_s_per_{role}"
    return {
        f"{name}_base": idle.base + bytes_per_request * requests_per_s,
        f"{name}_per_engine": idle.per_engine,
        f"{name}_per_router": idle.per_router,
    }


def project(slopes: dict[tuple[str, str], Slope], kind: str) -> float:
    """Return a kind's projected figure at the target's size for the worse role."""
    return max(project_role(slopes, role, kind) for role in ROLES)


def project_role(slopes: dict[tuple[str, str], Slope], role: str, kind: str) -> float:
    """Return a kind's projected figure at the target's size for one role."""
    n_engines = N_ENGINES / N_DATA_CENTRES
    n_routers = N_ROUTERS / N_DATA_CENTRES
    return slopes[role, kind].project(n_engines, n_routers)
