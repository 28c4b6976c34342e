"""Start, measure and end processes that serve on the loopback."""

import asyncio
import os
import shlex
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

BIN_FOLDER = Path(sys.executable).parent
READY_TIMEOUT_S = 30
END_TIMEOUT_S = 5
POLL_S = 0.05
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(slots=True, eq=False)
class Process:
    """A started process and the addresses from its ``listening`` log line."""

    name: str
    log: Path
    handle: asyncio.subprocess.Process
    addresses: dict[str, str] = field(default_factory=dict)

    @property
    def address(self) -> str:
        """The IP:port on which the process serves."""
        return self.addresses["address"]

    @property
    def pid(self) -> int:
        """The process id."""
        return self.handle.pid


async def start_process(logs: Path, name: str, command: str, **flags) -> Process:
    """Start ``command`` with flags and wait for its ``listening`` log line.

    ``command`` may contain a subcommand (``"plantainpulley route"``); a flag named
    ``decode_ms`` becomes ``--decode-ms``, and a flag that is True gets no value.
    Raises RuntimeError with the end of the log when the process exits first, and
    TimeoutError after ``READY_TIMEOUT_S``.
    """
    binary, *rest = command.split()
    arguments = [*profiler_command(name), str(BIN_FOLDER / binary), *rest]
    for flag, value in flags.items():
        arguments.append("--" + flag.replace("_", "-"))
        if value is not True:
            arguments.append(str(value))
    log = logs / f"{name}.log"
    with log.open("wb") as output:
        handle = await asyncio.create_subprocess_exec(
            *arguments, stdout=output, stderr=output, stdin=asyncio.subprocess.DEVNULL
        )
    process = Process(name, log, handle)
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not process.addresses:
                await asyncio.sleep(POLL_S)
                read_addresses(process)
    except BaseException:
        await end_process(process)
        raise
    return process


def profiler_command(name: str) -> list[str]:
    """Return the command prefix that profiles a process; empty unless PROFILE is set.

    The environment variable PROFILE names a folder. The profile is written there when
    the process exits; read it with ``python -m pstats PROFILE/NAME.prof``.
    """
    profile_folder = os.environ.get("PROFILE")
    if not profile_folder:
        return []
    output = Path(profile_folder) / f"{name}.prof"
    return [sys.executable, "-m", "cProfile", "-o", str(output)]


def read_addresses(process: Process) -> None:
    """Set the addresses from the ``listening`` log line, if there is one yet.

    Raises RuntimeError with the end of the log when the process has exited.
    """
    text = process.log.read_text(errors="replace")
    for line in text.splitlines():
        pairs = parse_pairs(line)
        if pairs.get("event") == "listening":
            process.addresses = pairs
            return
    if process.handle.returncode is not None:
        raise RuntimeError(f"{process.name} ended:\n{text[-2_000:]}")


def parse_pairs(line: str) -> dict[str, str]:
    """Parse the key=value pairs of a log line; empty when its quoting is invalid."""
    try:
        words = shlex.split(line)
    except ValueError:
        return {}
    return dict(word.split("=", 1) for word in words if "=" in word)


async def end_process(process: Process, signal_number: int = signal.SIGTERM) -> None:
    """Send a signal to one process, by its id, and wait until it exits.

    It gets SIGKILL after ``END_TIMEOUT_S``.
    """
    if process.handle.returncode is not None:
        return
    process.handle.send_signal(signal_number)
    try:
        async with asyncio.timeout(END_TIMEOUT_S):
            await process.handle.wait()
    except TimeoutError:
        process.handle.kill()
        await process.handle.wait()


def read_cpu_s(process: Process) -> float:
    """Return the CPU time that a process has used, in seconds."""
    text = Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_rss_mb(process: Process) -> float:
    """Return the resident memory of a process, in megabytes."""
    n_pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return n_pages * PAGE_BYTES / 1_000_000
