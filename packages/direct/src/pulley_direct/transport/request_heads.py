"""The bytes of an attempt's request."""

import asyncio
import logging
from collections.abc import Sequence

import h11

from pulley_base import ConnectionLost
from pulley_http import Headers
from pulley_http.connections import ClientConnection, write_bytes

from ..endpoints.placing import Target
from ..state.channels import Channel
from ..state.jobs import Job
from ..state.models import AttemptParameters
from ..state.routers import Router

logger = logging.getLogger(__name__)

# Longer requests are written as the endpoint takes them, without a copy of the whole.
MAX_BUFFERED_BYTES = 128 * 1024
PIECE_BYTES = 64 * 1024


def build_request_headers(
    router: Router,
    job: Job,
    target: Target,
    left_ms: int,
    last_event_id: int | None,
) -> Headers:
    """Build the headers of one attempt, with the content length of its body."""
    parameters = AttemptParameters(
        endpoint=target.endpoint.name,
        left_ms=left_ms,
        team=None if job.team is None else job.team.name,
        last_event_id=last_event_id,
        context_source=target.context_source,
    )
    headers = router.header_codec.attempt_headers(job.call, parameters)
    headers = [pair for pair in headers if pair[0] != b"content-length"]
    if job.body or job.call.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", b"%d" % len(job.body)))
    return headers


def encode_request(
    parser: h11.Connection, request: h11.Request, body: bytes
) -> list[bytes]:
    """Return a whole request as pieces of bytes, its body as it is."""
    pieces = parser.send_with_data_passthrough(request)
    if body:
        pieces += parser.send_with_data_passthrough(h11.Data(data=body))
    return pieces + parser.send_with_data_passthrough(h11.EndOfMessage())


def write_request(channel: Channel, request: h11.Request, body: bytes) -> None:
    """Write a request on a channel; a long one in a task, as its endpoint takes it.

    So too one that follows a long request whose endpoint has answered it unread.
    """
    connection = channel.connection
    pieces = encode_request(connection.h11, request, body)
    if len(body) <= MAX_BUFFERED_BYTES and not channel.is_writing:
        connection.transport.write(b"".join(pieces))
    else:
        writing = write_pieces(connection, pieces, channel.writing)
        channel.writing = asyncio.create_task(writing)


async def write_pieces(
    connection: ClientConnection,
    pieces: Sequence[bytes],
    previous: asyncio.Task | None,
) -> None:
    """Write all pieces after those of the previous request.

    Ends if the connection does: its reader handles that.
    """
    try:
        if previous is not None:
            await previous
        for piece in pieces:
            view = memoryview(piece)
            for start in range(0, len(view), PIECE_BYTES):
                await write_bytes(connection, view[start : start + PIECE_BYTES])
    except ConnectionLost as error:
        logger.debug("request_not_written", extra={"error": str(error)})
