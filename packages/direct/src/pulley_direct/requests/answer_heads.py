"""Heads of answers: read until one belongs to the request that was sent."""

import asyncio
import logging

import h11

from pulley_base import ConnectionLost, Reason, log_event
from pulley_http.connections import parse_event

from ..state.channels import Channel
from ..state.jobs import Job
from ..state.models import AnswerMetadata, Endpoint
from ..state.routers import Router
from ..transport.exchanges import MAX_BODY_BYTES, MAX_PIECES_PER_TURN
from ..transport.request_heads import encode_request
from ..transport.waits import wait_for_bytes
from .head_reports import hear_leaving

logger = logging.getLogger(__name__)

# Informational answers, and those to earlier requests, that may come before the
# expected one: far more than a sound endpoint sends.
MAX_SKIPPED_ANSWERS = 16
FIRST_ERROR_STATUS = 400


async def read_matching_head(
    router: Router,
    job: Job,
    channel: Channel,
    request: h11.Request,
    endpoint: Endpoint,
) -> tuple[h11.Response, AnswerMetadata]:
    """Read answers until one belongs to this request.

    An endpoint may repeat its answer to an earlier request before it sends the
    expected one. Raises ConnectionLost after ``MAX_SKIPPED_ANSWERS`` others.
    """
    for _ in range(MAX_SKIPPED_ANSWERS + 1):
        head = await read_head(router, job, channel, endpoint)
        metadata = router.header_codec.read_answer(head.headers)
        hear_leaving(router, endpoint, head.status_code, metadata)
        if isinstance(head, h11.InformationalResponse):
            continue
        if is_answer_to_job(job, channel, head.status_code, metadata):
            return head, metadata
        log_event(
            logger,
            "foreign_answer_skipped",
            request=job.call.request_id,
            peer=channel.address,
            answer_to=metadata.request_id,
        )
        router.counters.failures[Reason.FOREIGN_ANSWER] += 1
        await discard_answer(router, job, channel, endpoint)
        restart_parser(channel, request, job.body)
    raise ConnectionLost("too many other answers", step="head", peer=channel.address)


async def read_head(
    router: Router, job: Job, channel: Channel, endpoint: Endpoint
) -> h11.Response | h11.InformationalResponse:
    """Read the next head on a channel, also that of an informational answer."""
    connection = channel.connection
    head = parse_event(connection, "head")
    while head is h11.NEED_DATA:
        await wait_for_bytes(router, job, endpoint, connection)
        head = parse_event(connection, "head")
    if not isinstance(head, h11.Response | h11.InformationalResponse):
        raise ConnectionLost("closed early", step="head", peer=channel.address)
    return head


def is_answer_to_job(
    job: Job, channel: Channel, status: int, metadata: AnswerMetadata
) -> bool:
    """Check whether an answer belongs to this request.

    An error answer without a request id does if none can be left of earlier requests,
    or if the request has no id itself.
    """
    if metadata.request_id is not None:
        return metadata.request_id == job.call.request_id
    is_clear = channel.n_requests == 1 or not job.call.request_id
    return status >= FIRST_ERROR_STATUS and is_clear


async def discard_answer(
    router: Router, job: Job, channel: Channel, endpoint: Endpoint
) -> None:
    """Read an answer to its end and discard it.

    Raises ConnectionLost if it is cut or larger than ``MAX_BODY_BYTES``, and
    AnswerTimeout if it has no end in time.
    """
    connection = channel.connection
    peer = channel.address
    n_bytes = n_pieces = 0
    while n_bytes <= MAX_BODY_BYTES:
        event = parse_event(connection, "body")
        if event is h11.NEED_DATA:
            await wait_for_bytes(router, job, endpoint, connection)
        elif isinstance(event, h11.Data):
            n_bytes += len(event.data)
            n_pieces += 1
            if n_pieces % MAX_PIECES_PER_TURN == 0:
                await asyncio.sleep(0)
        elif isinstance(event, h11.EndOfMessage):
            return
        else:
            raise ConnectionLost("closed in mid-answer", step="body", peer=peer)
    raise ConnectionLost("a foreign answer is too large", step="body", peer=peer)


def restart_parser(channel: Channel, request: h11.Request, body: bytes) -> None:
    """Parse the next bytes on a channel as another answer to the same request."""
    connection = channel.connection
    trailing, _closed = connection.h11.trailing_data
    connection.h11 = h11.Connection(h11.CLIENT)
    encode_request(connection.h11, request, body)
    if trailing:
        connection.h11.receive_data(trailing)
    if connection.ended and not connection.broken:
        connection.h11.receive_data(b"")
