"""A TCP relay whose open connections can be made to go silent, or dropped."""

import asyncio
import logging
from dataclasses import dataclass, field

from pydantic import Field

from pulley_base import log_event
from pulley_base.settings import settings_command
from pulley_http import Request, Response, start_server

from .orders import json_response
from .processes import StandinSettings, run_process, split_address

READ_BYTES = 64 * 1024

logger = logging.getLogger(__name__)


class RelaySettings(StandinSettings):
    """Settings of one relay."""

    target: str = Field(description="IP:port to relay to")
    switch: str = Field("127.0.0.1:0", description="IP:port of the relay's switch")


@dataclass(slots=True, eq=False)
class RelayedConnection:
    """One connection through the relay; ``silent`` ones forward nothing.

    A ``one_way`` connection forwards what is sent to the target, and no answer.
    """

    writers: list[asyncio.StreamWriter]
    silent: bool = False
    one_way: bool = False


@dataclass(slots=True, eq=False)
class Relay:
    """The relay's target and open connections.

    Each piece is forwarded after ``delay_ms``; a ``closed`` relay resets new
    connections.
    """

    target: str
    delay_ms: int = 0
    closed: bool = False
    connections: set[RelayedConnection] = field(default_factory=set)
    listener: asyncio.Server | None = None


async def start_relay(settings: RelaySettings) -> str:
    """Start a relay and its switch, and give the relay's address."""
    relay = await open_relay(settings.target, settings.listen)
    host, port = split_address(settings.switch)
    switch = await start_server(
        lambda request: handle_switch(relay, request), host, port
    )
    log_event(logger, "switch", switch_address=switch.address)
    return relay_address(relay)


async def open_relay(target: str, listen: str = "127.0.0.1:0") -> Relay:
    """Listen and relay every connection to ``target``."""
    relay = Relay(target)
    host, port = split_address(listen)
    relay.listener = await asyncio.start_server(
        lambda reader, writer: relay_connection(relay, reader, writer), host, port
    )
    return relay


def relay_address(relay: Relay) -> str:
    """Give the IP:port that the relay listens on."""
    host, port = relay.listener.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


async def handle_switch(relay: Relay, request: Request) -> Response:
    """Act on ``POST /silence``, ``/drop`` or ``/resume``."""
    actions = {"/silence": silence_open, "/drop": drop_open, "/resume": resume_open}
    action = actions.get(request.path)
    if action is None:
        return json_response(404, {"error": "no such switch"})
    return json_response(200, {"connections": action(relay)})


def silence_open(relay: Relay) -> int:
    """Make the connections open now forward nothing; new ones work."""
    for connection in relay.connections:
        connection.silent = True
    return len(relay.connections)


def resume_open(relay: Relay) -> int:
    """Let silenced connections forward again; what they held back is lost."""
    for connection in relay.connections:
        connection.silent = False
        connection.one_way = False
    return len(relay.connections)


def cut_answers(relay: Relay) -> int:
    """Make the connections open now forward no answers."""
    for connection in relay.connections:
        connection.one_way = True
    return len(relay.connections)


def drop_open(relay: Relay) -> int:
    """Reset the connections open now."""
    n_dropped = len(relay.connections)
    for connection in list(relay.connections):
        for writer in connection.writers:
            writer.transport.abort()
    return n_dropped


async def relay_connection(relay: Relay, reader, writer):
    """Relay one connection until either end closes it."""
    host, port = split_address(relay.target)
    if relay.closed:
        writer.transport.abort()
        return
    try:
        far_reader, far_writer = await asyncio.open_connection(host, port)
    except OSError:
        writer.transport.abort()
        return
    connection = RelayedConnection([writer, far_writer])
    relay.connections.add(connection)
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(forward(relay, connection, reader, far_writer))
            group.create_task(
                forward(relay, connection, far_reader, writer, answers=True)
            )
    except* OSError:
        pass
    finally:
        relay.connections.discard(connection)
        for end in connection.writers:
            end.transport.abort()


async def forward(
    relay: Relay, connection: RelayedConnection, reader, writer, *, answers=False
):
    """Copy bytes one way, or swallow them while the connection is silent."""

    def swallows() -> bool:
        return connection.silent or (answers and connection.one_way)

    while data := await reader.read(READ_BYTES):
        if relay.delay_ms:
            await asyncio.sleep(relay.delay_ms / 1_000)
        if swallows():
            continue
        writer.write(data)
        await writer.drain()
    if not swallows() and writer.can_write_eof():
        writer.write_eof()


def run_relay(settings: RelaySettings) -> int:
    """Run one relay until told to stop."""
    return run_process(settings, start_relay)


command = settings_command(RelaySettings, run_relay, "Run a TCP relay.")
