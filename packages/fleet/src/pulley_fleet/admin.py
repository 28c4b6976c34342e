"""The admin address: /metrics, /healthz, /readyz and /status."""

import json
from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from pulley_http import Request, Response, Server, start_server

JSON_TYPE = [(b"content-type", b"application/json")]
TEXT_TYPE = [(b"content-type", b"text/plain; charset=utf-8")]


async def start_admin(
    host: str,
    port: int,
    *,
    missing: Callable[[], list[str]],
    status: Callable[[], dict],
) -> Server:
    """Serve the admin pages.

    ``missing`` returns the names of what the process still waits for; the process is
    ready when the list is empty. ``status`` returns the JSON document of ``/status``.
    """

    async def handle(request: Request) -> Response:
        if request.path == "/metrics":
            kind = [(b"content-type", CONTENT_TYPE_LATEST.encode())]
            return Response(200, kind, generate_latest())
        if request.path == "/healthz":
            return Response(200, TEXT_TYPE, b"ok\n")
        if request.path == "/readyz":
            return ready_response(missing())
        if request.path == "/status":
            return Response(200, JSON_TYPE, json.dumps(status()).encode())
        return Response(404, TEXT_TYPE, b"no such page\n")

    return await start_server(handle, host, port)


def ready_response(waiting_for: list[str]) -> Response:
    """Return 200 if nothing is missing, else 503 with the names of what is."""
    if not waiting_for:
        return Response(200, TEXT_TYPE, b"ready\n")
    return Response(503, TEXT_TYPE, f"waiting for {', '.join(waiting_for)}\n".encode())
