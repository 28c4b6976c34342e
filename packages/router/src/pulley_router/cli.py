"""The `plantainpulley` command line."""

import sys

from pulley_base.settings import run_command, settings_command

from .app import route
from .explain import explain
from .operators import operator_commands
from .settings import RouterSettings
from .where import where


def main() -> int:
    """Run the command that the arguments name and return its exit code."""
    commands = {
        "route": settings_command(
            RouterSettings,
            route,
            "Accept callers' requests and route them to endpoints.",
        ),
        **operator_commands(),
        "explain": explain,
        "where": where,
    }
    return run_command(commands, sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
