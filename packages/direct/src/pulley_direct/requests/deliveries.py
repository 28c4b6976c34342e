"""Whole answers that take much memory, held until their callers have taken them."""

from collections.abc import Callable

from pulley_http import Response, find_header

# Shorter answers fit into the buffers that every connection has.
SMALL_BYTES = 64 * 1024
PIECE_BYTES = 64 * 1024


class HeldBody:
    """The body of an answer in pieces; ``release`` is called once, at its end."""

    def __init__(self, body: bytes, release: Callable[[], None]):
        self.body = body
        self.release = release
        self.start = 0

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        piece = self.body[self.start : self.start + PIECE_BYTES]
        if not piece:
            raise StopAsyncIteration
        self.start += PIECE_BYTES
        return piece

    async def aclose(self) -> None:
        """Drop the body."""
        self.body = b""
        release, self.release = self.release, do_nothing
        release()


def do_nothing() -> None:
    """Release nothing."""


def hold_until_taken(response: Response, release: Callable[[], None]) -> Response:
    """Return an answer that calls ``release`` once its caller has taken it.

    A small one, or one that is not whole, is returned as it is, and released at once.
    """
    body = response.body
    if not isinstance(body, bytes) or len(body) <= SMALL_BYTES:
        release()
        return response
    headers = list(response.headers)
    if find_header(headers, b"content-length") is None:
        headers.append((b"content-length", b"%d" % len(body)))
    return Response(response.status, headers, HeldBody(body, release))
