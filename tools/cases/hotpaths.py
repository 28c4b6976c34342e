"""Processor time of the steps that every streamed token takes, one at a time.

Each step runs in this process alone and is repeated; the least of several
rounds is given, so that other work on the machine matters little. There are no
targets: the figures say where the time of case ``overhead`` goes.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import aclosing

from progress import show_progress
from results import CaseResult

from pulley_base import Clock
from pulley_http import Client, Response, close_client, send_request, start_server
from pulley_wire import Frame, FrameStamp, PeerConnection, connect_peer, listen_peers
from pulley_wire.frames import FrameReader, encode_frame
from pulley_wire.messages import Data

N_ROUNDS = 25
N_FRAMES = 4_000
N_EVENTS = 2_000
EVENT = b"data: " + b"x" * 190 + b"\n\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


async def run(seed: int, long: bool) -> CaseResult:
    """Time each step."""
    steps = {
        "wire_encode_us": (encode_frames, N_FRAMES),
        "wire_decode_us": (decode_frames, N_FRAMES),
        "wire_pass_us": (pass_frames, N_FRAMES),
        "server_event_us": (serve_events, N_EVENTS),
        "client_event_us": (read_events, N_EVENTS),
    }
    metrics = {}
    for name, (step, n_items) in steps.items():
        show_progress(name)
        metrics[name] = await least_us(step, N_ROUNDS * (5 if long else 1)) / n_items
    return CaseResult(metrics)


async def least_us(step: Callable[[], Awaitable[float]], n_rounds: int) -> float:
    """Give the least processor time of several rounds, in microseconds."""
    return min([await step() for _round in range(n_rounds)])


def data_frame() -> Frame:
    """Make the frame of one token."""
    return Frame(data=Data(request=7, attempt=1, offset=10_000, data=EVENT))


async def encode_frames() -> float:
    """Encode frames for a connection."""
    started_ns = time.process_time_ns()
    for _number in range(N_FRAMES):
        encode_frame(data_frame())
    return (time.process_time_ns() - started_ns) / 1_000


async def decode_frames() -> float:
    """Decode frames that arrive twenty at a time."""
    batch = encode_frame(data_frame()) * 20
    reader = FrameReader()
    started_ns = time.process_time_ns()
    for _number in range(N_FRAMES // 20):
        for _frame in reader.feed(batch):
            pass
    return (time.process_time_ns() - started_ns) / 1_000


async def pass_frames() -> float:
    """Send frames over one connection, twenty in a turn, and receive them."""
    received = asyncio.Event()
    counts = [0]

    def take(connection, frame):
        counts[0] += 1
        if counts[0] == N_FRAMES:
            received.set()

    def make_connection():
        return PeerConnection(
            take, lambda connection, reason: None, stamp=FrameStamp(), clock=Clock()
        )

    server = await listen_peers("127.0.0.1", 0, make_connection)
    address = "%s:%s" % server.sockets[0].getsockname()[:2]
    connection = await connect_peer(address, make_connection)
    started_ns = time.process_time_ns()
    for _turn in range(N_FRAMES // 20):
        for _number in range(20):
            connection.send(data_frame())
        await asyncio.sleep(0)
    await received.wait()
    used_us = (time.process_time_ns() - started_ns) / 1_000
    connection.close("done")
    server.close()
    return used_us


async def serve_events() -> float:
    """Stream events from the HTTP server to a plain reader."""

    async def stream():
        for _number in range(N_EVENTS):
            yield EVENT
            await asyncio.sleep(0)

    async def handle(request):
        return Response(200, [], stream())

    server = await start_server(handle, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.address.split(":"))
    started_ns = time.process_time_ns()
    writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    await drain_reader(reader)
    used_us = (time.process_time_ns() - started_ns) / 1_000
    writer.close()
    server.listener.close()
    return used_us


async def drain_reader(reader: asyncio.StreamReader) -> None:
    """Read until the last chunk."""
    end = b""
    while end[-5:] != b"0\r\n\r\n":
        end = end[-5:] + await reader.read(1 << 16)


async def read_events() -> float:
    """Read streamed events with the HTTP client from a plain sender."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        for _number in range(N_EVENTS):
            writer.write(CHUNK)
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n")

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = "%s:%s" % server.sockets[0].getsockname()[:2]
    client = Client()
    started_ns = time.process_time_ns()
    response = await send_request(client, address, "GET", "/")
    async with aclosing(response.body) as pieces:
        async for _piece in pieces:
            pass
    used_us = (time.process_time_ns() - started_ns) / 1_000
    close_client(client)
    server.close()
    return used_us
