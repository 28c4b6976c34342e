"""HTTP/1.1 servers and clients over h11 and asyncio."""

from .clients import Client, close_client, close_idle, fetch, send_request
from .models import (
    Headers,
    Limits,
    Request,
    Response,
    drop_hop_by_hop_headers,
    find_header,
    media_type,
    read_all,
    shows_its_end,
)
from .problems import RequestRefused, problem_body, problem_response
from .servers import Handler, Server, close_server, drain_server, start_server

__all__ = [
    "Client",
    "Handler",
    "Headers",
    "Limits",
    "Request",
    "RequestRefused",
    "Response",
    "Server",
    "close_client",
    "close_idle",
    "close_server",
    "drain_server",
    "drop_hop_by_hop_headers",
    "fetch",
    "find_header",
    "media_type",
    "problem_body",
    "problem_response",
    "read_all",
    "send_request",
    "shows_its_end",
    "start_server",
]
