"""The entry point for callers: each HTTP request is answered or refused here."""

import logging
from collections.abc import AsyncIterator, Callable

from pulley_base import Clock, Reason, log_event
from pulley_fleet.counters import IN_FLIGHT, REFUSALS
from pulley_fleet.followers import Follower
from pulley_http import Request, RequestRefused, Response

from .calls import read_call
from .dispatch import dispatch
from .dispatchers import Dispatcher

logger = logging.getLogger(__name__)

NO_SERVICE = "none"


def make_handler(
    follower: Follower, dispatcher: Dispatcher, clock: Clock
) -> Callable[[Request], Response]:
    """Return the handler that the callers' server runs for each request.

    It raises RequestRefused with 503 until the rules are known.
    """

    async def handle(request: Request) -> Response:
        rules = follower.rules
        if rules.revision == 0:
            raise RequestRefused(
                503,
                Reason.NOT_READY,
                "the rules are not known yet",
                retry_after_ms=1_000,
                step="rules",
            )
        call = await read_call(request, rules, clock)
        IN_FLIGHT.labels(call.service).inc()
        try:
            response = await dispatch(dispatcher, call)
        except BaseException as error:
            IN_FLIGHT.labels(call.service).dec()
            if isinstance(error, RequestRefused):
                error.service = call.service
            raise
        response.body = track_in_flight(response.body, call.service)
        return response

    return handle


async def track_in_flight(
    body: AsyncIterator[bytes], service: str
) -> AsyncIterator[bytes]:
    """Yield the body's chunks and count the request as ended at the end."""
    try:
        async for chunk in body:
            yield chunk
    finally:
        IN_FLIGHT.labels(service).dec()
        await body.aclose()


def record_refusal(refusal: RequestRefused) -> None:
    """Count and log a refusal."""
    service = refusal.service or NO_SERVICE
    REFUSALS.labels(service, str(refusal.reason)).inc()
    log_event(
        logger,
        "refused",
        service=service,
        reason=refusal.reason,
        outcome=refusal.outcome,
        status=refusal.status,
        step=refusal.step,
        peer=refusal.peer,
    )
