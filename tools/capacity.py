"""Compute the table of docs/CAPACITY.md from the committed benchmark results.

``python tools/capacity.py`` prints the table; ``--write`` updates it in the page. A
test fails when the page's table differs from the computed one.
"""

import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
MEASUREMENTS = ROOT / "docs" / "measurements"
TABLE_START = "<!-- table: tools/capacity.py -->\n"
TABLE_END = "<!-- end of table -->\n"
COLUMN_HEADINGS = ("role", "what", "sum", "figure", "budget", "verdict", "carried by")

N_ROUTERS = 600
N_ENGINES = 12_000
N_PROCESSES = N_ROUTERS + N_ENGINES
N_DATA_CENTRES = 26
N_REGIONS = 9
N_CHATS = 9_700_000
N_TEAMS = 3_000
N_SERVICES = 11
REQUESTS_PER_S = 26_000
TOKENS_PER_S = 6_300_000
CHANGES_PER_DAY = 110_000
REPLACED_PER_DAY = 4_600
FAILED_PER_DAY = 110
NON_IDEMPOTENT_SHARE = 0.05
CLAIM_WINDOW_S = 43_200
N_WINDOWS_KEPT = 2
DAY_S = 86_400
HOUR_S = 3_600
COMPACTION_S = 300

BYTES_PER_S_BUDGET = 6_000
CORE_SHARE_BUDGET = 0.047
MEMORY_MB_BUDGET = 32
STORE_WRITES_PER_S_BUDGET = 500
STORE_CALLS_PER_S_BUDGET = 2_000
STORE_GB_BUDGET = 2.0
VALUE_BYTES_BUDGET = 1_000_000
IN_FORCE_S_BUDGET = 4

RULES_READS_PER_S = 4.0
WINDOW_READS_PER_S = 2.0
SUSPECT_READS_PER_S = 1.0
CALLS_PER_APPLY = 3
CALLS_PER_START = 3


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


def read_slopes(folder: Path = MEASUREMENTS) -> Measurements:
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


def list_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield every row of the table."""
    for role in ("router", "agent"):
        yield from list_process_rows(measurements, role)
    yield from list_router_rows(measurements)
    yield from list_agent_rows(measurements)
    yield from list_rules_rows(measurements)
    yield from list_store_rows(measurements)
    yield from list_event_rows(measurements)


def list_process_rows(measurements: Measurements, role: str) -> Iterator[Row]:
    """Yield the figures of one role, projected over engine and router counts."""
    per_data_centre = N_ENGINES / N_DATA_CENTRES, N_ROUTERS / N_DATA_CENTRES

    def project(kind: str):
        def compute():
            base, per_engine, per_router = (
                measurements.get_metric("control", f"{kind}_per_{role}_{part}")
                for part in ("base", "per_engine", "per_router")
            )
            figure = (
                base + per_engine * per_data_centre[0] + per_router * per_data_centre[1]
            )
            formula = f"{base:.4g} + {per_engine:.3g} x 462 + {per_router:.3g} x 23"
            return figure, formula

        return compute

    yield make_row(
        role,
        "control traffic, idle",
        project("bytes_per_s"),
        "B/s",
        BYTES_PER_S_BUDGET,
        "greetings, means, list and store reads in its data centre",
    )
    yield make_row(
        role,
        "control traffic, loaded",
        project("loaded_bytes_per_s"),
        "B/s",
        BYTES_PER_S_BUDGET,
        "credit, acknowledgements, pointers",
    )
    yield make_row(
        role,
        "processor time for control",
        project("core_share"),
        "cores",
        CORE_SHARE_BUDGET,
        "one loop, one thread",
    )
    yield make_row(
        role,
        "memory above the modules'",
        project("memory_mb"),
        "MB",
        MEMORY_MB_BUDGET,
        "members, connections, tables",
    )


def list_router_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield the figures that only routers have."""
    requests, kilotokens = REQUESTS_PER_S / N_ROUTERS, TOKENS_PER_S / N_ROUTERS / 1_000

    def answer_core_share():
        cost_ms = measurements.get_metric("overhead", "router_ms_per_kilotoken")
        return cost_ms * kilotokens / 1_000, f"{cost_ms:.3g} ms x {kilotokens:.3g} / s"

    yield make_row(
        "router",
        "connections to agents",
        lambda: (N_ENGINES / N_DATA_CENTRES, "12,000 / 26"),
        "",
        None,
        "those of its data centre; others only when a chat leads there",
    )
    yield make_row(
        "router",
        "requests",
        lambda: (requests, "26,000 / 600"),
        "1/s",
        None,
        "the balancer's share",
    )
    yield make_row(
        "router",
        "processor time for answers",
        answer_core_share,
        "cores",
        1.0,
        "frames to chunks; not control",
    )


def list_agent_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield the figures that only agents have."""
    chats = N_CHATS / N_ENGINES

    def table(metric: str):
        def compute():
            size = measurements.get_metric("tables", metric)
            return chats * size / 1e6, f"808 x {size:.0f} B"

        return compute

    yield make_row(
        "agent",
        "connections from routers",
        lambda: (N_ROUTERS / N_DATA_CENTRES, "600 / 26"),
        "",
        None,
        "the routers of its data centre",
    )
    yield make_row(
        "agent",
        "pointer table",
        table("pointer_bytes"),
        "MB",
        MEMORY_MB_BUDGET,
        "one pointer a chat at its home, 4,096 at most",
    )
    yield make_row(
        "agent",
        "warm chats",
        table("warm_chat_bytes"),
        "MB",
        MEMORY_MB_BUDGET,
        "one entry a chat that is warm here, 4,096 at most",
    )


def list_rules_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield the cost to each process of following rules changes."""
    rate = CHANGES_PER_DAY / DAY_S

    def traffic():
        size = measurements.get_metric("config", "bytes_per_change")
        return size * rate, f"{size:.0f} B x {rate:.2f} / s"

    def cpu_share():
        cost_ms = measurements.get_metric("config", "parse_changed_ms")
        return cost_ms * rate / 1_000, f"{cost_ms:.3g} ms x {rate:.2f} / s"

    def memory():
        size = measurements.get_metric("config", "rules_3000_teams_mb")
        return size, f"{size:.3g} MB for 3,000 teams"

    def value():
        size = measurements.get_metric("config", "rules_3000_teams_kb") * 1_000
        return size, f"{size / N_TEAMS:.0f} B x 3,000 teams"

    def propagation_delay():
        max_delay_s = measurements.get_metric("config", "in_force_max_s")
        return max_delay_s, "the worst of one run, 20 processes"

    each_process = "each"
    yield make_row(
        each_process,
        "rules traffic",
        traffic,
        "B/s",
        BYTES_PER_S_BUDGET,
        "deltas to 3 peers",
    )
    yield make_row(
        each_process,
        "rules processor time",
        cpu_share,
        "cores",
        CORE_SHARE_BUDGET,
        "changed lines are parsed, the whole is checked",
    )
    yield make_row(
        each_process,
        "rules memory",
        memory,
        "MB",
        MEMORY_MB_BUDGET,
        "text, lines, rules",
    )
    yield make_row(
        each_process,
        "accepted to in force",
        propagation_delay,
        "s",
        IN_FORCE_S_BUDGET,
        "rumours",
    )
    yield make_row(
        "store", "rules file", value, "B", VALUE_BYTES_BUDGET, "one key, one value"
    )


def estimate_known_processes() -> float:
    """Return the mean number of processes that an agent knows.

    These are all processes of its data centre, and the agents of its service in
    other data centres.
    """
    n_local = N_PROCESSES / N_DATA_CENTRES
    n_remote = N_ENGINES / N_SERVICES * (1 - 1 / N_DATA_CENTRES)
    return n_local + n_remote


def list_store_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield the calls to the store and the size of the data in it."""
    changes = CHANGES_PER_DAY / DAY_S
    claims = REQUESTS_PER_S * NON_IDEMPOTENT_SHARE
    starts = REPLACED_PER_DAY / DAY_S

    def shared_calls():
        n_sharing_groups = N_PROCESSES / estimate_known_processes()
        figure = (
            (RULES_READS_PER_S + 2 * WINDOW_READS_PER_S) * n_sharing_groups
            + CALLS_PER_APPLY * changes
            + CALLS_PER_START * starts
        )
        return figure, (
            f"(4 + 2 x 2) x 12,600 / {estimate_known_processes():,.0f} "
            f"+ 3 x {changes:.2f} + 3 x {starts:.3f}"
        )

    def suspect_reads():
        n_groups = N_SERVICES * N_DATA_CENTRES
        return SUSPECT_READS_PER_S * n_groups, "11 x 26 x 1 / s"

    def claims_size():
        size = measurements.get_metric("tables", "claim_bytes")
        figure = claims * CLAIM_WINDOW_S * N_WINDOWS_KEPT * size / 1e9
        return figure, f"1,300 / s x 43,200 s x 2 x {size:.0f} B"

    def old_revisions():
        size = measurements.get_metric("config", "rules_3000_teams_kb")
        return (
            size * changes * 300 / 1_000,
            f"{size:.0f} KB x {changes:.2f} / s x 300 s",
        )

    store = "store"
    yield make_row(
        store,
        "calls for rules, windows, starts",
        shared_calls,
        "1/s",
        STORE_CALLS_PER_S_BUDGET,
        "reads shared out by rate among the processes that each knows",
    )
    yield make_row(
        store,
        "reads of suspects",
        suspect_reads,
        "1/s",
        STORE_CALLS_PER_S_BUDGET,
        "shared out in a service and data centre; rumours go ahead of them",
    )
    yield make_row(
        store,
        "calls if each process watched the rules",
        lambda: (N_PROCESSES * changes, f"12,600 x {changes:.2f} / s"),
        "1/s",
        STORE_CALLS_PER_S_BUDGET,
        "not built: each event of a watch is a call",
    )
    yield make_row(
        store,
        "claims, one write each",
        lambda: (claims, "26,000 / s x 5% non-idempotent"),
        "1/s",
        STORE_WRITES_PER_S_BUDGET,
        "built so; see below for the grouped form",
    )
    yield make_row(
        store,
        "claims, grouped by data centre",
        lambda: (N_DATA_CENTRES * 10.0, "26 x 10 writes / s of 5 claims"),
        "1/s",
        STORE_WRITES_PER_S_BUDGET,
        "not built",
    )
    yield make_row(
        store,
        "claims held",
        claims_size,
        "GB",
        2.0,
        "two windows of 12 h; a shorter one holds",
    )
    yield make_row(
        store,
        "suspects",
        lambda: (FAILED_PER_DAY / DAY_S, "110 / day, one write a crash"),
        "1/s",
        STORE_WRITES_PER_S_BUDGET,
        "one write a crash",
    )
    yield make_row(
        store,
        "old revisions kept, compacted each 5 min",
        old_revisions,
        "MB",
        None,
        "the store's own history; compaction is the platform's",
    )


def list_event_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield the cost of joins, leaves, and the loss of a data centre or region."""
    n_per_data_centre = N_PROCESSES / N_DATA_CENTRES
    n_per_region = N_PROCESSES / N_REGIONS
    changes = CHANGES_PER_DAY / DAY_S

    def data_centre_rejoin():
        return n_per_data_centre * CALLS_PER_START, "485 processes x 3 calls within 1 s"

    def catch_up():
        size = measurements.get_metric("config", "rules_3000_teams_kb")
        return n_per_region * size / 1_000, f"1,400 processes x {size:.0f} KB"

    yield make_row(
        "event",
        "joins and leaves in a data centre",
        lambda: (REPLACED_PER_DAY / DAY_S / N_DATA_CENTRES, "4,600 / day / 26"),
        "1/s",
        None,
        "list reads, notices to new homes",
    )
    yield make_row(
        "event",
        "a data centre lost: chats without a home",
        lambda: (N_CHATS / N_DATA_CENTRES, "9.7 million / 26"),
        "",
        None,
        "cold starts elsewhere; the rest is untouched",
    )
    yield make_row(
        "event",
        "a data centre back at once: store calls",
        data_centre_rejoin,
        "1/s",
        STORE_CALLS_PER_S_BUDGET,
        "the first reads of a process are not shared out",
    )
    yield make_row(
        "event",
        "a region cut off for an hour: changes missed",
        lambda: (changes * HOUR_S, f"{changes:.2f} / s x 3,600 s"),
        "",
        None,
        "over 32 versions: a full copy each, not deltas",
    )
    yield make_row(
        "event",
        "the same: bytes to catch up, in all",
        catch_up,
        "MB",
        None,
        "one copy a process, from peers that have it",
    )


def format_figure(value: float | None, unit: str) -> str:
    """Format a figure with its unit: three significant digits, or whole from 1,000."""
    if value is None:
        return "not measured"
    formatted = f"{value:,.0f}" if value >= 1_000 else f"{value:.3g}"
    return f"{formatted} {unit}".strip()


def format_verdict(row: Row) -> str:
    """Return the verdict cell of a row; empty when figure or budget is missing."""
    if row.budget is None or row.figure is None:
        return ""
    return "holds" if row.figure <= row.budget else "**breaks**"


def format_row(row: Row) -> str:
    """Format a row as one line of the Markdown table."""
    budget = "" if row.budget is None else format_figure(row.budget, row.unit)
    cells = (row.role, row.quantity, row.formula, format_figure(row.figure, row.unit))
    return (
        "| " + " | ".join((*cells, budget, format_verdict(row), row.explanation)) + " |"
    )


def make_table(measurements: Measurements) -> str:
    """Return the whole Markdown table."""
    heading_row = "| " + " | ".join(COLUMN_HEADINGS) + " |"
    separator_row = "|" + "---|" * len(COLUMN_HEADINGS)
    return (
        "\n".join(
            (heading_row, separator_row, *map(format_row, list_rows(measurements)))
        )
        + "\n"
    )


def split_page(text: str) -> tuple[str, str, str]:
    """Split the page into the text before, between and after the table markers.

    The markers belong to the outer parts. Raises ValueError when one is missing.
    """
    before, start, rest = text.partition(TABLE_START)
    table, end, after = rest.partition(TABLE_END)
    if not start or not end:
        raise ValueError(f"{PAGE.name} lacks the marks of its table")
    return before + start, table, end + after


def main() -> int:
    """Print the table, or write it into the page with ``--write``."""
    table = make_table(read_slopes())
    if "--write" in sys.argv[1:]:
        before, _, after = split_page(PAGE.read_text())
        PAGE.write_text(before + table + after)
    else:
        print(table, end="")
    return 0


if __name__ == "__main__":
    sys.exit(main())
