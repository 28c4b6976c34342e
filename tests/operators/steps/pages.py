"""Steps that check the operators' pages against the code."""

import json
import re
import sys
import tempfile
from pathlib import Path

from behave import then

from pulley_base import Reason

ROOT = Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "tools"))

from capacity import PAGE, make_table, split_page  # noqa: E402
from capacity_rows import MEASUREMENTS, read_measurements  # noqa: E402

OPERATIONS = ROOT / "docs" / "OPERATIONS.md"
PRODUCTS = (
    "base",
    "rules",
    "http",
    "wire",
    "platform",
    "fleet",
    "router",
    "agent",
    "direct",
)
ADAPTER = ROOT / "platform" / "src" / "pulley_adapter"
METRIC = re.compile(r'"(plantainpulley_\w+)"')
EVENT = re.compile(r"(?:log|warn)_event\(\s*logger,\s*\"(\w+)\"")


def read_sources() -> str:
    """Return the text of all modules of the product packages."""
    folders = [ROOT / "packages" / name for name in PRODUCTS] + [ADAPTER]
    paths = (path for folder in folders for path in folder.rglob("*.py"))
    return "\n".join(path.read_text() for path in paths)


@then("OPERATIONS.md has a row for each refusal reason and no other")
def reasons_explained(context):
    page = OPERATIONS.read_text().partition("## Refusal reasons")[2]
    rows = re.findall(r"^\| `([a-z-]+)` \|", page.partition("## Metrics")[0], re.M)
    assert sorted(rows) == sorted(map(str, Reason)), set(rows) ^ set(map(str, Reason))


@then("OPERATIONS.md names each metric of both binaries")
def metrics_explained(context):
    found = set(METRIC.findall(read_sources()))
    missing = {name for name in found if f"`{name}`" not in OPERATIONS.read_text()}
    assert found and not missing, missing


@then("OPERATIONS.md names each log event of the product packages")
def events_explained(context):
    found = set(EVENT.findall(read_sources()))
    missing = {name for name in found if f"`{name}`" not in OPERATIONS.read_text()}
    assert found and not missing, missing


@then("the table of CAPACITY.md equals that of tools/capacity.py")
def capacity_agrees(context):
    shown = split_page(PAGE.read_text())[1]
    assert shown == make_table(read_measurements()), (
        "run python tools/capacity.py --write"
    )


@then("another value in the JSON gives another table")
def capacity_follows(context):
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for path in MEASUREMENTS.glob("*.json"):
            document = json.loads(path.read_text())
            for metric in document["metrics"]:
                document["metrics"][metric] *= 2
            (folder / path.name).write_text(json.dumps(document))
        assert make_table(read_measurements(folder)) != make_table(read_measurements())
