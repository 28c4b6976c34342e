"""Compute the table of docs/CAPACITY.md from the committed benchmark results.

``python tools/capacity.py`` prints the table; ``--write`` updates it in the page. A
test fails when the page's table differs from the computed one.
"""

import sys
from collections.abc import Iterator

from capacity_rows import ROOT, Measurements, Row, read_measurements
from process_rows import (
    list_agent_rows,
    list_process_rows,
    list_router_rows,
    list_rules_rows,
)
from store_rows import list_event_rows, list_store_rows

PAGE = ROOT / "docs" / "CAPACITY.md"
TABLE_START = "<!-- table: tools/capacity.py -->\n"
TABLE_END = "<!-- end of table -->\n"
COLUMN_HEADINGS = ("role", "what", "sum", "figure", "budget", "verdict", "carried by")


def list_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield every row of the table."""
    for role in ("router", "agent"):
        yield from list_process_rows(measurements, role)
    yield from list_router_rows(measurements)
    yield from list_agent_rows(measurements)
    yield from list_rules_rows(measurements)
    yield from list_store_rows(measurements)
    yield from list_event_rows(measurements)


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
    table = make_table(read_measurements())
    if "--write" in sys.argv[1:]:
        before, _, after = split_page(PAGE.read_text())
        PAGE.write_text(before + table + after)
    else:
        print(table, end="")
    return 0


if __name__ == "__main__":
    sys.exit(main())
