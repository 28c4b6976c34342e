"""Requests, responses, size and time limits, and helpers for headers."""

from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
BODILESS_STATUSES = frozenset({204, 304})


@dataclass(slots=True)
class Limits:
    """Sizes and timeouts that a server enforces on each connection.

    Callers may leave a connection idle for ``idle_timeout_ms``. The server closes it
    ``idle_grace_ms`` later, as callers count from the end of an answer, and their next
    request takes time to arrive.
    """

    head_bytes: int = 32 * 1024
    body_bytes: int = 8 * 1024 * 1024
    head_timeout_ms: int = 10_000
    body_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000
    idle_grace_ms: int = 3_000


@dataclass(slots=True)
class Request:
    """A request; ``body`` yields its bytes as they arrive."""

    method: str
    target: str
    headers: Headers
    body: AsyncIterator[bytes]
    peer: str = ""

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]


@dataclass(slots=True)
class Response:
    """A response; ``body`` is all of its bytes, or an iterator that yields them.

    If the iterator raises, the connection is closed without the last chunk, so
    that the caller can tell that the response is incomplete.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes | AsyncIterator[bytes] = b""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the header ``name`` (in lower case), or None."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def drop_hop_by_hop_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones.

    Also drops those that the ``connection`` header names, and a content length beside
    a transfer encoding, which overrides it.
    """
    named = find_header(headers, b"connection") or b""
    dropped = HOP_BY_HOP | {part.strip().lower() for part in named.split(b",")}
    if find_header(headers, b"transfer-encoding") is not None:
        dropped |= {b"content-length"}
    return [(key, value) for key, value in headers if key.lower() not in dropped]


def media_type(headers: Headers) -> bytes:
    """Return the media type of a body in lower case, empty if there is none.

    >>> media_type([(b"Content-Type", b"text/Plain; charset=utf-8")])
    b'text/plain'
    """
    content_type = find_header(headers, b"content-type") or b""
    return content_type.partition(b";")[0].strip().lower()


def shows_its_end(method: str, status: int, headers: Headers) -> bool:
    """Check whether a response says itself where it ends.

    One with neither a length nor chunks ends with its connection, as does one that
    its server broke off.
    """
    if method == "HEAD" or status in BODILESS_STATUSES:
        return True
    return any(key.lower() in FRAMING_HEADERS for key, _value in headers)


async def read_all(body: AsyncIterator[bytes] | Iterable[bytes] | bytes) -> bytes:
    """Return the whole body as bytes."""
    if isinstance(body, bytes):
        return body
    return b"".join([piece async for piece in body])
