"""Probes that tell whether an endpoint that lost requests has crashed."""

import asyncio
from enum import StrEnum

from pulley_base import PulleyError, to_seconds
from pulley_http.connections import ClientConnection, open_connection

from ..state.routers import Router
from ..transport.waits import read_within

PROBE_TIMEOUT_MS = 200
# A dying process may accept a connection before it closes all that it holds, and then
# accepts no more; one that is full goes on closing those that it accepts.
PROBE_OPEN_MS = 100
PROBE_PAUSE_MS = 50
MAX_PROBES = 2


class ProbeResult(StrEnum):
    """What a probe found: an endpoint that accepts, refuses or can't be reached."""

    UP = "up"
    REFUSING = "refusing"
    UNREACHABLE = "unreachable"


def start_probe(router: Router, address: str) -> asyncio.Task:
    """Return the running probe of an address, or start one."""
    probe = router.probes.get(address)
    if probe is None:
        probe = asyncio.create_task(probe_endpoint(address))
        router.probes[address] = probe
        probe.add_done_callback(lambda _task: router.probes.pop(address))
    return probe


async def is_down(address: str) -> bool:
    """Check whether an endpoint accepts no connection, or soon accepts no more."""
    return await probe_endpoint(address) is not ProbeResult.UP


async def probe_endpoint(address: str) -> ProbeResult:
    """Check whether an endpoint accepts connections, and goes on to do so."""
    for _ in range(MAX_PROBES):
        try:
            connection = await open_connection(address, PROBE_TIMEOUT_MS)
        except PulleyError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return ProbeResult.REFUSING
            return ProbeResult.UNREACHABLE
        try:
            if not await ends_soon(connection):
                return ProbeResult.UP
        finally:
            connection.close()
        await asyncio.sleep(to_seconds(PROBE_PAUSE_MS))
    return ProbeResult.UP


async def ends_soon(connection: ClientConnection) -> bool:
    """Check whether the other side closes an unused connection at once."""
    try:
        await read_within(connection, PROBE_OPEN_MS, PROBE_OPEN_MS)
    except PulleyError:
        return True
    return connection.ended
