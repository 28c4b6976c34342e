"""A TCP relay whose open connections can be silenced or reset."""

import asyncio
import logging
from dataclasses import dataclass, field

from pydantic import Field

from pulley_base import log_event, split_address
from pulley_base.settings import settings_command
from pulley_http import Request, Response, start_server

from .orders import json_response
from .processes import StandinSettings, run_process

READ_BYTES = 64 * 1024

logger = logging.getLogger(__name__)


class RelaySettings(StandinSettings):
    """Settings of a relay."""

    target: str = Field(description="IP:port to relay to")
    switch: str = Field(
        "127.0.0.1:0", description="IP:port of the relay's control listener"
    )


@dataclass(slots=True, eq=False)
class RelayedConnection:
    """One connection through the relay; a ``silent`` one forwards nothing.

    A ``one_way`` connection forwards bytes to the target, but none from it.
    """

    writers: list[asyncio.StreamWriter]
    silent: bool = False
    one_way: bool = False


@dataclass(slots=True, eq=False)
class Relay:
    """A relay: its target, IP:port, and its open connections.

    Bytes are forwarded after ``delay_ms``; a ``closed`` relay resets new
    connections.
    """

    target: str
    delay_ms: int = 0
    closed: bool = False
    connections: set[RelayedConnection] = field(default_factory=set)
    listener: asyncio.Server | None = None


async def start_relay(settings: RelaySettings) -> str:
    """Start a relay and its control listener, and return the relay's address."""
    relay = await open_relay(settings.target, settings.listen)
    host, port = split_address(settings.switch)
    switch = await start_server(
        lambda request: handle_control_request(relay, request), host, port
    )
    log_event(logger, "switch", switch_address=switch.address)
    return relay_address(relay)


async def open_relay(target: str, listen: str = "127.0.0.1:0") -> Relay:
    """Listen on ``listen`` and relay each connection to ``target``, both IP:port."""
    relay = Relay(target)
    host, port = split_address(listen)
    relay.listener = await asyncio.start_server(
        lambda reader, writer: relay_connection(relay, reader, writer), host, port
    )
    return relay


def relay_address(relay: Relay) -> str:
    """Return the IP:port on which the relay listens."""
    host, port = relay.listener.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


async def handle_control_request(relay: Relay, request: Request) -> Response:
    """Handle ``POST /silence``, ``POST /drop`` and ``POST /resume``.

    The response contains the number of connections affected.
    """
    actions = {
        "/silence": silence_connections,
        "/drop": reset_connections,
        "/resume": resume_connections,
    }
    action = actions.get(request.path)
    if action is None:
        return json_response(404, {"error": "no such switch"})
    return json_response(200, {"connections": action(relay)})


def silence_connections(relay: Relay) -> int:
    """Silence the open connections, but no later ones; return their number."""
    for connection in relay.connections:
        connection.silent = True
    return len(relay.connections)


def resume_connections(relay: Relay) -> int:
    """Let the open connections forward again; return their number.

    Bytes that arrived while they were silent are lost.
    """
    for connection in relay.connections:
        connection.silent = False
        connection.one_way = False
    return len(relay.connections)


def block_answers(relay: Relay) -> int:
    """Stop forwarding answers on the open connections; return their number."""
    for connection in relay.connections:
        connection.one_way = True
    return len(relay.connections)


def reset_connections(relay: Relay) -> int:
    """Reset the open connections; return their number."""
    n_dropped = len(relay.connections)
    for connection in list(relay.connections):
        for writer in connection.writers:
            writer.transport.abort()
    return n_dropped


async def relay_connection(relay: Relay, reader, writer):
    """Relay one connection until it is closed."""
    host, port = split_address(relay.target)
    if relay.closed:
        writer.transport.abort()
        return
    try:
        target_reader, target_writer = await asyncio.open_connection(host, port)
    except OSError:
        writer.transport.abort()
        return
    connection = RelayedConnection([writer, target_writer])
    relay.connections.add(connection)
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(forward(relay, connection, reader, target_writer))
            group.create_task(
                forward(relay, connection, target_reader, writer, answers=True)
            )
    except* OSError:
        pass
    finally:
        relay.connections.discard(connection)
        for open_writer in connection.writers:
            open_writer.transport.abort()


async def forward(
    relay: Relay, connection: RelayedConnection, reader, writer, *, answers=False
):
    """Copy bytes in one direction; discard them while the connection is silent.

    ``answers`` says that the direction is from the target.
    """

    def discards() -> bool:
        return connection.silent or (answers and connection.one_way)

    while data := await reader.read(READ_BYTES):
        if relay.delay_ms:
            await asyncio.sleep(relay.delay_ms / 1_000)
        if discards():
            continue
        writer.write(data)
        await writer.drain()
    if not discards() and writer.can_write_eof():
        writer.write_eof()


def run_relay(settings: RelaySettings) -> int:
    """Run a relay until SIGTERM or SIGINT and return the exit code."""
    return run_process(settings, start_relay)


command = settings_command(RelaySettings, run_relay, "Run a TCP relay.")
