"""A plain service that accepts orders by POST and answers stock lookups by GET."""

import asyncio
import logging
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Gauge, generate_latest
from pydantic import Field

from pulley_base import split_address, to_seconds
from pulley_base.settings import settings_command
from pulley_http import Request, Response, read_all, start_server

from .executions import Executions, count_execution, execution_key
from .orders import OrderBook, is_stale, json_response
from .processes import StandinSettings, run_process

PLAIN_TEXT = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]

logger = logging.getLogger(__name__)


class ServiceSettings(StandinSettings):
    """Settings of a plain service stand-in."""

    delay_ms: int = Field(20, ge=0, description="milliseconds that each request takes")
    fencing: bool = Field(
        False, description="refuse requests with a stale fencing number"
    )


@dataclass(slots=True, eq=False)
class PlainService:
    """The state of a service, which does not answer unless ``responsive`` is set."""

    delay_ms: int
    orders: OrderBook
    executions: Executions = field(default_factory=Executions)
    n_running: int = 0
    responsive: asyncio.Event = field(default_factory=asyncio.Event)


def build_service(settings: ServiceSettings) -> PlainService:
    """Build a service that is ready to answer."""
    service = PlainService(settings.delay_ms, OrderBook(settings.fencing))
    service.responsive.set()
    return service


async def start_service(settings: ServiceSettings) -> str:
    """Start a service and return its address, IP:port."""
    service = build_service(settings)
    host, port = split_address(settings.listen)
    server = await start_server(
        lambda request: handle_request(service, request), host, port
    )
    return server.address


async def handle_request(service: PlainService, request: Request) -> Response:
    """Answer one request.

    While the service is silent, only ``/standin/silent`` is answered; other
    requests wait until it responds again.
    """
    if request.path == "/standin/silent":
        switch = (
            service.responsive.clear
            if request.method == "POST"
            else service.responsive.set
        )
        switch()
        return json_response(200, {"silent": not service.responsive.is_set()})
    await service.responsive.wait()
    if request.path == "/executions":
        return json_response(200, service.executions.counts)
    if request.path == "/health":
        return Response(200, PLAIN_TEXT, b"ok\n")
    if request.path == "/metrics":
        return Response(200, PLAIN_TEXT, render_load(service))
    if request.method in ("POST", "PUT", "PATCH"):
        return await execute(service, request)
    return await look_up(service, request)


def render_load(service: PlainService) -> bytes:
    """Return the number of running requests in Prometheus text format."""
    registry = CollectorRegistry()
    gauge = Gauge("http_requests_running", "Requests in hand", registry=registry)
    gauge.set(service.n_running)
    return generate_latest(registry)


async def execute(service: PlainService, request: Request) -> Response:
    """Execute a request with side effects; it is counted before the delay."""
    body = await read_all(request.body)
    if is_stale(service.orders, request.headers):
        return json_response(409, {"error": "stale fencing number"})
    n_executions = count_execution(service.executions, request.headers, body)
    key = execution_key(request.headers, body)
    await simulate_work(service)
    document = {"done": request.path, "key": key, "execution": n_executions}
    return json_response(201, document)


async def look_up(service: PlainService, request: Request) -> Response:
    """Answer a lookup, which has no side effects."""
    await simulate_work(service)
    return json_response(200, {"path": request.path, "in_stock": len(request.path)})


async def simulate_work(service: PlainService):
    """Wait for ``delay_ms`` and count the request as running meanwhile."""
    service.n_running += 1
    try:
        await asyncio.sleep(to_seconds(service.delay_ms))
    finally:
        service.n_running -= 1


def run_service(settings: ServiceSettings) -> int:
    """Run a service until SIGTERM or SIGINT and return the exit code."""
    return run_process(settings, start_service)


command = settings_command(
    ServiceSettings, run_service, "Run a plain service stand-in."
)
