"""The router's program: its settings file and its process."""

import os
import signal
import subprocess
import sys
from functools import partial

EXIT_TIMEOUT_S = 15
SETTINGS = """
node = "router-1"
zone = "here"
ip = "127.0.0.1"
portRange = [{low}, {high}]
[listen]
front = "{front}"
readyAddr = "{ready}"
[platform]
address = "{store}"
[bounds]
graceS = 8
revokeMs = 5000
"""


def start_program(path, *, python=sys.executable):
    """Start the router's program with a settings file."""
    return start_command([python, "-m", "pulley_adapter"], path)


def start_command(command, path, **variables):
    """Start a command that runs the router's program with a settings file.

    ``variables`` are added to the environment. SIGHUP has its default effect, also if
    the tests run where it is ignored, as the steps wait until the program ignores it.
    """
    environment = os.environ | {"PLANTAINPULLEY_BOOT": str(path)} | variables
    return subprocess.Popen(
        command,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=partial(signal.signal, signal.SIGHUP, signal.SIG_DFL),
    )
