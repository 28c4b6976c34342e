"""A store, endpoints and a router on loopback, and a caller's view of them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path

from pulley_platform_standins.endpoints import (
    StandInEndpoint,
    list_endpoint,
    start_endpoint,
)
from pulley_platform_standins.stores import StandInStore, put_document, start_store

from pulley_adapter.headers import HEADER_CODEC, format_retry_after
from pulley_adapter.stores import connect_store
from pulley_base import PulleyError
from pulley_direct.app import RunningRouter, close_router, start_router
from pulley_direct.state.models import Bounds, RouterSettings
from pulley_direct.state.signals import wait_until
from pulley_http import (
    Client,
    close_client,
    close_server,
    find_header,
    send_request,
)

MAX_WAIT_MS = 5_000
SCHEDULER_STATISTICS = Path("/proc/self/schedstat")
NS_PER_MS = 1_000_000
TOKEN = "token-of-orto"
HOST = "pulley.example"
LOOKUP = "/lookup/"
ORDER = "/order/"
CHAT = "/chat/"
ONCE = "/once/"
OPEN = "/open/"

ROUTE = {"host": HOST, "service": "shop", "timeoutMs": 2_000, "goalMs": 100}
MODEL = ROUTE | {"service": "model", "type": "stream", "gapGoalMs": 400}
ROUTES = [
    ROUTE | {"name": "lookup", "pathPrefix": LOOKUP, "type": "idempotent"},
    ROUTE | {"name": "order", "pathPrefix": ORDER, "type": "unsafe"},
    ROUTE | {"name": "open", "pathPrefix": OPEN, "type": "unsafe", "public": True},
    MODEL | {"name": "chat", "pathPrefix": CHAT, "resumable": True},
    MODEL | {"name": "once", "pathPrefix": ONCE, "resumable": False},
]
MAX_ATTEMPTS = {"lookup": 2, "order": 2, "open": 1, "chat": 2, "once": 1}


@dataclass(slots=True)
class Answer:
    """The answer that a caller got; ``whole`` is False if the body was cut.

    ``took_ms`` leaves out the time for which this process waited for a processor.
    """

    status: int = 0
    headers: list = field(default_factory=list)
    body: bytes = b""
    whole: bool = False
    took_ms: float = 0.0

    def header(self, name: str) -> str:
        """Return a header as text, empty if it is absent."""
        return (find_header(self.headers, name.encode()) or b"").decode()


@dataclass(slots=True)
class RouterFixture:
    """The router, store, endpoints and callers' client of one scenario."""

    store: StandInStore
    running: RunningRouter
    client: Client
    endpoints: list[StandInEndpoint] = field(default_factory=list)
    version: int = 1

    @property
    def router(self):
        """Return the router's state."""
        return self.running.router


def configuration(version: int, tokens: list[str]) -> dict:
    """Return a configuration in the platform's format."""
    routes = [row | {"maxAttempts": MAX_ATTEMPTS[row["name"]]} for row in ROUTES]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "shop", "healthPath": "/healthz", "maxConns": 50},
            {"name": "model", "healthPath": "/healthz", "maxConns": 50},
        ],
        "limits": {"maxHeaderBytes": 16_384, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "orto", "apiKeys": tokens, "priority": 1}],
    }


def publish(
    fixture: RouterFixture, version: int, tokens: list[str] | None = None
) -> None:
    """Write a configuration to the store."""
    tokens = [TOKEN] if tokens is None else tokens
    put_document(fixture.store, "op/config", configuration(version, tokens))
    fixture.version = version


@asynccontextmanager
async def start_fixture(
    n_endpoints: int = 1, known: bool = True, **bounds
) -> AsyncIterator[RouterFixture]:
    """Start a store, a router and endpoints of both services.

    With ``known`` the first configuration is published, and the router has read
    it. It counts as having run for long enough to have its share of the retry budget.
    """
    store = await start_store()
    settings = RouterSettings(
        instance="router-1",
        ip="127.0.0.1",
        data_centre="here",
        callers_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        peer_ports=(0, 0),
        store_address=store.address,
        bounds=replace(Bounds(configuration_ms=400), **bounds),
    )
    store_client = Client()
    calls = connect_store(store.address, store_client)
    running = await start_router(settings, HEADER_CODEC, calls, format_retry_after)
    age_router(running)
    fixture = RouterFixture(store, running, Client())
    try:
        for service in ("shop", "model"):
            for number in range(n_endpoints):
                await add_endpoint(fixture, f"{service}-{number}", service)
        if known:
            publish(fixture, 1)
            await wait_until_synced(fixture)
        yield fixture
    finally:
        close_router(running)
        close_client(fixture.client)
        close_client(store_client)
        for server in [store.server, *(one.server for one in fixture.endpoints)]:
            close_server(server)


def age_router(running: RunningRouter) -> None:
    """Make a router count as started a window of the retry budget ago.

    It then has its share of the budget as soon as it knows the fleet.
    """
    router = running.router
    router.started_ms -= router.settings.bounds.retry_window_ms


async def add_endpoint(fixture: RouterFixture, name: str, service: str, **options):
    """Start an endpoint and list it in the store."""
    endpoint = await start_endpoint(name, service, **options)
    fixture.endpoints.append(endpoint)
    list_endpoint(fixture.store, endpoint)
    return endpoint


async def wait_until_synced(fixture: RouterFixture) -> None:
    """Wait until the router knows all endpoints and the configuration in the store."""
    names = {key.rpartition("/")[2] for key in fixture.store.items if "servers/" in key}
    fleet_view = fixture.router.fleet_view

    def is_synced() -> bool:
        found = fleet_view.configuration
        if found is None or found.version < fixture.version:
            return False
        return names <= fleet_view.endpoints.keys()

    assert await wait_until(fleet_view.changed, is_synced, MAX_WAIT_MS)


async def call(fixture: RouterFixture, path: str, **options) -> Answer:
    """Send one request to the fixture's router and read its answer to the end."""
    return await send_call(
        fixture.client, fixture.running.caller_server.address, path, **options
    )


async def send_call(
    client: Client,
    address: str,
    path: str,
    *,
    request_id: str = "request-1",
    timeout_ms: int = 1_000,
    token: str | None = TOKEN,
    parts: str = "",
    headers: list | None = None,
    body: bytes = b"{}",
    method: str = "POST",
) -> Answer:
    """Send one request to a router and read its answer to the end."""
    sent = [(b"host", HOST.encode()), (b"attempt-id", request_id.encode())]
    sent.append((b"deadline-ms", b"%d" % timeout_ms))
    if token is not None:
        sent.append((b"authorization", b"Bearer " + token.encode()))
    if path.startswith((CHAT, ONCE)):
        sent.append((b"prompt-prefix", (parts or "aa:100,bb:50").encode()))
    sent += headers or []
    loop = asyncio.get_running_loop()
    started, waited_ms = loop.time(), read_processor_wait_ms()
    answer = Answer()
    try:
        response = await send_request(
            client,
            address,
            method,
            path + "x",
            headers=sent,
            body=body,
            timeout_ms=MAX_WAIT_MS,
        )
        answer.status, answer.headers = response.status, response.headers
        async for piece in response.body:
            answer.body += piece
        answer.whole = True
    except PulleyError:
        pass
    took_ms = (loop.time() - started) * 1_000
    answer.took_ms = took_ms - (read_processor_wait_ms() - waited_ms)
    return answer


def read_processor_wait_ms() -> float:
    """Return for how long this process, ready to run, has waited for a processor.

    Time that it spent running or asleep does not count. 0 if the kernel does not tell.
    """
    if not SCHEDULER_STATISTICS.exists():
        return 0.0
    return int(SCHEDULER_STATISTICS.read_text().split()[1]) / NS_PER_MS


def check_refused_at_once(answer: Answer) -> None:
    """Check that a caller was told at once that its request has not run."""
    found = answer.status, answer.header("pulley-outcome"), answer.took_ms < 200
    assert found == (503, "not-run", True), answer


def find_endpoints(fixture: RouterFixture, service: str) -> list[StandInEndpoint]:
    """Return the fixture's endpoints of a service."""
    return [one for one in fixture.endpoints if one.service == service]


def total_runs(fixture: RouterFixture) -> int:
    """Return how often the fixture's endpoints ran a request."""
    return sum(one.runs.total() for one in fixture.endpoints)
