"""Steps that check which modules the program imports at startup."""

import subprocess
import sys

from behave import then, when

EXIT_TIMEOUT_S = 20
LIST_MODULES = """
import sys
import pulley_adapter.__main__
print(*[name for name, module in sys.modules.items() if module is not None])
"""


@when("the program's imports are listed")
def list_imports(context):
    """Import the program's main module without starting the router."""
    done = subprocess.run(
        [sys.executable, "-S", "-c", LIST_MODULES],
        env={"PYTHONPATH": ":".join(filter(None, sys.path))},
        capture_output=True,
        text=True,
        timeout=EXIT_TIMEOUT_S,
    )
    context.imported = set(done.stdout.split())
    assert "pulley_direct.app" in context.imported, done.stderr


@then('none of "{names}" is among them')
def check_imports(context, names):
    found = context.imported & set(names.split(", "))
    assert not found, found
