"""Processor time of each step that a streamed token passes, measured separately.

Each step runs in this process only and is repeated; the result is the least of several
rounds, which limits the influence of other load on the machine. There are no targets:
the figures show how the time of case ``overhead`` is divided.
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
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


async def run(seed: int, long: bool) -> CaseResult:
    """Measure the processor time of each step, in microseconds for each item."""
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
        metrics[name] = (
            await find_least_us(step, N_ROUNDS * (5 if long else 1)) / n_items
        )
    return CaseResult(metrics)


async def find_least_us(step: Callable[[], Awaitable[float]], n_rounds: int) -> float:
    """Return the least processor time of several rounds, in microseconds."""
    return min([await step() for _round in range(n_rounds)])


def make_data_frame() -> Frame:
    """Build the frame of one token."""
    return Frame(data=Data(request=7, attempt=1, offset=10_000, data=EVENT))


async def encode_frames() -> float:
    """Return the processor time, in microseconds, to encode frames."""
    start_ns = time.process_time_ns()
    for _number in range(N_FRAMES):
        encode_frame(make_data_frame())
    return (time.process_time_ns() - start_ns) / 1_000


async def decode_frames() -> float:
    """Return the processor time, in microseconds, to decode frames in batches of 20."""
    batch = encode_frame(make_data_frame()) * 20
    reader = FrameReader()
    start_ns = time.process_time_ns()
    for _number in range(N_FRAMES // 20):
        for _frame in reader.feed(batch):
            pass
    return (time.process_time_ns() - start_ns) / 1_000


async def pass_frames() -> float:
    """Return the processor time, in microseconds, to send and receive frames.

    Sends 20 frames in each turn of the event loop, over one connection.
    """
    received = asyncio.Event()
    counts = [0]

    def count_frame(connection, frame):
        counts[0] += 1
        if counts[0] == N_FRAMES:
            received.set()

    def make_connection():
        return PeerConnection(
            count_frame,
            lambda connection, reason: None,
            stamp=FrameStamp(),
            clock=Clock(),
        )

    server = await listen_peers("127.0.0.1", 0, make_connection)
    address = "%s:%s" % server.sockets[0].getsockname()[:2]
    connection = await connect_peer(address, make_connection)
    start_ns = time.process_time_ns()
    for _turn in range(N_FRAMES // 20):
        for _number in range(20):
            connection.send(make_data_frame())
        await asyncio.sleep(0)
    await received.wait()
    cpu_us = (time.process_time_ns() - start_ns) / 1_000
    connection.close("done")
    server.close()
    return cpu_us


async def serve_events() -> float:
    """Return the processor time, in microseconds, to stream events to a plain socket.

    The events come from the HTTP server.
    """

    async def stream():
        for _number in range(N_EVENTS):
            yield EVENT
            await asyncio.sleep(0)

    async def handle(request):
        return Response(200, [], stream())

    server = await start_server(handle, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.address.split(":"))
    start_ns = time.process_time_ns()
    writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    await read_to_last_chunk(reader)
    cpu_us = (time.process_time_ns() - start_ns) / 1_000
    writer.close()
    server.listener.close()
    return cpu_us


async def read_to_last_chunk(reader: asyncio.StreamReader) -> None:
    """Read a chunked response up to its last chunk."""
    tail = b""
    while tail[-5:] != b"0\r\n\r\n":
        tail = tail[-5:] + await reader.read(1 << 16)


async def read_events() -> float:
    """Return the processor time, in microseconds, to read events from a plain socket.

    The events are read by the HTTP client.
    """

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RESPONSE_HEAD)
        for _number in range(N_EVENTS):
            writer.write(CHUNK)
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n")

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    address = "%s:%s" % server.sockets[0].getsockname()[:2]
    client = Client()
    start_ns = time.process_time_ns()
    response = await send_request(client, address, "GET", "/")
    async with aclosing(response.body) as pieces:
        async for _piece in pieces:
            pass
    cpu_us = (time.process_time_ns() - start_ns) / 1_000
    close_client(client)
    server.close()
    return cpu_us
