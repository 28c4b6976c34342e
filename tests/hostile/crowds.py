"""Clients that break the limits on callers, each with a bound on what it sends."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from scenes import HOST, ORDER, TOKEN

MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_HEAD_BYTES = 16 * 1024
# What one client sends at the most.
SENT_BYTES = 16 * 1024 * 1024
PIECE_BYTES = 64 * 1024
# A body that stops short lacks this part of the largest one.
SHORT_BYTES = 64 * 1024
TINY_CHUNK = b"2\r\nxx\r\n"
N_TINY_CHUNKS = 32 * 1024
N_TINY_CHUNKS_PER_PIECE = 1_024
SHORT_LINE = b"x:\r\n"
SHORT_PART = "a:1,"
# Of the limit on heads, left for what the router counts besides.
HEAD_MARGIN_BYTES = 200
# A client whose bytes are not taken for this long has sent all that it can.
BLOCKED_S = 3.0

Pieces = Callable[[], AsyncIterator[bytes]]


@dataclass(slots=True)
class Crowd:
    """The open connections of a crowd."""

    writers: list[asyncio.StreamWriter] = field(default_factory=list)


def head(*lines: str, ending: str = "\r\n\r\n") -> bytes:
    """Return the head of an order, with further header lines."""
    first = [
        f"POST {ORDER}x HTTP/1.1",
        f"Host: {HOST}",
        "Attempt-Id: hostile",
        f"Authorization: Bearer {TOKEN}",
    ]
    return ("\r\n".join([*first, *lines]) + ending).encode()


async def repeat(piece: bytes, n_bytes: int = SENT_BYTES) -> AsyncIterator[bytes]:
    """Yield a piece until so many bytes are sent."""
    for _ in range(n_bytes // len(piece)):
        yield piece


async def announce_too_big() -> AsyncIterator[bytes]:
    """A body whose length is a million times the limit, and its beginning."""
    yield head(f"Content-Length: {MAX_BODY_BYTES * 1_000_000}")
    async for piece in repeat(b"x" * PIECE_BYTES):
        yield piece


async def send_too_big() -> AsyncIterator[bytes]:
    """A chunked body of eight times the limit."""
    yield head("Transfer-Encoding: chunked")
    async for piece in repeat(make_chunk(PIECE_BYTES)):
        yield piece


async def send_big_head() -> AsyncIterator[bytes]:
    """A whole head of many times the limit, and a body."""
    lines = (f"X-Filler-{number}: " + "x" * 1_000 for number in range(256))
    yield head(*lines, f"Content-Length: {SENT_BYTES}")
    async for piece in repeat(b"x" * PIECE_BYTES):
        yield piece


async def send_endless_head() -> AsyncIterator[bytes]:
    """One header line after the other."""
    yield head(ending="\r\n")
    async for piece in repeat(b"X-Filler: " + b"x" * 1_000 + b"\r\n"):
        yield piece


async def send_empty_lines() -> AsyncIterator[bytes]:
    """Empty lines before a request that never comes."""
    async for piece in repeat(b"\r\n" * (PIECE_BYTES // 2)):
        yield piece


async def stop_short() -> AsyncIterator[bytes]:
    """A chunked body that stops just short of the largest one, and stays open."""
    yield head("Transfer-Encoding: chunked", "Deadline-Ms: 60000")
    size = MAX_BODY_BYTES - SHORT_BYTES
    async for piece in repeat(make_chunk(PIECE_BYTES), size):
        yield piece


async def stop_short_tiny() -> AsyncIterator[bytes]:
    """A body in chunks of two bytes that stops before its end, and stays open."""
    yield head("Transfer-Encoding: chunked", "Deadline-Ms: 60000")
    for _ in range(N_TINY_CHUNKS // N_TINY_CHUNKS_PER_PIECE):
        yield TINY_CHUNK * N_TINY_CHUNKS_PER_PIECE


async def stop_short_behind_lines() -> AsyncIterator[bytes]:
    """A body that stops short behind as many header lines as a head may have."""
    ending = "\r\n\r\n"
    start = head("Transfer-Encoding: chunked", "Deadline-Ms: 60000", ending="\r\n")
    n_lines = (MAX_HEAD_BYTES - len(start) - HEAD_MARGIN_BYTES) // len(SHORT_LINE)
    yield start + SHORT_LINE * n_lines + ending[2:].encode() + make_chunk(2)


async def stop_short_behind_parts() -> AsyncIterator[bytes]:
    """A body that stops short behind a prompt of as many parts as a head may have."""
    start = head("Transfer-Encoding: chunked", "Deadline-Ms: 60000")
    n_parts = (MAX_HEAD_BYTES - len(start) - HEAD_MARGIN_BYTES) // len(SHORT_PART)
    parts = f"Prompt-Prefix: {SHORT_PART * n_parts}{SHORT_PART[:-1]}"
    yield head("Transfer-Encoding: chunked", "Deadline-Ms: 60000", parts)
    yield make_chunk(2)


async def send_nothing() -> AsyncIterator[bytes]:
    """No bytes at all."""
    return
    yield b""


KINDS: dict[str, Pieces] = {
    "bodies of an announced size too big": announce_too_big,
    "chunked bodies that are too big": send_too_big,
    "heads that are too big": send_big_head,
    "heads without an end": send_endless_head,
    "empty lines without an end": send_empty_lines,
    "large chunks that stop short": stop_short,
    "very small chunks that stop short": stop_short_tiny,
    "many short lines before a body that stops short": stop_short_behind_lines,
    "many short parts before a body that stops short": stop_short_behind_parts,
    "nothing": send_nothing,
}


def make_chunk(n_bytes: int) -> bytes:
    """Return a chunk of so many bytes."""
    return b"%x\r\n%s\r\n" % (n_bytes, b"x" * n_bytes)


async def send_all(crowd: Crowd, address: str, kind: str, n_clients: int) -> None:
    """Let so many clients send at once; their connections stay open."""
    clients = (send_one(crowd, address, KINDS[kind]) for _ in range(n_clients))
    await asyncio.gather(*clients)


async def send_one(crowd: Crowd, address: str, pieces: Pieces) -> None:
    """Send what one client sends, until it is refused or no byte is taken."""
    host, port = address.split(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
        crowd.writers.append(writer)
        async for piece in pieces():
            writer.write(piece)
            async with asyncio.timeout(BLOCKED_S):
                await writer.drain()
    except (OSError, TimeoutError):
        pass


def leave(crowd: Crowd) -> None:
    """Close all connections."""
    for writer in crowd.writers:
        writer.transport.abort()
    crowd.writers.clear()
