"""One attempt: a request sent to one endpoint, and its answer's head read."""

import logging
from dataclasses import dataclass

import h11

from pulley_base import (
    ConnectionLost,
    PulleyError,
    Reason,
    log_event,
)
from pulley_http import Headers
from pulley_http.connections import (
    next_event,
    parse_event,
)

from .budgets import count_routers
from .channels import Channel, acquire_channel, close_channel, release_channel
from .jobs import AttemptFailed, Job
from .loads import note_report, state_of
from .models import AnswerFacts, AttemptTerms, Endpoint
from .placing import Target
from .routers import Router
from .waits import Unanswered, wait_for_bytes

logger = logging.getLogger(__name__)

# More than any answer that is held whole, and a small part of a router's memory.
MAX_BODY_BYTES = 16 * 1024 * 1024
MISDIRECTED = 421
# Endpoints reset channels over their limit; routers that start or stop share it too.
CHANNEL_MARGIN = 0.9


@dataclass(slots=True)
class Exchange:
    """An answer whose head was read, on the channel that brings its body."""

    router: Router
    endpoint: Endpoint
    channel: Channel
    status: int
    headers: Headers
    facts: AnswerFacts
    finished: bool = False


async def start_exchange(
    router: Router, job: Job, target: Target, last_event_id: int | None
) -> Exchange:
    """Send a job's request to an endpoint and read the head of its answer.

    Raises AttemptFailed. The exchange counts as in flight until
    ``end_exchange``.
    """
    endpoint = target.endpoint
    state = state_of(router.loads, endpoint.name)
    state.in_flight += 1
    channel = None
    try:
        channel = await open_channel(router, endpoint)
        return await send_on_channel(router, job, target, channel, last_event_id)
    except BaseException:
        state.in_flight -= 1
        if channel is not None:
            close_channel(router.pool, channel)
        raise


async def open_channel(router: Router, endpoint: Endpoint) -> Channel:
    """Give a channel to an endpoint; nothing has been sent where that fails."""
    if is_at_limit(router, endpoint):
        raise AttemptFailed(
            Reason.ENDPOINT_BUSY,
            "all of this router's channels are taken",
            endpoint,
            reached=False,
            may_have_run=False,
        )
    try:
        return await acquire_channel(router.pool, endpoint.address)
    except PulleyError as error:
        raise AttemptFailed(
            Reason.ENGINE_UNREACHABLE,
            str(error),
            endpoint,
            reached=False,
            may_have_run=False,
        ) from error


def is_at_limit(router: Router, endpoint: Endpoint) -> bool:
    """Tell whether this router's part of an endpoint's channels is in use."""
    service = router.beliefs.configuration.services.get(endpoint.service)
    if service is None or not service.max_connections:
        return False
    if router.pool.idle.get(endpoint.address):
        return False
    part = service.max_connections * CHANNEL_MARGIN / count_routers(router)
    return router.pool.n_open[endpoint.address] >= max(1, int(part))


async def send_on_channel(
    router: Router,
    job: Job,
    target: Target,
    channel: Channel,
    last_event_id: int | None,
) -> Exchange:
    """Write the request and read the answer's head, both before the deadline."""
    endpoint = target.endpoint
    left_ms = max(1, job.deadline_ms - router.clock.now_ms())
    headers = request_headers(router, job, target, left_ms, last_event_id)
    request = h11.Request(
        method=job.call.method, target=job.call.target, headers=headers
    )
    connection = channel.connection
    if connection.transport.is_closing():
        raise AttemptFailed(
            Reason.CONNECTION_LOST,
            "closed while idle",
            endpoint,
            reached=False,
            may_have_run=False,
        )
    job.sent.append(endpoint.name)
    job.sent_ms = router.clock.now_ms()
    connection.transport.write(encode_request(connection.h11, request, job.body))
    try:
        head, facts = await read_own_head(router, job, channel, request, endpoint)
    except Unanswered as error:
        reason = Reason.STALLED if error.early else Reason.DEADLINE
        raise AttemptFailed(reason, "no answer in time", endpoint) from error
    except PulleyError as error:
        raise AttemptFailed(Reason.CONNECTION_LOST, str(error), endpoint) from error
    note_report(router.loads, endpoint.name, facts.load)
    answer_headers = [(bytes(key), bytes(value)) for key, value in head.headers]
    return Exchange(router, endpoint, channel, head.status_code, answer_headers, facts)


def request_headers(
    router: Router,
    job: Job,
    target: Target,
    left_ms: int,
    last_event_id: int | None,
) -> Headers:
    """Give the headers of one attempt, its body's length among them."""
    terms = AttemptTerms(
        endpoint=target.endpoint.name,
        left_ms=left_ms,
        team=None if job.team is None else job.team.name,
        last_event_id=last_event_id,
        context_source=target.context_source,
    )
    headers = router.dialect.attempt_headers(job.call, terms)
    headers = [pair for pair in headers if pair[0] != b"content-length"]
    if job.body or job.call.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", b"%d" % len(job.body)))
    return headers


def encode_request(parser: h11.Connection, request: h11.Request, body: bytes) -> bytes:
    """Give a whole request as bytes."""
    data = [parser.send(request)]
    if body:
        data.append(parser.send(h11.Data(data=body)))
    data.append(parser.send(h11.EndOfMessage()))
    return b"".join(data)


async def read_own_head(
    router: Router,
    job: Job,
    channel: Channel,
    request: h11.Request,
    endpoint: Endpoint,
) -> tuple[h11.Response, AnswerFacts]:
    """Read answers until one belongs to this request.

    An endpoint may send an answer to an earlier request once more, before the
    one that is waited for.
    """
    connection = channel.connection
    while True:
        head = parse_event(connection, "head")
        if head is h11.NEED_DATA:
            await wait_for_bytes(router, job, endpoint, connection)
            continue
        if isinstance(head, h11.InformationalResponse):
            continue
        if not isinstance(head, h11.Response):
            raise ConnectionLost("closed early", step="head", peer=channel.address)
        facts = router.dialect.read_answer(head.headers)
        if is_own_answer(job, head.status_code, facts):
            return head, facts
        log_event(
            logger,
            "foreign_answer_skipped",
            request=job.call.request_id,
            peer=channel.address,
            answer_to=facts.request_id,
        )
        router.counters.failures[Reason.FOREIGN_ANSWER] += 1
        await skip_answer(channel)
        restart_parser(channel, request, job.body)


def is_own_answer(job: Job, status: int, facts: AnswerFacts) -> bool:
    """Tell whether an answer is to this request; failures may name none."""
    if facts.request_id is None:
        return status >= 400
    return facts.request_id == job.call.request_id


async def skip_answer(channel: Channel) -> None:
    """Read an answer to its end."""
    event = None
    while not isinstance(event, h11.EndOfMessage):
        event = await next_event(channel.connection, "body")


def restart_parser(channel: Channel, request: h11.Request, body: bytes) -> None:
    """Parse what follows on a channel as a further answer to the same request."""
    connection = channel.connection
    trailing, _closed = connection.h11.trailing_data
    connection.h11 = h11.Connection(h11.CLIENT)
    encode_request(connection.h11, request, body)
    if trailing:
        connection.h11.receive_data(trailing)
    if connection.ended and not connection.broken:
        connection.h11.receive_data(b"")


async def read_piece(exchange: Exchange, job: Job) -> bytes | None:
    """Give the bytes of the body that are at hand, None at its end.

    Raises ConnectionLost where the body is cut, Unanswered where nothing came.
    """
    connection = exchange.channel.connection
    pieces = []
    while True:
        event = parse_event(connection, "body")
        if isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
        elif pieces and event is h11.NEED_DATA:
            return b"".join(pieces)
        elif event is h11.NEED_DATA:
            await wait_for_bytes(exchange.router, job, exchange.endpoint, connection)
        elif isinstance(event, h11.EndOfMessage):
            exchange.finished = True
            return b"".join(pieces) if pieces else None
        else:
            peer = exchange.channel.address
            raise ConnectionLost("closed in mid-answer", step="body", peer=peer)


async def read_whole_body(exchange: Exchange, job: Job) -> bytes:
    """Read an answer's body to its end; raises AttemptFailed where it is cut."""
    pieces = []
    n_bytes = 0
    try:
        while not exchange.finished:
            piece = await read_piece(exchange, job)
            if piece is not None:
                pieces.append(piece)
                n_bytes += len(piece)
            if n_bytes > MAX_BODY_BYTES:
                raise ConnectionLost("the answer is too large", step="body")
    except PulleyError as error:
        raise AttemptFailed(
            Reason.CONNECTION_LOST, str(error), exchange.endpoint
        ) from error
    return b"".join(pieces)


def end_exchange(exchange: Exchange) -> None:
    """Keep or close the channel of an exchange that is over."""
    state = state_of(exchange.router.loads, exchange.endpoint.name)
    state.in_flight -= 1
    pool = exchange.router.pool
    if exchange.finished:
        release_channel(pool, exchange.channel, exchange.facts.idle_timeout_ms)
    else:
        close_channel(pool, exchange.channel)
