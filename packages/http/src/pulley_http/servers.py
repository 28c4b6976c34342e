"""An HTTP/1.1 server over h11 and asyncio, with one task per connection."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from pulley_base import Clock, time_limit

from .models import Limits, Request, Response
from .problems import RequestRefused, format_whole_seconds
from .server_connections import READ_TURN_BYTES, HttpConnection
from .server_loops import serve_connection

Handler = Callable[[Request], Awaitable[Response]]

# Connections that the kernel holds until they are accepted.
LISTEN_BACKLOG = 1024
# Those accepted in one turn of the loop: each takes a descriptor before it can be
# turned away.
ACCEPTED_PER_TURN = 16


@dataclass(slots=True)
class Server:
    """A listening server and its open connections.

    ``max_connections`` is the most that are open at once, 0 for no limit;
    ``on_turned_away`` is called for each beyond it. ``read_buffer`` takes what is read
    from any connection.
    """

    handler: Handler
    limits: Limits
    clock: Clock
    on_refused: Callable[[RequestRefused], None]
    on_unanswered: Callable[[], None]
    format_retry_after: Callable[[int], bytes] = format_whole_seconds
    max_connections: int = 0
    on_turned_away: Callable[[], None] = lambda: None
    read_buffer: memoryview = field(
        default_factory=lambda: memoryview(bytearray(READ_TURN_BYTES))
    )
    listener: asyncio.Server | None = None
    connections: set[HttpConnection] = field(default_factory=set)
    draining: bool = False

    @property
    def address(self) -> str:
        """The IP:port on which the server listens."""
        host, port = self.listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"


async def start_server(
    handler: Handler,
    host: str,
    port: int,
    *,
    limits: Limits | None = None,
    clock: Clock | None = None,
    on_refused: Callable[[RequestRefused], None] = lambda refusal: None,
    on_unanswered: Callable[[], None] = lambda: None,
    format_retry_after: Callable[[int], bytes] = format_whole_seconds,
    max_connections: int = 0,
    on_turned_away: Callable[[], None] = lambda: None,
) -> Server:
    """Listen on ``host:port`` and answer each request with ``handler``.

    If the handler raises RequestRefused, the caller gets its problem document;
    any other exception becomes a 500. When the caller closes the connection,
    the task that runs the handler and sends the body is cancelled.
    ``on_refused`` is called for each refusal, also for those of the server,
    ``on_unanswered`` for each connection that the server itself ends while a request
    on it has no whole answer, ``on_turned_away`` for each that is closed at once as
    ``max_connections`` are open (0 for no limit).
    """
    limits, clock = limits or Limits(), clock or Clock()
    server = Server(
        handler,
        limits,
        clock,
        on_refused,
        on_unanswered,
        format_retry_after,
        max_connections,
        on_turned_away,
    )
    listening = open_listener(host, port)
    loop = asyncio.get_running_loop()
    server.listener = await loop.create_server(
        lambda: HttpConnection(server, serve_connection),
        sock=listening,
        backlog=ACCEPTED_PER_TURN,
    )
    # The loop accepts as many in one turn as the backlog that it was given.
    listening.listen(LISTEN_BACKLOG)
    return server


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address; raises OSError if that is taken."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening.bind((host, port))
    except OSError as error:
        listening.close()
        detail = f"{host}:{port}: {(error.strerror or str(error)).lower()}"
        raise OSError(error.errno, detail) from error
    return listening


def close_server(server: Server) -> None:
    """Stop listening and abort the open connections."""
    server.listener.close()
    abort_connections(server)


def abort_connections(server: Server) -> None:
    """Abort the open connections."""
    for connection in list(server.connections):
        connection.abort()


async def drain_server(server: Server, timeout_ms: int) -> int:
    """Stop accepting connections, finish requests in flight, and close.

    Return the number of connections that were aborted after ``timeout_ms``.
    """
    server.draining = True
    server.listener.close()
    for connection in list(server.connections):
        connection.close_if_idle()
    closed = [connection.closed for connection in server.connections]
    if not closed:
        return 0
    try:
        async with time_limit(timeout_ms):
            await asyncio.wait(closed)
    except TimeoutError:
        abort_connections(server)
    return sum(not one.done() for one in closed)
