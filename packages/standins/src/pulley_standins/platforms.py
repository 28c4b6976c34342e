"""Commands that run the key-value service and the instance list as processes."""

import asyncio

from pydantic import Field

from pulley_base import configure_logs, split_address
from pulley_base.settings import settings_command

from .lists import serve_list
from .processes import StandinSettings
from .stores import serve_store


class PlatformSettings(StandinSettings):
    """Settings of a platform stand-in."""

    admin_port: int = Field(
        0, ge=0, le=65_535, description="port of the admin listener; 0 for any"
    )


def run_store(settings: PlatformSettings) -> int:
    """Run the key-value service until SIGINT."""
    return run_until_interrupted(settings, serve_store)


def run_list(settings: PlatformSettings) -> int:
    """Run the instance list until SIGINT."""
    return run_until_interrupted(settings, serve_list)


def run_until_interrupted(settings: PlatformSettings, serve) -> int:
    """Run ``serve`` on the configured address; SIGINT ends it without a traceback."""
    configure_logs(settings.log_level)
    host, port = split_address(settings.listen)
    try:
        asyncio.run(serve(host, port, settings.admin_port))
    except KeyboardInterrupt:
        pass
    return 0


store_command = settings_command(
    PlatformSettings, run_store, "Run a key-value service stand-in."
)
list_command = settings_command(
    PlatformSettings, run_list, "Run an instance list stand-in."
)
