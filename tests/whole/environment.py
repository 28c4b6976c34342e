"""Add the tools folder to the import path: the steps use its fleet."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))
