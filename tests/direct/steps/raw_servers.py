"""Servers that send raw answers, with any fault in their bytes or their end."""

import asyncio
import socket
import struct

from pulley_platform_standins.endpoints import unlist_endpoint
from pulley_platform_standins.stores import put_document
from scenes import find_endpoints


async def serve_raw(answers):
    """Start a server that sends raw answers, one for each request on a connection.

    Each answer is a pair of its bytes and ``close``, ``reset`` or an empty
    string: how the connection ends after it.
    """

    async def serve(reader, writer):
        try:
            for data, end in answers:
                head = await reader.readuntil(b"\r\n\r\n")
                length = [
                    int(line.split(b":")[1])
                    for line in head.lower().split(b"\r\n")
                    if line.startswith(b"content-length")
                ]
                await reader.readexactly(length[0] if length else 0)
                writer.write(data)
                await writer.drain()
                if end == "reset":
                    linger = struct.pack("ii", 1, 0)
                    sock = writer.get_extra_info("socket")
                    await asyncio.sleep(0.05)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                    return
                if end == "close":
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def list_raw_server(fixture, server, name="raw"):
    """List a raw server as the only endpoint of the shop service."""
    for endpoint in find_endpoints(fixture, "shop"):
        unlist_endpoint(fixture.store, endpoint)
    port = server.sockets[0].getsockname()[1]
    row = {"service": "shop", "address": f"127.0.0.1:{port}", "zone": "here"}
    put_document(
        fixture.store, f"servers/{name}", row | {"slots": 4, "state": "ready", "seq": 1}
    )


def raw_answer(request_id, body, framing="content-length: %d\r\n"):
    """Return an answer as bytes; ``framing`` is its header for the body's end."""
    framed = framing % len(body) if "%" in framing else framing
    head = f"HTTP/1.1 200 OK\r\nattempt-id: {request_id}\r\n{framed}\r\n"
    return head.encode() + body
