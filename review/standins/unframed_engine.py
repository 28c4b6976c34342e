"""An engine as a process of its own, whose answers have no length.

``python3 -m review_standins.unframed_engine NAME PORT LOG`` serves on a loopback port
until it is killed. An answer ends with its channel, as the pages allow. Half of its
body comes at once, the other half ``WORK_S`` later. The ids of the requests that it
begins to run are appended to LOG.
"""

import asyncio
import sys
from pathlib import Path

from .heads import read_head, read_sized_body

WORK_S = 1.5
N_LINES = 20


def whole_body(request_id: str) -> bytes:
    """Return the whole body of the answer to a request."""
    return b"".join(b"%s line %d\n" % (request_id.encode(), n) for n in range(N_LINES))


async def serve_request(name: str, log: Path, reader, writer) -> None:
    """Answer the one request of a channel."""
    try:
        _, headers = await read_head(reader)
        await read_sized_body(reader, headers)
        request_id = headers["attempt-id"]
        head = f"Attempt-Id: {request_id}\r\n"
        if headers.get("expect-instance", name) != name:
            head = f"HTTP/1.1 421 Misdirected\r\n{head}Content-Length: 0\r\n\r\n"
            writer.write(head.encode())
            return
        with log.open("a") as file:
            print(request_id, file=file)
        body = whole_body(request_id)
        half = len(body) // 2
        head = f"HTTP/1.1 200 OK\r\n{head}Server-Stamp: stamp-{request_id}\r\n"
        writer.write(f"{head}Connection: close\r\n\r\n".encode() + body[:half])
        await writer.drain()
        await asyncio.sleep(WORK_S)
        writer.write(body[half:])
        await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def serve(name: str, port: int, log: Path) -> None:
    """Serve until the process is killed."""

    async def answer(reader, writer):
        await serve_request(name, log, reader, writer)

    server = await asyncio.start_server(answer, "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], int(sys.argv[2]), Path(sys.argv[3])))
