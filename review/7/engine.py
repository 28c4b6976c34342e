"""A stand-in engine: ``engine.py NAME`` prints its address, and serves until killed.

It answers each prompt with a stream of events in chunks, and prints the id of each
request that it runs. A body that holds the word ``deadly`` ends its process just after
the first event, as the program error of an engine would.
"""

import asyncio
import os
import sys

N_EVENTS = 20
EVENT_S = 0.03
DEADLY = b"deadly"
# Long enough for the first event to leave the machine.
CRASH_AFTER_S = 0.02


def read_headers(head: bytes) -> dict[str, str]:
    """Return the headers of a request's head by lower-case name."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def answer_head(name: str, headers: dict[str, str], status: str, *lines: str) -> bytes:
    """Return the head of an answer."""
    all_lines = [
        f"HTTP/1.1 {status}",
        f"Attempt-Id: {headers.get('attempt-id', '')}",
        f"Server-Stamp: stamp-of-{name}",
        "Instance-Load: 1,0,32",
        *lines,
    ]
    return "\r\n".join([*all_lines, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def stream(
    name: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
) -> None:
    """Run a prompt and answer it with a stream."""
    print(f"{headers.get('attempt-id', '')}", flush=True)
    lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(answer_head(name, headers, "200 OK", *lines))
    for number in range(1, N_EVENTS + 1):
        writer.write(chunk(b"id: %d\ndata: token %d\n\n" % (number, number)))
        await writer.drain()
        if DEADLY in body:
            await asyncio.sleep(CRASH_AFTER_S)
            os._exit(1)
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def serve(
    name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the requests of one channel, one after the other."""
    try:
        while True:
            headers = read_headers(await reader.readuntil(b"\r\n\r\n"))
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            if headers.get("expect-instance", name) == name:
                await stream(name, headers, body, writer)
                continue
            lines = ("Not-Executed: 1", "Content-Length: 0")
            writer.write(answer_head(name, headers, "421 Misdirected Request", *lines))
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main(name: str) -> None:
    """Serve until the process ends."""
    server = await asyncio.start_server(
        lambda reader, writer: serve(name, reader, writer), "127.0.0.1", 0
    )
    print("%s:%d" % server.sockets[0].getsockname()[:2], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
