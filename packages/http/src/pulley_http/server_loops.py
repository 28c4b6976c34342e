"""The requests of one caller's connection, answered one after the other."""

import asyncio
import logging

import h11

from pulley_base import log_event, warn_event

from .checks import internal_error, parse_error_refusal
from .models import Response
from .problems import RequestRefused, problem_response
from .request_reads import build_request, read_head
from .response_writes import send_response
from .server_connections import HttpConnection

# States of h11 once a request, or its answer, is complete.
COMPLETE_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

logger = logging.getLogger(__name__)


async def serve_connection(connection: HttpConnection) -> None:
    """Serve requests until the connection ends."""
    try:
        while await serve_request(connection):
            connection.h11.start_next_cycle()
    except (asyncio.CancelledError, ConnectionError):
        pass
    finally:
        if is_unanswered(connection):
            record_unanswered(connection)
        connection.transport.close()


def is_unanswered(connection: HttpConnection) -> bool:
    """Check whether this side ends the connection in the middle of a request."""
    if connection.peer_closed:
        return False
    unread = bool(connection.h11.trailing_data[0])
    if connection.h11.our_state in COMPLETE_STATES:
        # What follows a request that was refused unread belongs to that one.
        return unread and connection.h11.their_state in COMPLETE_STATES
    return unread or connection.h11.their_state is not h11.IDLE


def record_unanswered(connection: HttpConnection) -> None:
    """Count and log that a request gets no whole answer, and how far it came."""
    connection.server.on_unanswered()
    log_event(
        logger,
        "request_unanswered",
        peer=connection.peer,
        handling=connection.handling,
        draining=connection.server.draining,
        n_requests=connection.n_requests,
        n_unread_bytes=len(connection.h11.trailing_data[0]),
        request_state=connection.h11.their_state,
        answer_state=connection.h11.our_state,
    )


async def serve_request(connection: HttpConnection) -> bool:
    """Read and answer one request; return whether another may follow."""
    response = await find_response(connection)
    if response is None:
        return False
    await send_response(connection, response)
    connection.handling = False
    connection.waits_since_ms = connection.server.clock.now_ms()
    return is_reusable(connection)


async def find_response(connection: HttpConnection) -> Response | None:
    """Read one request and return its response; None at the connection's end.

    Nothing refers to the request's head any more while the response is sent, unless the
    response does: a refused caller may leave its connection open for long.
    """
    try:
        head = await read_head(connection)
        if head is None:
            return None
        connection.n_requests += 1
        connection.waits_since_ms = None
        request = build_request(connection, head)
        connection.method = request.method
        connection.handling = True
        return await connection.server.handler(request)
    except RequestRefused as refusal:
        connection.server.on_refused(refusal)
        return build_refusal_response(connection, refusal)
    except h11.RemoteProtocolError as error:
        refusal = parse_error_refusal(error)
        connection.server.on_refused(refusal)
        return build_refusal_response(connection, refusal)
    except Exception as error:
        warn_event(logger, "handler_failed", peer=connection.peer, error=repr(error))
        logger.debug("handler_failed", exc_info=error)
        return internal_error()


def build_refusal_response(
    connection: HttpConnection, refusal: RequestRefused
) -> Response:
    """Return the response for a refusal."""
    return problem_response(refusal, connection.server.format_retry_after)


def is_reusable(connection: HttpConnection) -> bool:
    """Check whether the connection can carry another request."""
    if connection.server.draining or connection.peer_closed:
        return False
    states = (connection.h11.our_state, connection.h11.their_state)
    return states == (h11.DONE, h11.DONE)
