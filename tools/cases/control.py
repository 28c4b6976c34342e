"""Control traffic, processor time and memory per process, projected to full size.

A fleet grows from 5 to 50 engines and from 2 to 8 routers. At each size it is measured
idle, when all traffic is control traffic, and under load. The whole fleet is in one
data centre. The figure of a size is the mean over its agents or its routers.

Metrics, each given by the three coefficients of ``base + per_engine x engines +
per_router x routers``; ``<role>`` is ``agent`` or ``router``:

- ``bytes_per_s_per_<role>_base``, ``_per_engine``, ``_per_router``: bytes sent and
  received by one process, idle, counted on the wire with TCP, UDP and IP headers,
  at its peer port and at the store and the instance list.
- ``loaded_bytes_per_s_per_<role>_...``: the same, plus the control bytes of the
  requests that one process handles at peak load.
- ``packets_per_s_per_<role>_...``: packets, counted in the same way.
- ``bytes_per_request_per_<role>``: control bytes that one request adds at one process:
  those of the frames sent, as counted by the processes, under load minus idle, doubled
  to include those received, with 40 bytes of headers for each frame.
- ``list_bytes_per_<role>_...``: length of the instance list's document, which is read
  in full after each change.
- ``core_share_per_<role>_...``: processor seconds per second, idle.
- ``memory_mb_per_<role>_...``: resident memory beyond that of a process that has only
  imported the modules of the role; ``memory_mb_<role>_imported`` is the latter.

``projected_bytes_per_s``, ``projected_core_share`` and ``projected_memory_mb`` are
projected from the slopes for the worse role at 600 routers and 12,000 engines in 26
data centres: a process talks to those of its own data centre, 461 engines and 23
routers. The projected bytes are those of an idle process plus those of its requests at
the peak, 26,000 requests a second in the whole fleet.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack

from footprints import (
    PER_REQUEST,
    Measurement,
    measure_idle,
    measure_imports,
    measure_loaded,
)
from growth import ROLES, grow
from plots import Picture, Series, draw_lines, make_table
from progress import show_progress
from projections import (
    TARGET_COUNTS,
    find_loaded,
    fit_figure,
    mean_per_request,
    project,
    project_role,
)
from results import CaseResult, Target
from stages import Stage, run_stage
from target_fleet import (
    BYTES_PER_S_BUDGET,
    CORE_SHARE_BUDGET,
    MEMORY_MB_BUDGET,
    REQUESTS_PER_S,
)
from workloads import make_teams

SIZES = ((5, 2), (10, 4), (25, 4), (50, 8))
LONG_SIZE_SERIES = tuple(
    tuple((n_engines, n_routers) for n_engines in (5, 10, 25, 50))
    for n_routers in (2, 4, 8)
)
SETTLE_S = 2.5
IDLE_S = 2.5
LOADED_MS = 1_300
LONG_FACTOR = 2
KINDS = {
    "bytes_per_s": "bytes/s",
    "packets_per_s": "packets/s",
    "core_share": "core share",
    "memory_mb": "memory, MB",
    "list_bytes": "list, bytes",
}
MODULES = {"agent": "pulley_agent.app", "router": "pulley_router.app"}
COLUMN_HEADINGS = ("role", "engines", "routers", *KINDS.values(), "bytes/request")


async def run(seed: int, long: bool) -> CaseResult:
    """Measure each size and project the figures to the target's size."""
    factor = LONG_FACTOR if long else 1
    measurements = []
    for sizes in LONG_SIZE_SERIES if long else (SIZES,):
        async for at_size in measure_sizes(sizes, seed, factor):
            measurements += at_size
    imported_mb = {role: await measure_imports(MODULES[role]) for role in ROLES}
    return report(measurements, imported_mb)


async def measure_sizes(
    sizes: Sequence[tuple[int, int]], seed: int, factor: int
) -> AsyncIterator[list[Measurement]]:
    """Grow one fleet through ``sizes``, and yield the measurements at each size.

    A size is a pair: number of engines, number of routers.
    """
    stage = Stage(
        n_engines=0,
        n_routers=0,
        team_names=tuple(team.name for team in make_teams()),
    )
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(run_stage(stage))
        for n_engines, n_routers in sizes:
            show_progress(f"{n_engines} engines, {n_routers} routers")
            await grow(fleet, n_engines, n_routers)
            await asyncio.sleep(SETTLE_S * factor)
            idle = await measure_idle(fleet, IDLE_S * factor)
            await measure_loaded(fleet, idle, seed, LOADED_MS * factor)
            yield idle


def report(
    measurements: list[Measurement], imported_mb: dict[str, float]
) -> CaseResult:
    """Build the result: slopes, projections, the table and a chart.

    Subtracts the memory of the imported modules from the measurements in place.
    """
    for measurement in measurements:
        measurement.figures["memory_mb"] -= imported_mb[measurement.role]
    slopes = {
        (role, kind): fit_figure(measurements, role, kind)
        for role in ROLES
        for kind in KINDS
    }
    per_request = {role: mean_per_request(measurements, role) for role in ROLES}
    metrics = {
        "projected_bytes_per_s": max(
            project_role(slopes, role, "bytes_per_s")
            + per_request[role] * REQUESTS_PER_S / TARGET_COUNTS[role]
            for role in ROLES
        ),
        "projected_core_share": project(slopes, "core_share"),
        "projected_memory_mb": project(slopes, "memory_mb"),
    }
    for (role, kind), slope in slopes.items():
        metrics[f"{kind}_per_{role}_base"] = slope.base
        metrics[f"{kind}_per_{role}_per_engine"] = slope.per_engine
        metrics[f"{kind}_per_{role}_per_router"] = slope.per_router
    for role in ROLES:
        metrics[f"{PER_REQUEST}_per_{role}"] = per_request[role]
        metrics |= find_loaded(role, slopes[role, "bytes_per_s"], per_request[role])
        metrics[f"projected_bytes_per_s_{role}_idle"] = project_role(
            slopes, role, "bytes_per_s"
        )
        metrics[f"memory_mb_{role}_imported"] = imported_mb[role]
    targets = {
        "projected_bytes_per_s": Target("<", BYTES_PER_S_BUDGET),
        "projected_core_share": Target("<", CORE_SHARE_BUDGET),
        "projected_memory_mb": Target("<", MEMORY_MB_BUDGET),
    }
    table = make_table(
        COLUMN_HEADINGS, [make_row(measurement) for measurement in measurements]
    )
    return CaseResult(metrics, targets, table, lambda: draw_picture(measurements))


def make_row(measurement: Measurement) -> tuple:
    """Return the table row of one role at one size."""
    figures = [measurement.figures[kind] for kind in (*KINDS, PER_REQUEST)]
    return (measurement.role, measurement.n_engines, measurement.n_routers, *figures)


def draw_picture(measurements: list[Measurement]) -> None:
    """Draw the bytes per second of an idle process by size, one line for each role."""
    series = []
    for role in ROLES:
        of_role = [
            measurement for measurement in measurements if measurement.role == role
        ]
        xs = [measurement.n_engines + measurement.n_routers for measurement in of_role]
        ys = [measurement.figures["bytes_per_s"] for measurement in of_role]
        series.append(Series(role, xs, ys))
    title = "Control traffic of one idle process"
    picture = Picture(
        "control", title, "processes", "bytes/s", series, BYTES_PER_S_BUDGET
    )
    draw_lines(picture, marker="o")
