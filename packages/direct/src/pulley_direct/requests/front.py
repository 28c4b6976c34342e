"""Callers' requests: admission, dispatch, and one log line for each."""

import asyncio
import logging
from functools import partial
from random import random, uniform

from pulley_base import Reason, log_event
from pulley_http import Request, RequestRefused, Response

from ..peers.versions import is_outdated
from ..state.counters import CANCELLED, observe_ms
from ..state.fleet_views import FleetView, configuration_age_ms, is_store_away
from ..state.jobs import Job
from ..state.models import Call, Configuration
from ..state.routers import Router
from ..state.routes import choose_service, find_route, find_team, refresh_index
from ..state.signals import wait_until
from ..transport.rotation import can_finish
from .deliveries import hold_until_taken
from .dispatch import dispatch
from .trust import has_fresh_tokens
from .uploads import Upload, receive_body, release_upload

logger = logging.getLogger(__name__)

# For callers that send no timeout; their route's timeout is shorter.
DEFAULT_TIMEOUT_MS = 60_000
# How long a request waits if it arrives before the first configuration.
FIRST_CONFIGURATION_WAIT_MS = 2_000
# How long a request waits for the store's answer if it arrives just as the router has
# resumed from a pause.
CONFIRM_WAIT_MS = 250
# A caller that is refused within this part of its timeout can still try another
# router.
MAX_WAIT_SHARE = 0.3
# Another router can take the request at once.
RETRY_ELSEWHERE_MS = 10
# Parts of a caller's timeout after which it can still come back and be served.
RETURN_SHARES = (0.25, 0.33)


async def handle_request(router: Router, request: Request) -> Response:
    """Answer one request of a caller.

    Raises RequestRefused for a request that gets no endpoint's answer.
    """
    arrived_ms = router.clock.now_ms()
    call = router.header_codec.read_call(request)
    job, response, upload = None, None, Upload()
    router.n_in_flight += 1
    try:
        timeout_ms = call.timeout_ms or DEFAULT_TIMEOUT_MS
        body = await receive_body(router, request, call, upload, timeout_ms)
        job = await admit(router, call, body, arrived_ms)
        job.holder = upload
        response = await dispatch(router, job)
    except RequestRefused as refusal:
        record_refusal(router, call, job, refusal, arrived_ms)
        raise
    except asyncio.CancelledError:
        record_cancellation(router, call, job, arrived_ms)
        raise
    finally:
        router.n_in_flight -= 1
        if response is None:
            release_upload(router, upload)
    record_answer(router, job, response, arrived_ms)
    return hold_until_taken(response, partial(release_upload, router, upload))


async def admit(router: Router, call: Call, body: bytes, arrived_ms: int) -> Job:
    """Find a call's route and team and return its job.

    Raises RequestRefused if no route fits, the token is not valid or can't be
    checked, or the router is about to stop.
    """
    timeout_ms = call.timeout_ms or DEFAULT_TIMEOUT_MS
    configuration = await wait_for_configuration(router, timeout_ms)
    refresh_index(router.routes, configuration)
    route = find_route(router.routes, call.host, call.path)
    if route is None:
        raise RequestRefused(404, Reason.NO_ROUTE, "no route fits", step="route")
    if not route.public and configuration.needs_token:
        configuration = await wait_for_fresh_tokens(router, timeout_ms)
    team = find_team(configuration, route, call)
    timeout_ms = min(timeout_ms, route.timeout_ms)
    job = Job(
        call=call,
        route=route,
        service=choose_service(route.shares, random()),
        team=team,
        body=body,
        arrived_ms=arrived_ms,
        deadline_ms=arrived_ms + timeout_ms,
        version=configuration.version,
    )
    if router.stops_at_ms is not None and not can_finish(router, job):
        raise temporary_refusal(Reason.DRAINING, "the router is about to stop")
    return job


async def wait_for_configuration(router: Router, timeout_ms: int) -> Configuration:
    """Return the configuration in force, waiting for the first one at the start.

    Raises RequestRefused if none arrives in time, or other routers have a newer one.
    """
    fleet_view = router.fleet_view
    if not is_started(fleet_view):
        wait_ms = min(FIRST_CONFIGURATION_WAIT_MS, int(timeout_ms * MAX_WAIT_SHARE))
        await wait_until(fleet_view.changed, lambda: is_started(fleet_view), wait_ms)
    if fleet_view.configuration is None:
        raise temporary_refusal(Reason.NOT_READY, "no configuration is known yet")
    if is_outdated(fleet_view):
        detail = f"another router has version {fleet_view.peer_version}"
        raise temporary_refusal(Reason.CONFIGURATION_STALE, detail)
    return fleet_view.configuration


def is_started(fleet_view: FleetView) -> bool:
    """Check whether a configuration is known, and how it compares to the peers'."""
    return fleet_view.configuration is not None and not fleet_view.awaits_versions


async def wait_for_fresh_tokens(router: Router, timeout_ms: int) -> Configuration:
    """Return a configuration whose tokens the store has recently confirmed.

    Raises RequestRefused if the store does not confirm them in time.
    """
    fleet_view = router.fleet_view
    if not has_fresh_tokens(router) and fleet_view.failing_since_ms is None:
        wait_ms = min(CONFIRM_WAIT_MS, int(timeout_ms * MAX_WAIT_SHARE))
        await wait_until(
            fleet_view.confirmed, lambda: has_fresh_tokens(router), wait_ms
        )
    if not has_fresh_tokens(router):
        raise stale_refusal(fleet_view, timeout_ms)
    return fleet_view.configuration


def stale_refusal(fleet_view: FleetView, timeout_ms: int) -> RequestRefused:
    """Return the refusal of a request whose token can't be checked.

    While the store is away from all routers, another one can't check it either: the
    caller comes back as late as it can still be served, each at another time.
    """
    detail = f"tokens were last confirmed {configuration_age_ms(fleet_view)} ms ago"
    if not is_store_away(fleet_view):
        return temporary_refusal(Reason.CONFIGURATION_STALE, detail)
    return temporary_refusal(
        Reason.CONFIGURATION_STALE,
        f"{detail}, by any router",
        retry_after_ms=int(timeout_ms * uniform(*RETURN_SHARES)),
    )


def temporary_refusal(
    reason: Reason, detail: str, retry_after_ms: int = RETRY_ELSEWHERE_MS
) -> RequestRefused:
    """Return the refusal of a request that was not run and may be retried."""
    return RequestRefused(
        503, reason, detail, retry_after_ms=retry_after_ms, step="admit"
    )


def record_refusal(
    router: Router,
    call: Call,
    job: Job | None,
    refusal: RequestRefused,
    arrived_ms: int,
) -> None:
    """Count and log a request that the router answers itself."""
    router.counters.refusals[refusal.reason] += 1
    router.counters.answers[refusal.status] += 1
    configuration = router.fleet_view.configuration
    log_event(
        logger,
        "request_refused",
        request=call.request_id,
        status=refusal.status,
        reason=refusal.reason,
        outcome=refusal.outcome,
        detail=refusal.detail,
        route=None if job is None else job.route.name,
        sent=None if job is None else ",".join(job.sent_to),
        version=None if configuration is None else configuration.version,
        version_age_ms=configuration_age_ms(router.fleet_view),
        took_ms=router.clock.now_ms() - arrived_ms,
    )


def record_cancellation(
    router: Router, call: Call, job: Job | None, arrived_ms: int
) -> None:
    """Count and log a request whose caller left before its answer began."""
    router.counters.unfinished[CANCELLED] += 1
    log_event(
        logger,
        "request_cancelled",
        request=call.request_id,
        route=None if job is None else job.route.name,
        sent=None if job is None else ",".join(job.sent_to),
        timeout_ms=call.timeout_ms,
        took_ms=router.clock.now_ms() - arrived_ms,
    )


def record_answer(
    router: Router, job: Job, response: Response, arrived_ms: int
) -> None:
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
        sent=",".join(job.sent_to),
        version=job.version,
        version_age_ms=configuration_age_ms(router.fleet_view),
        first_byte_ms=took_ms,
        **describe_load(job),
    )


def describe_load(job: Job) -> dict[str, object]:
    """Return the log fields that tell a choice by what was believed of the loads.

    ``load`` and ``mean`` are the router's estimates when it chose the endpoint,
    ``reported`` is the load that the endpoint reported with its answer.
    """
    placement, reported = job.placement, job.reported
    if placement is None:
        return {}
    return {
        "rank": placement.rank,
        "tokens": sum(part.tokens for part in job.call.parts) or None,
        "duration_percent": None if reported is None else reported.duration_percent,
        "load": round(placement.load, 1),
        "mean": round(placement.mean, 2),
        "reported": None if reported is None else reported.n_requests,
    }
