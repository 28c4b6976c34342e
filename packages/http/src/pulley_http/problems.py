"""RFC 9457 problem documents, with whether the request was executed."""

import json
from collections.abc import Callable
from math import ceil

from pulley_base import Outcome, PulleyError

from .models import Response


class RequestRefused(PulleyError):
    """Raised for a request that the fleet rejects with a problem document.

    ``outcome`` is what is known about its execution, ``reason`` the label of the
    refusal counter, and ``retry_after_ms`` the delay after which a retry may
    succeed, or None. ``service`` is empty until code that knows the service
    sets it.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        detail: str,
        *,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: int | None = None,
        step: str = "",
        peer: str = "",
    ):
        super().__init__(detail, step=step, peer=peer)
        self.status = status
        self.reason = reason
        self.detail = detail
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms
        self.service = ""


TITLES = {
    400: "Bad request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not found",
    408: "Request timeout",
    409: "Conflict",
    413: "Content too large",
    422: "Unprocessable content",
    429: "Too many requests",
    431: "Request header fields too large",
    500: "Internal error",
    502: "Bad gateway",
    503: "Service unavailable",
    504: "Gateway timeout",
}


def problem_body(refusal: RequestRefused) -> bytes:
    """Return the problem document of a refusal, encoded as JSON."""
    document = {
        "type": f"urn:plantainpulley:{refusal.reason}",
        "title": TITLES.get(refusal.status, "Error"),
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": str(refusal.outcome),
        "reason": str(refusal.reason),
    }
    return json.dumps(document).encode()


def format_whole_seconds(duration_ms: int) -> bytes:
    """Return a Retry-After value in whole seconds, rounded up, at least 1."""
    return b"%d" % max(1, ceil(duration_ms / 1000))


def problem_response(
    refusal: RequestRefused,
    format_retry_after: Callable[[int], bytes] = format_whole_seconds,
) -> Response:
    """Return the response for a refusal.

    ``format_retry_after`` formats ``retry_after_ms`` for the Retry-After header.
    """
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"pulley-outcome", str(refusal.outcome).encode()),
        (b"pulley-reason", str(refusal.reason).encode()),
    ]
    if refusal.retry_after_ms is not None:
        headers.append((b"retry-after", format_retry_after(refusal.retry_after_ms)))
    if refusal.status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    return Response(refusal.status, headers, problem_body(refusal))
