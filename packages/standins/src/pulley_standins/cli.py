"""The command line, which runs one stand-in per process."""

import sys
from importlib import import_module

from pulley_base.settings import run_command

COMMANDS = {
    "engine": ("engines", "command"),
    "service": ("services", "command"),
    "relay": ("relays", "command"),
    "store": ("platforms", "store_command"),
    "instances": ("platforms", "list_command"),
}


def load_command(name: str):
    """Import the module of a subcommand and return its command."""
    module, attribute = COMMANDS[name]
    return getattr(import_module(f".{module}", __package__), attribute)


def main() -> int:
    """Run ``plantainpulley-standin SUBCOMMAND [flags]``."""
    subcommand = sys.argv[1:2]
    names = [name for name in COMMANDS if name in subcommand] or list(COMMANDS)
    return run_command({name: load_command(name) for name in names}, sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
