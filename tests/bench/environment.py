"""Add ``tools/`` to the import path: its modules import one another by plain name."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))
