"""Sound engines, and what they ran."""

import asyncio
import time
from dataclasses import dataclass, field

from pulley_platform_standins.stores import StandInStore

from .deployments import list_engine
from .heads import read_head, read_sized_body

# Long enough for any head or piece of a body that these cases send.
READ_LIMIT_BYTES = 1 << 20


@dataclass(slots=True)
class Engine:
    """One engine: its name and service, and the ids that it began to run, in order."""

    name: str
    service: str
    work_s: float = 0.02
    runs: list[str] = field(default_factory=list)
    server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address that it listens on, IP:port."""
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"


async def start_engine(
    store: StandInStore, name: str, service: str, work_s: float = 0.02
) -> Engine:
    """Start an engine and write its entry."""
    engine = Engine(name, service, work_s)

    async def serve(reader, writer):
        await serve_channel(engine, reader, writer)

    engine.server = await asyncio.start_server(
        serve, "127.0.0.1", 0, limit=READ_LIMIT_BYTES
    )
    list_engine(store, name, service, engine.address, time.time_ns() // 10**6)
    return engine


async def serve_channel(engine: Engine, reader, writer) -> None:
    """Run the requests of one channel, one after the other."""
    try:
        while True:
            _, headers = await read_head(reader)
            await read_sized_body(reader, headers)
            writer.write(await run_request(engine, headers))
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def run_request(engine: Engine, headers: dict[str, str]) -> bytes:
    """Run a request unless it is meant for another engine, and return the answer."""
    request_id = headers["attempt-id"]
    if headers.get("expect-instance", engine.name) != engine.name:
        head = f"HTTP/1.1 421 Misdirected\r\nAttempt-Id: {request_id}\r\n"
        return f"{head}Content-Length: 0\r\n\r\n".encode()
    engine.runs.append(request_id)
    await asyncio.sleep(engine.work_s)
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n"
    head += f"Server-Stamp: stamp-{request_id}\r\nContent-Length: 5\r\n\r\n"
    return head.encode() + b"done\n"
