"""Heads of HTTP/1.1 messages on asyncio streams."""

import asyncio


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a message's head; return its first line and its headers by lower name.

    Raises IncompleteReadError if the connection ends first.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_sized_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Read a body that has a length."""
    return await reader.readexactly(int(headers.get("content-length", "0")))
