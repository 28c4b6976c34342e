"""Steps that send SIGTERM to the program at a fixed point of its start."""

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when
from programs import EXIT_TIMEOUT_S, SETTINGS, start_command
from pulley_platform_standins.processes import reserve_address

# Each point is the first call of a function, by its file and its qualified name, after
# the program has set up how it handles signals.
POINTS = {
    "an import lock's callback": (
        "<frozen importlib._bootstrap>",
        "_get_module_lock.<locals>.cb",
    ),
    "a class's __set_name__": ("dataclasses.py", "Field.__set_name__"),
    "the load of the settings": ("pulley_adapter/settings.py", "load_settings"),
    "the creation of its loop": (
        "asyncio/unix_events.py",
        "_UnixSelectorEventLoop.__init__",
    ),
    "the setup of its handler": (
        "asyncio/unix_events.py",
        "_UnixSelectorEventLoop.add_signal_handler",
    ),
}
SENT = "SIGTERM sent"
# Runs the program as "python -S -m pulley_adapter" does, and sends the signal once.
RUN_PROGRAM = f"""
import os, runpy, signal, sys

file, name = sys.argv.pop(), sys.argv.pop()

def send_at_point(frame, event, argument):
    code = frame.f_code
    if event != "call" or code.co_qualname != name:
        return
    if not code.co_filename.endswith(file):
        return
    if signal.getsignal(signal.SIGHUP) is not signal.SIG_IGN:
        return
    sys.setprofile(None)
    os.write(1, b"{SENT}\\n")
    os.kill(os.getpid(), signal.SIGTERM)

sys.setprofile(send_at_point)
runpy.run_module("pulley_adapter", run_name="__main__", alter_sys=True)
"""


@when("a router receives SIGTERM at {point} of its start")
def send_sigterm_at_point(context, point):
    file, name = POINTS[point]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "local.toml"
        front, ready = reserve_address(), reserve_address()
        path.write_text(
            SETTINGS.format(
                low=1, high=2, front=front, ready=ready, store="127.0.0.1:9"
            )
        )
        command = [sys.executable, "-S", "-c", RUN_PROGRAM, name, file]
        modules = ":".join(filter(None, sys.path))
        process = start_command(command, path, PYTHONPATH=modules)
        try:
            context.out, context.err = process.communicate(timeout=EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            context.out, context.err = process.communicate()
        context.status = process.returncode


@then("it was sent during the start, and the router exits with 0 and no error")
def check_stopped(context):
    assert SENT in context.out, (context.status, context.out, context.err)
    assert context.status == 0, (context.status, context.out, context.err)
    assert not context.err, context.err
