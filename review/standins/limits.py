"""What the platform limits of a process: its descriptors and its share of a core."""

import asyncio
import os
import resource
import signal
import time
from pathlib import Path

from .deployments import RouterProcess

# Of the descriptors that a process may have, so many are reserved for files.
RESERVED_FOR_FILES = 200
PERIOD_S = 0.1
POLL_S = 0.003
NS_PER_S = 1_000_000_000


def allow_own_descriptors(most: int) -> bool:
    """Let this process open so many descriptors; return False if it may not."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < most:
        return False
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    return True


def limit_descriptors(router: RouterProcess, most: int) -> None:
    """Leave a process as many sockets as ``most`` descriptors allow.

    Those that are no sockets, and that it has open now, don't count.
    """
    folder = Path(f"/proc/{router.process.pid}/fd")
    targets = [os.readlink(entry) for entry in folder.iterdir()]
    n_others = sum(not target.startswith("socket:") for target in targets)
    limit = most - RESERVED_FOR_FILES + n_others
    resource.prlimit(router.process.pid, resource.RLIMIT_NOFILE, (limit, limit))


def count_descriptors(router: RouterProcess) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{router.process.pid}/fd"))


def read_processor_s(router: RouterProcess) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{router.process.pid}/schedstat").read_text()
    return int(text.split()[0]) / NS_PER_S


async def enforce_share(router: RouterProcess, share: float) -> None:
    """Stop a process that has used up its share of a tenth of a second until its end.

    It runs at full speed until then.
    """
    while True:
        started_s = time.monotonic()
        used_up_s = read_processor_s(router) + share * PERIOD_S
        is_stopped = False
        while time.monotonic() - started_s < PERIOD_S:
            if not is_stopped and read_processor_s(router) >= used_up_s:
                router.process.send_signal(signal.SIGSTOP)
                is_stopped = True
            await asyncio.sleep(POLL_S)
        if is_stopped:
            router.process.send_signal(signal.SIGCONT)
