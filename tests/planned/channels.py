"""Callers that keep one connection to a router open for as long as it stays open."""

import asyncio
from dataclasses import dataclass, field

import h11
from scenes import CHAT, HOST, ONCE

from pulley_base import Clock, split_address, to_seconds

CONNECT_LIMIT_MS = 500
READ_BYTES = 65_536


@dataclass(slots=True)
class Sent:
    """One request on a kept connection, and what came back.

    ``status`` is 0 without an answer, ``whole`` tells whether it came to its end;
    ``closed`` tells that the connection ended before. ``n_before`` counts the requests
    that the connection had carried. Times are clock readings in ms.
    """

    request_id: str
    path: str
    sent_ms: int
    n_before: int = 0
    ended_ms: int = 0
    status: int = 0
    whole: bool = False
    closed: bool = False
    body: bytes = b""


@dataclass(slots=True)
class KeptChannel:
    """A connection to a router, on which one request follows the other.

    ``n_sent`` counts those of the present connection.
    """

    address: str
    clock: Clock
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    parser: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    n_sent: int = 0


async def open_channel(channel: KeptChannel) -> bool:
    """Open the connection unless it is open; return False if that fails."""
    if channel.writer is not None and not channel.reader.at_eof():
        return True
    close_channel(channel)
    try:
        async with asyncio.timeout(to_seconds(CONNECT_LIMIT_MS)):
            opened = await asyncio.open_connection(*split_address(channel.address))
    except (OSError, TimeoutError):
        return False
    channel.reader, channel.writer = opened
    channel.parser = h11.Connection(h11.CLIENT)
    channel.n_sent = 0
    return True


def close_channel(channel: KeptChannel) -> None:
    """Close the connection, if it is open."""
    if channel.writer is not None:
        channel.writer.close()
    channel.reader = channel.writer = None


def encode_request(
    parser: h11.Connection, request_id: str, path: str, token: str, timeout_ms: int
) -> bytes:
    """Return the bytes of one request, with a body that is not empty."""
    body = b"{}"
    headers = [
        (b"host", HOST.encode()),
        (b"attempt-id", request_id.encode()),
        (b"deadline-ms", b"%d" % timeout_ms),
        (b"authorization", b"Bearer " + token.encode()),
        (b"content-length", b"%d" % len(body)),
    ]
    if path in (CHAT, ONCE):
        headers.append((b"prompt-prefix", b"aa:100,bb:50"))
    head = h11.Request(method="POST", target=path + "x", headers=headers)
    pieces = [parser.send(head), parser.send(h11.Data(body))]
    return b"".join([*pieces, parser.send(h11.EndOfMessage())])


async def send_on_channel(
    channel: KeptChannel, request_id: str, path: str, token: str, timeout_ms: int
) -> Sent:
    """Send one request on an open connection and read its answer."""
    data = encode_request(channel.parser, request_id, path, token, timeout_ms)
    sent = Sent(request_id, path, channel.clock.now_ms(), channel.n_sent)
    channel.n_sent += 1
    try:
        channel.writer.write(data)
        async with asyncio.timeout(to_seconds(timeout_ms)):
            await read_answer(channel, sent)
    except TimeoutError:
        pass
    except (OSError, h11.RemoteProtocolError):
        sent.closed = True
    sent.ended_ms = channel.clock.now_ms()
    states = channel.parser.our_state, channel.parser.their_state
    if states == (h11.DONE, h11.DONE):
        channel.parser.start_next_cycle()
    else:
        close_channel(channel)
    return sent


async def read_answer(channel: KeptChannel, sent: Sent) -> None:
    """Read an answer up to its end, or to that of the connection."""
    while True:
        event = channel.parser.next_event()
        if event is h11.NEED_DATA:
            channel.parser.receive_data(await channel.reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            sent.status = event.status_code
        elif isinstance(event, h11.Data):
            sent.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            sent.whole = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            sent.closed = True
            return
