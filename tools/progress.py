"""Show progress as one line on standard error."""

import sys
import time

START_S = time.monotonic()


def show_progress(message: str) -> None:
    """Overwrite the progress line; print a new line when there is no terminal."""
    elapsed_s = time.monotonic() - START_S
    line = f"[{elapsed_s:5.1f} s] {message}"
    if sys.stderr.isatty():
        print(f"\r\x1b[K{line}", end="", file=sys.stderr, flush=True)
    else:
        print(line, file=sys.stderr, flush=True)
