"""Callers' requests: which route, whose, whether now, and a line on each."""

import logging
from random import random

from pulley_base import Reason, log_event
from pulley_http import Request, RequestRefused, Response, read_all

from .beliefs import age_ms
from .counters import observe_ms
from .dispatch import dispatch
from .jobs import Job
from .models import Call, Configuration
from .rotation import may_finish
from .routers import Router
from .routes import draw_service, find_route, find_team, refresh_index
from .signals import wait_until
from .trust import is_trusted

logger = logging.getLogger(__name__)

# For callers that don't say how long they wait; their route's timeout is shorter.
DEFAULT_TIMEOUT_MS = 60_000
# A request that arrives before the router knows anything waits for this long.
LEARN_WAIT_MS = 2_000
# A request that arrives just as the router has woken from a pause waits this long
# for the store's answer.
CONFIRM_WAIT_MS = 250
# A caller that is refused after this part of its time can still try another router.
WAIT_SHARE = 0.3
# Another router can take the request at once.
RETRY_ELSEWHERE_MS = 10


async def handle_request(router: Router, request: Request) -> Response:
    """Answer one caller."""
    arrived_ms = router.clock.now_ms()
    call = router.dialect.read_call(request)
    job = None
    router.n_in_flight += 1
    try:
        body = await read_all(request.body)
        job = await admit(router, call, body, arrived_ms)
        response = await dispatch(router, job)
    except RequestRefused as refusal:
        note_refusal(router, call, job, refusal, arrived_ms)
        raise
    finally:
        router.n_in_flight -= 1
    note_answer(router, job, response, arrived_ms)
    return response


async def admit(router: Router, call: Call, body: bytes, arrived_ms: int) -> Job:
    """Find a call's route and team; raises RequestRefused where there is none."""
    timeout_ms = call.timeout_ms or DEFAULT_TIMEOUT_MS
    configuration = await known_configuration(router, timeout_ms)
    refresh_index(router.routes, configuration)
    route = find_route(router.routes, call.host, call.path)
    if route is None:
        raise RequestRefused(404, Reason.NO_ROUTE, "no route fits", step="route")
    if not route.public and configuration.needs_token:
        configuration = await trusted_configuration(router, timeout_ms)
    team = find_team(configuration, route, call)
    timeout_ms = min(timeout_ms, route.timeout_ms)
    if router.stops_at_ms is not None and not may_finish(router, route):
        raise refuse_for_now(Reason.DRAINING, "the router is about to stop")
    return Job(
        call=call,
        route=route,
        service=draw_service(route.shares, random()),
        team=team,
        body=body,
        arrived_ms=arrived_ms,
        deadline_ms=arrived_ms + timeout_ms,
        version=configuration.version,
    )


async def known_configuration(router: Router, timeout_ms: int) -> Configuration:
    """Give the configuration in force, waiting for the first one at the start."""
    beliefs = router.beliefs
    if beliefs.configuration is None:
        wait_ms = min(LEARN_WAIT_MS, int(timeout_ms * WAIT_SHARE))
        await wait_until(
            beliefs.changed, lambda: beliefs.configuration is not None, wait_ms
        )
    if beliefs.configuration is None:
        raise refuse_for_now(Reason.NOT_READY, "no configuration is known yet")
    return beliefs.configuration


async def trusted_configuration(router: Router, timeout_ms: int) -> Configuration:
    """Give a configuration whose tokens are known to be valid still."""
    beliefs = router.beliefs
    if not is_trusted(router) and beliefs.failing_since_ms is None:
        wait_ms = min(CONFIRM_WAIT_MS, int(timeout_ms * WAIT_SHARE))
        await wait_until(beliefs.confirmed, lambda: is_trusted(router), wait_ms)
    if not is_trusted(router):
        detail = f"tokens were last confirmed {age_ms(beliefs)} ms ago"
        raise refuse_for_now(Reason.CONFIGURATION_STALE, detail)
    return beliefs.configuration


def refuse_for_now(reason: Reason, detail: str) -> RequestRefused:
    """Refuse a request that was not run and may come again."""
    return RequestRefused(
        503, reason, detail, retry_after_ms=RETRY_ELSEWHERE_MS, step="admit"
    )


def note_refusal(
    router: Router,
    call: Call,
    job: Job | None,
    refusal: RequestRefused,
    arrived_ms: int,
) -> None:
    """Count and log a request that the router answers itself."""
    router.counters.refusals[refusal.reason] += 1
    router.counters.answers[refusal.status] += 1
    configuration = router.beliefs.configuration
    log_event(
        logger,
        "request_refused",
        request=call.request_id,
        status=refusal.status,
        reason=refusal.reason,
        outcome=refusal.outcome,
        detail=refusal.detail,
        route=None if job is None else job.route.name,
        sent=None if job is None else ",".join(job.sent),
        version=None if configuration is None else configuration.version,
        version_age_ms=age_ms(router.beliefs),
        took_ms=router.clock.now_ms() - arrived_ms,
    )


def note_answer(router: Router, job: Job, response: Response, arrived_ms: int) -> None:
    """Count and log a request whose answer is passed on."""
    took_ms = router.clock.now_ms() - arrived_ms
    router.counters.answers[response.status] += 1
    observe_ms(router.counters.first_byte, took_ms)
    log_event(
        logger,
        "request_answered",
        request=job.call.request_id,
        status=response.status,
        route=job.route.name,
        service=job.service,
        sent=",".join(job.sent),
        version=job.version,
        version_age_ms=age_ms(router.beliefs),
        first_byte_ms=took_ms,
    )
