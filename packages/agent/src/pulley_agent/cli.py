"""The `plantainpulley-agent` command line."""

import sys

from pulley_base.settings import run_command, settings_command

from .app import serve
from .settings import AgentSettings


def main() -> int:
    """Run the agent and return its exit code."""
    command = settings_command(
        AgentSettings, serve, "Run the agent beside an endpoint and admit its work."
    )
    return run_command(command, sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
