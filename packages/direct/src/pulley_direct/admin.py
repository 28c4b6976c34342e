"""Pages for operators: metrics, and the status of the router and of the fleet.

The status of the fleet is what this router knows of it, with the age of its knowledge.
"""

import json

from pulley_http import Request, Response
from pulley_policy.crashes import list_quarantined

from .endpoints.cold_starts import cold_rate_per_s
from .endpoints.departures import is_leaving
from .endpoints.limits import current_limit
from .explanations import explain_where
from .requests.trust import has_fresh_tokens, is_ready
from .state.counters import render_metrics
from .state.fleet_views import configuration_age_ms
from .state.loads import closed_left_ms, find_sighting, is_backing_off, is_closed
from .state.routers import Router

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
WHERE_PATH = "/where"
STORE_FOLLOWED = "the store"
TEXT_TYPE = [(b"content-type", b"text/plain; version=0.0.4")]
JSON_TYPE = [(b"content-type", b"application/json")]


async def answer_operator(router: Router, request: Request) -> Response:
    """Answer an operator's request for the metrics or the status page.

    The status is that of the router, and of the fleet as it knows it. The answer to
    any other path is 404.
    """
    if request.path == METRICS_PATH:
        text = render_metrics(router.counters, read_gauges(router))
        return Response(200, list(TEXT_TYPE), text)
    if request.path == WHERE_PATH:
        query = request.target.partition("?")[2]
        text = json.dumps(explain_where(router, query), indent=1).encode()
        return Response(200, list(JSON_TYPE), text)
    if request.path == STATUS_PATH:
        status = json.dumps(describe_router(router), indent=1).encode()
        return Response(200, list(JSON_TYPE), status)
    return Response(404)


def read_gauges(router: Router) -> dict[str, float]:
    """Return the current values of all gauges by metric name."""
    fleet_view = router.fleet_view
    version = getattr(fleet_view.configuration, "version", 0)
    return {
        "plantainpulley_direct_in_flight": router.n_in_flight,
        "plantainpulley_direct_ready": int(is_ready(router)),
        "plantainpulley_direct_endpoints": len(fleet_view.endpoints),
        "plantainpulley_direct_routers": len(fleet_view.routers),
        **count_withheld(router),
        "plantainpulley_direct_held_bytes": router.account.n_bytes,
        "plantainpulley_direct_configuration_version": version,
        # An age of None, before the first answer of the store, is reported as 0.
        "plantainpulley_direct_configuration_age_ms": configuration_age_ms(fleet_view)
        or 0,
        "plantainpulley_direct_watches_store": int(fleet_view.watcher is None),
        "plantainpulley_direct_followers": router.n_relayed,
        "plantainpulley_direct_open_channels": router.pool.n_open.total(),
        "plantainpulley_direct_opened_channels": router.pool.n_opened,
        "plantainpulley_direct_crash_reports": len(
            fleet_view.crash_log.evidence.reports
        ),
        "plantainpulley_direct_quarantined_keys": len(quarantined_keys(router)),
    }


def count_withheld(router: Router) -> dict[str, int]:
    """Return how many listed endpoints get no work or less, by metric name."""
    endpoints = router.fleet_view.endpoints
    return {
        "plantainpulley_direct_evacuated_data_centres": len(
            router.fleet_view.evacuated
        ),
        "plantainpulley_direct_cold_endpoints": sum(
            cold_rate_per_s(router.fleet_view, one) is not None
            for one in endpoints.values()
        ),
        "plantainpulley_direct_leaving_endpoints": sum(
            is_leaving(router.fleet_view, one) for one in endpoints.values()
        ),
        "plantainpulley_direct_closed_endpoints": sum(
            is_closed(router.loads, name) for name in endpoints
        ),
        "plantainpulley_direct_limited_endpoints": sum(
            current_limit(router, one) is not None for one in endpoints.values()
        ),
    }


def quarantined_keys(router: Router) -> list[str]:
    """Return the keys whose requests are refused because they crash endpoints."""
    evidence = router.fleet_view.crash_log.evidence
    return list_quarantined(evidence, router.clock.now_ms())


def describe_router(router: Router) -> dict:
    """Return the content of the status page; ages are in ms."""
    fleet_view = router.fleet_view
    now_ms = router.clock.now_ms()
    return {
        "instance": router.settings.instance,
        "ready": is_ready(router),
        "in_flight": router.n_in_flight,
        "unapplied_settings": router.unapplied_settings,
        "held_bytes": router.account.n_bytes,
        "held_bytes_most": router.account.capacity_bytes,
        "configuration": {
            "version": getattr(fleet_view.configuration, "version", None),
            "age_ms": configuration_age_ms(fleet_view),
            "trusted": has_fresh_tokens(router),
            "followed": fleet_view.watcher or STORE_FOLLOWED,
            "followers": router.n_relayed,
            "store_failing_ms": elapsed_ms(now_ms, fleet_view.failing_since_ms),
        },
        "routers": sorted(fleet_view.routers),
        "evacuated": sorted(fleet_view.evacuated),
        "retries_left": {
            service: round(budget.left, 1) for service, budget in router.budgets.items()
        },
        "quarantined": quarantined_keys(router),
        "endpoints": [
            describe_endpoint(router, name, now_ms) for name in fleet_view.endpoints
        ],
    }


def describe_endpoint(router: Router, name: str, now_ms: int) -> dict:
    """Return the status page's row for one endpoint."""
    endpoint = router.fleet_view.endpoints[name]
    state = router.loads.states.get(name)
    limit = current_limit(router, endpoint)
    return {
        "name": name,
        "service": endpoint.service,
        "address": endpoint.address,
        "leaving": is_leaving(router.fleet_view, endpoint),
        "evacuated": endpoint.data_centre in router.fleet_view.evacuated,
        "cold_per_s": cold_rate_per_s(router.fleet_view, endpoint),
        "lapsed": name in router.fleet_view.lapsed,
        "held_off": is_backing_off(router.loads, name),
        "closed_ms": closed_left_ms(router.loads, name),
        "limit_per_s": None if limit is None else limit.rate_per_s,
        "load": round(find_sighting(router.loads, name).n_requests, 1),
        "duration_percent": None if state is None else state.duration_percent,
        "in_flight": 0 if state is None else state.in_flight,
        "reported_ms_ago": None if state is None else now_ms - state.reported_ms,
    }


def elapsed_ms(now_ms: int, since_ms: int | None) -> int | None:
    """Return the time since a clock reading in ms, None if there is no reading."""
    return None if since_ms is None else now_ms - since_ms
