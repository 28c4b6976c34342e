"""Orders to an endpoint, optionally with a check of their fencing numbers."""

import json
from dataclasses import dataclass, field

from pulley_http import Headers, Response, find_header

FENCING_HEADER = b"fencing-number"


@dataclass(slots=True)
class OrderBook:
    """The accepted orders and the highest fencing number seen."""

    checks_fencing: bool
    highest_number: int = 0
    accepted: list[dict] = field(default_factory=list)


def fencing_number(headers: Headers) -> int | None:
    """Return the fencing number of a request, or None if it has no valid one."""
    value = find_header(headers, FENCING_HEADER) or b""
    return int(value) if value.isdigit() else None


def is_stale(book: OrderBook, headers: Headers) -> bool:
    """Check whether the fencing number is missing or lower than the highest seen.

    Otherwise record the number as the highest. Always False if the book does not
    check fencing numbers.
    """
    number = fencing_number(headers)
    if not book.checks_fencing:
        return False
    if number is None or number < book.highest_number:
        return True
    book.highest_number = number
    return False


def accept_order(book: OrderBook, headers: Headers, body: bytes) -> Response:
    """Record an order, or reject it with 409 if its fencing number is stale."""
    if is_stale(book, headers):
        return json_response(409, {"error": "stale fencing number"})
    order = {"fencing": fencing_number(headers), "order": json.loads(body or b"{}")}
    book.accepted.append(order)
    return json_response(200, {"taken": len(book.accepted)})


def json_response(status: int, document) -> Response:
    """Return a response with a JSON body."""
    body = json.dumps(document, separators=(",", ":")).encode()
    return Response(status, [(b"content-type", b"application/json")], body)
