"""Draw results as plots, and write them as tables into sections of a page."""

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
PAGE = DOCS / "MEASUREMENTS.md"
FIGURE_INCHES = (7.0, 3.6)
DOTS_PER_INCH = 110


@dataclass(frozen=True, slots=True)
class Series:
    """One line or set of bars in a plot: its label and its points."""

    label: str
    xs: Sequence[float]
    ys: Sequence[float]


@dataclass(frozen=True, slots=True)
class Picture:
    """The content of a plot; ``target`` is drawn as a dashed horizontal line."""

    name: str
    title: str
    x_label: str
    y_label: str
    series: list[Series] = field(default_factory=list)
    target: float | None = None


def create_axes(picture: Picture):
    """Create a figure and axes with title, axis labels and target line."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES)
    axes.set_title(picture.title)
    axes.set_xlabel(picture.x_label)
    axes.set_ylabel(picture.y_label)
    if picture.target is not None:
        axes.axhline(picture.target, linestyle="--", color="black", label="target")
    return figure, axes


def save_figure(figure, picture: Picture) -> Path:
    """Save a figure as PNG under ``docs/`` and return its path."""
    from matplotlib import pyplot

    path = DOCS / f"{picture.name}.png"
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
    pyplot.close(figure)
    return path


def draw_lines(picture: Picture, marker: str = "") -> Path:
    """Draw one line for each series; return the path of the PNG."""
    figure, axes = create_axes(picture)
    for series in picture.series:
        axes.plot(series.xs, series.ys, label=series.label, marker=marker, linewidth=1)
    axes.legend(fontsize=8)
    return save_figure(figure, picture)


def draw_bars(picture: Picture, groups: Sequence[str]) -> Path:
    """Draw groups of bars, one bar per series in each; return the path of the PNG."""
    figure, axes = create_axes(picture)
    width = 0.8 / max(1, len(picture.series))
    for index, series in enumerate(picture.series):
        bar_positions = [
            group_index + index * width for group_index in range(len(groups))
        ]
        axes.bar(bar_positions, series.ys, width, label=series.label)
    centre_offset = 0.4 - width / 2
    axes.set_xticks(
        [group_index + centre_offset for group_index in range(len(groups))], groups
    )
    axes.legend(fontsize=8)
    return save_figure(figure, picture)


def make_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Build a Markdown table; floats are rounded to three significant digits.

    >>> print(make_table(["a", "b"], [["x", 1.23456]]))
    | a | b |
    |---|---|
    | x | 1.23 |
    """
    lines = ["| " + " | ".join(headings) + " |", "|" + "---|" * len(headings)]
    for row in rows:
        lines.append("| " + " | ".join(map(format_cell, row)) + " |")
    return "\n".join(lines)


def format_cell(value: object) -> str:
    """Format a table cell; floats from 1,000 are rounded to whole numbers."""
    if isinstance(value, float):
        return f"{value:.0f}" if abs(value) >= 1_000 else f"{value:.3g}"
    return str(value)


def find_section(page: str, name: str) -> tuple[int, int]:
    """Return the start and end offset of a section; the page's end twice if absent."""
    pattern = re.compile(rf"^## {re.escape(name)}\n.*?(?=^## |\Z)", re.M | re.S)
    found = pattern.search(page)
    return found.span() if found else (len(page), len(page))


def replace_table(page: str, name: str, table: str) -> str:
    """Replace the first table in a section of a page.

    In a section without a table, it is added at the end. In a page without the
    section, the section is added, with an image link and the table.

    >>> replace_table("# P\\n\\n## a\\n\\nx\\n\\n|1|\\n|2|\\n\\ny\\n", "a", "|new|")
    '# P\\n\\n## a\\n\\nx\\n\\n|new|\\n\\ny\\n'
    """
    start, end = find_section(page, name)
    section = page[start:end] or f"\n## {name}\n\n![{name}]({name}.png)\n"
    table = table.strip() + "\n"
    found = re.search(r"^\|.*\n(?:\|.*\n)*", section, re.M)
    if found:
        section = section[: found.start()] + table + section[found.end() :]
    else:
        separator = "\n" if page[end:] else ""
        section = section.rstrip("\n") + "\n\n" + table + separator
    return page[:start] + section + page[end:]


def write_table(name: str, table: str) -> None:
    """Write a case's table to its section of ``docs/MEASUREMENTS.md``."""
    page = PAGE.read_text() if PAGE.exists() else "# Measurements\n"
    PAGE.write_text(replace_table(page, name, table))


def document_path(name: str) -> Path:
    """Return the path of a case's JSON under ``docs/``; create its folder."""
    path = DOCS / "measurements" / f"{name}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    return path
