"""Shared settings and the main loop of engine, service and relay processes."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable

from pydantic import Field

from pulley_base import configure_logs, log_event
from pulley_base.settings import Settings

logger = logging.getLogger(__name__)


class StandinSettings(Settings):
    """Settings that all stand-ins share."""

    listen: str = Field(
        "127.0.0.1:0", description="IP:port to listen on; port 0 for any"
    )
    log_level: str = Field("info", description="debug, info, warning or error")


def run_process(settings: StandinSettings, start: Callable[..., Awaitable[str]]) -> int:
    """Run a stand-in until SIGTERM or SIGINT and return the exit code, 0.

    ``start(settings)`` returns the address. The log line
    ``event=listening address=IP:PORT`` shows that the stand-in is ready.
    """
    configure_logs(settings.log_level)
    asyncio.run(run_until_signal(settings, start))
    return 0


async def run_until_signal(settings: StandinSettings, start) -> None:
    """Start a stand-in, log its address, and wait for SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    address = await start(settings)
    log_event(logger, "listening", address=address)
    await stop_requested.wait()
