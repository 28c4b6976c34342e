"""One attempt: send a request to one endpoint and read the head of its answer."""

import asyncio
import logging

import h11

from pulley_base import (
    ConnectionLost,
    PulleyError,
    Reason,
    log_event,
)
from pulley_http import Headers
from pulley_http.connections import parse_event

from .budgets import count_routers
from .channels import (
    Channel,
    allow_late_reading,
    close_channel,
    connect_channel,
    take_idle,
)
from .departures import record_leaving, takes_work
from .exchanges import (
    MAX_BODY_BYTES,
    MAX_PIECES_PER_TURN,
    Exchange,
    failure_reason,
)
from .fleet_views import LeavingSource
from .gossip import tell_leaving, tell_load
from .jobs import AttemptFailed, Job
from .limits import hear_limit
from .loads import close_endpoint, get_state, is_closed, record_report
from .models import AnswerMetadata, AttemptParameters, Endpoint
from .placing import Target
from .rejections import MISDIRECTED_STATUS
from .routers import Router
from .waits import wait_for_bytes

logger = logging.getLogger(__name__)

# Informational answers, and those to earlier requests, that may come before the
# expected one: far more than a sound endpoint sends.
MAX_SKIPPED_ANSWERS = 16
FIRST_ERROR_STATUS = 400
UNAVAILABLE_STATUS = 503
# Endpoints reset connections over their limit; the rest is for routers that are just
# starting or stopping, which also hold connections.
CHANNEL_LIMIT_SHARE = 0.9


async def start_exchange(
    router: Router, job: Job, target: Target, last_event_id: int | None
) -> Exchange:
    """Send a job's request to an endpoint and read the head of its answer.

    Raises AttemptFailed. The exchange counts as in flight until ``end_exchange``.
    """
    endpoint = target.endpoint
    state = get_state(router.loads, endpoint.name)
    state.in_flight += 1
    channel = None
    try:
        channel = await open_channel(router, job, endpoint)
        return await send_on_channel(router, job, target, channel, last_event_id)
    except BaseException:
        state.in_flight -= 1
        if channel is not None:
            close_channel(router.pool, channel)
        raise


async def open_channel(router: Router, job: Job, endpoint: Endpoint) -> Channel:
    """Return a channel to an endpoint; a new one if the job was at its address before.

    An answer that an endpoint repeats on a kept channel then can't be one to this job.
    Raises AttemptFailed if the channel limit is reached or the connection fails;
    nothing has been sent in that case.
    """
    if is_at_channel_limit(router, endpoint):
        raise AttemptFailed(
            Reason.ENDPOINT_BUSY,
            "all of this router's channels are taken",
            endpoint,
            reached=False,
            may_have_run=False,
        )
    if endpoint.address not in job.addresses:
        channel = take_idle(router.pool, endpoint.address)
        if channel is not None:
            return channel
    try:
        channel = await connect_channel(router.pool, endpoint.address)
    except PulleyError as error:
        raise AttemptFailed(
            Reason.ENGINE_UNREACHABLE,
            str(error),
            endpoint,
            reached=False,
            may_have_run=False,
        ) from error
    get_state(router.loads, endpoint.name).unreachable = False
    return channel


def is_at_channel_limit(router: Router, endpoint: Endpoint) -> bool:
    """Check whether this router's share of an endpoint's connections is in use.

    An idle channel to the endpoint, or a service without a limit, is never at the
    limit.
    """
    service = router.fleet_view.configuration.services.get(endpoint.service)
    if service is None or not service.max_connections:
        return False
    if router.pool.idle.get(endpoint.address):
        return False
    limit = service.max_connections * CHANNEL_LIMIT_SHARE / count_routers(router)
    return router.pool.n_open[endpoint.address] >= max(1, int(limit))


async def send_on_channel(
    router: Router,
    job: Job,
    target: Target,
    channel: Channel,
    last_event_id: int | None,
) -> Exchange:
    """Write the request and read the answer's head, both before the deadline.

    Raises AttemptFailed.
    """
    endpoint = target.endpoint
    left_ms = max(1, job.deadline_ms - router.clock.now_ms())
    headers = build_request_headers(router, job, target, left_ms, last_event_id)
    request = h11.Request(
        method=job.call.method, target=job.call.target, headers=headers
    )
    connection = channel.connection
    check_sendable(router, channel, endpoint)
    allow_late_reading(channel, len(job.body), left_ms)
    job.sent_to.append(endpoint.name)
    job.addresses.add(endpoint.address)
    channel.n_requests += 1
    job.sent_ms = router.clock.now_ms()
    job.placement = target.placement
    job.reported = None
    connection.transport.write(encode_request(connection.h11, request, job.body))
    try:
        head, metadata = await read_matching_head(
            router, job, channel, request, endpoint
        )
    except PulleyError as error:
        raise AttemptFailed(failure_reason(error), str(error), endpoint) from error
    record_head(router, job, endpoint, head.status_code, metadata)
    answer_headers = [(bytes(key), bytes(value)) for key, value in head.headers]
    return Exchange(
        router=router,
        endpoint=endpoint,
        channel=channel,
        status=head.status_code,
        headers=answer_headers,
        metadata=metadata,
        last_read_ms=router.clock.now_ms(),
    )


def check_sendable(router: Router, channel: Channel, endpoint: Endpoint) -> None:
    """Raise AttemptFailed if a request must not be written any more.

    Since they were chosen, the endpoint may have left or asked for a pause, and the
    channel may have been closed.
    """
    if not takes_work(router.fleet_view, endpoint):
        reason, detail = Reason.DRAINING, "left before the request was sent"
    elif is_closed(router.loads, endpoint.name):
        reason, detail = Reason.ENDPOINT_CLOSED, "asked for a pause meanwhile"
    elif channel.connection.transport.is_closing():
        reason, detail = Reason.CONNECTION_LOST, "closed while idle"
    else:
        return
    raise AttemptFailed(reason, detail, endpoint, reached=False, may_have_run=False)


def record_head(
    router: Router,
    job: Job,
    endpoint: Endpoint,
    status: int,
    metadata: AnswerMetadata,
) -> None:
    """Record what an answer's head says of its endpoint, and tell its load.

    Nothing, if another endpoint rejects the request as misdirected.
    """
    if status == MISDIRECTED_STATUS:
        return
    job.reported = metadata.load
    record_report(router.loads, endpoint.name, metadata.load)
    tell_load(router, job, endpoint)
    hear_limit(router, endpoint, status, metadata.rate_limit)
    if status == UNAVAILABLE_STATUS and metadata.retry_after_ms:
        record_pause(router, job, endpoint, metadata.retry_after_ms)


def record_pause(router: Router, job: Job, endpoint: Endpoint, asked_ms: int) -> None:
    """Record and log that an endpoint asked for no requests for a time in ms."""
    log_event(
        logger,
        "endpoint_closed",
        request=job.call.request_id,
        endpoint=endpoint.name,
        asked_ms=asked_ms,
        closed_ms=close_endpoint(router.loads, endpoint.name, asked_ms),
    )


def hear_leaving(
    router: Router, endpoint: Endpoint, status: int, metadata: AnswerMetadata
) -> None:
    """Record and tell that an endpoint said in an answer that it leaves.

    The one that rejects a request as misdirected is another one than was asked.
    """
    if not metadata.leaving or status == MISDIRECTED_STATUS:
        return
    if record_leaving(router.fleet_view, endpoint, LeavingSource.ANSWER):
        tell_leaving(router, endpoint)


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


def encode_request(parser: h11.Connection, request: h11.Request, body: bytes) -> bytes:
    """Return a whole request as bytes."""
    data = [parser.send(request)]
    if body:
        data.append(parser.send(h11.Data(data=body)))
    data.append(parser.send(h11.EndOfMessage()))
    return b"".join(data)


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
