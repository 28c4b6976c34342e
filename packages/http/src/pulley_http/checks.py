"""Checks of requests and responses that h11 leaves to the server."""

import h11

from pulley_base import Reason

from .models import Response, find_header
from .problems import RequestRefused

# Colon, blank and line end of each header line.
HEADER_OVERHEAD_BYTES = len(": \r\n")
CHUNKED_HTTP_VERSION = b"1.1"
NOT_MODIFIED_STATUS = 304


def internal_error() -> Response:
    """Return the response to a request whose handling failed."""
    return Response(500, [(b"content-type", b"text/plain")], b"error\n")


def check_content_length(length: bytes, response: Response) -> None:
    """Raise LocalProtocolError if a response's length is not that of its body.

    A 304 states the length of a body that it does not have.
    """
    if response.status == NOT_MODIFIED_STATUS:
        return
    n_bytes = len(response.body)
    if not length.isdigit() or int(length) != n_bytes:
        raise h11.LocalProtocolError(
            f"the content length is {length!r} and the body has {n_bytes} bytes"
        )


def check_framing(head: h11.Request) -> None:
    """Raise RequestRefused if the framing of the body is ambiguous or invalid.

    A request must not have both transfer-encoding and content-length, and
    chunked encoding needs HTTP/1.1.
    """
    transfer_encoding = find_header(head.headers, b"transfer-encoding")
    if transfer_encoding is None:
        return
    if find_header(head.headers, b"content-length") is not None:
        raise RequestRefused(
            400, Reason.BAD_REQUEST, "the body has two framings", step="head"
        )
    if head.http_version != CHUNKED_HTTP_VERSION:
        raise RequestRefused(
            400, Reason.BAD_REQUEST, "chunks need HTTP/1.1", step="head"
        )


def head_size_bytes(head: h11.Request) -> int:
    """Return the size of a head in bytes, without optional white space."""
    sizes = (
        len(key) + len(value) + HEADER_OVERHEAD_BYTES for key, value in head.headers
    )
    return len(head.target) + sum(sizes)


def head_too_large() -> RequestRefused:
    """Return the refusal of a head that is over the limit.

    h11 rejects a long incomplete head only; one that arrives all at once is
    measured by the server.
    """
    return RequestRefused(
        431, Reason.HEAD_TOO_LARGE, "the head is too large", step="head"
    )


def parse_error_refusal(error: h11.RemoteProtocolError) -> RequestRefused:
    """Return the refusal for bytes that h11 rejected."""
    status = error.error_status_hint
    if status == 431:
        return head_too_large()
    return RequestRefused(status, Reason.BAD_REQUEST, str(error), step="parse")
