"""One attempt: send a request to one endpoint and read the head of its answer."""

import h11

from pulley_base import PulleyError, Reason

from ..crashes.crashes import log_lost_before
from ..endpoints.budgets import count_routers
from ..endpoints.departures import takes_work
from ..endpoints.placing import Target
from ..state.channels import (
    Channel,
    allow_late_reading,
    close_channel,
    close_idle,
    close_oldest_idle,
    connect_channel,
    take_idle,
)
from ..state.jobs import AttemptFailed, Job
from ..state.loads import get_state, is_closed
from ..state.models import Endpoint
from ..state.routers import Router
from ..transport.exchanges import Exchange, failure_reason
from ..transport.request_heads import build_request_headers, write_request
from .answer_heads import read_matching_head
from .head_reports import record_head

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
    if not has_room_for_channel(router):
        raise AttemptFailed(
            Reason.ENDPOINT_BUSY,
            "this router has no room for another channel",
            endpoint,
            reached=False,
            may_have_run=False,
        )
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


def has_room_for_channel(router: Router) -> bool:
    """Check whether the router may open one more channel; an idle one yields to it."""
    pool = router.pool
    if pool.n_open.total() < router.rooms.endpoint_connections:
        return True
    return close_oldest_idle(pool)


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
    check_sendable(router, channel, endpoint)
    allow_late_reading(channel, len(job.body), left_ms)
    job.sent_to.append(endpoint.name)
    job.addresses.add(endpoint.address)
    channel.n_requests += 1
    job.sent_ms = router.clock.now_ms()
    job.placement = target.placement
    job.reported = None
    job.has_paused = False
    write_request(channel, request, job.body)
    log_lost_before(router, job, endpoint)
    try:
        head, metadata = await read_matching_head(
            router, job, channel, request, endpoint
        )
    except PulleyError as error:
        if has_timed_out(channel):
            close_idle(router.pool, endpoint.address)
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


def has_timed_out(channel: Channel) -> bool:
    """Check whether the kernel ended a channel on which nothing was acknowledged."""
    return isinstance(channel.connection.error, TimeoutError)


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
