"""Make the fleet module of the tools folder importable for the steps."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))
