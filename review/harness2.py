"""Parts that the scripted cases of the second review share.

They start the router as the deploy file does, on loopback addresses, with the settings
of a small deployment, beside the project's stand-in store and endpoints.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pulley_platform_standins.processes import draw_peer_ip, reserve_address
from pulley_platform_standins.stores import StandInStore, put_document, start_store

from pulley_base import PulleyError
from pulley_http import Client, Response, close_client, fetch

ROOT = Path(__file__).resolve().parents[2]
LIBRARIES = ROOT / "target" / "deps"
# Exit statuses of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "review.example"
TOKEN = "n2ctnfzs989anu6wsjnb"
TENANT = "orto"
GRACE_S = 8
HEARTBEAT_S = 1.2
# The start of all engines, as Unix time in ms.
BORN_MS = time.time_ns() // 1_000_000
READY_WAIT_S = 10.0
# Misses of the readiness check after which the platform opens no channels to a router.
MAX_MISSES = 2
READY_INTERVAL_S = 1.0
SETTINGS = """
node = "{name}"
role = "router"
class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "caltagirone"
region = "sicilia"
portRange = [7340, 7355]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream",\
"tenants","platform"]
[zones]
caltagirone = "sicilia"
[listen]
front = "{front}"
readyAddr = "{ready}"
[limits]
cpuShare = 0.559
cpus = 1
memoryMb = {memory_mb}
maxFds = {descriptors}
linkMbps = 350.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostMs = 200
configMs = 2000
backMs = 250
outerMs = 5000
strictRevoke = true
revokeMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 108
recoverS = 12
passMs = 120
reuseWindowS = 10
capFactor = 2
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class CaseError(Exception):
    """The case could not run."""


@dataclass(slots=True)
class Record:
    """Lines of ``record.txt``, each with the time since the start."""

    path: Path
    started_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Add a line, and print it."""
        line = f"{time.monotonic() - self.started_s:8.3f} s  {text}"
        self.lines.append(line)
        print(line, flush=True)

    def save(self) -> None:
        """Write all lines."""
        self.path.write_text("\n".join(self.lines) + "\n")


@dataclass(slots=True)
class RouterProcess:
    """A running router, and its addresses for callers and readiness checks."""

    name: str
    front: str
    ready: str
    log: Path
    process: subprocess.Popen
    n_misses: int = 0

    @property
    def in_rotation(self) -> bool:
        """Return whether the platform sends new channels to it."""
        return self.n_misses < MAX_MISSES


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller saw: a status, or None and why there was no whole answer."""

    status: int | None
    took_ms: int
    body: bytes = b""
    error: str = ""
    headers: tuple = ()


def has_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def start_router(
    folder: Path,
    name: str,
    store: str,
    *,
    memory_mb: int = 222,
    descriptors: int = 1570,
) -> RouterProcess:
    """Start a router with the command of the deploy file."""
    front, ready = reserve_address(), reserve_address()
    path, log = folder / f"{name}.toml", folder / f"{name}.log"
    path.write_text(
        SETTINGS.format(
            name=name,
            ip=draw_peer_ip(),
            front=front,
            ready=ready,
            store=store,
            memory_mb=memory_mb,
            descriptors=descriptors,
        )
    )
    environment = {
        "PATH": os.environ.get("PATH", ""),
        "HOME": str(folder),
        "PYTHONPATH": str(LIBRARIES),
        "PLANTAINPULLEY_BOOT": str(path),
    }
    with log.open("wb") as output:
        process = subprocess.Popen(
            ["python3", "-S", "-m", "pulley_adapter"],
            cwd=ROOT,
            env=environment,
            stdout=output,
            stderr=subprocess.STDOUT,
        )
    return RouterProcess(name, front, ready, log, process)


def start_program(script: Path, *arguments: str) -> subprocess.Popen:
    """Start a stand-in as a process of its own; its output is read through a pipe."""
    return subprocess.Popen(
        [sys.executable, str(script), *arguments],
        env=dict(os.environ),
        stdout=subprocess.PIPE,
        text=True,
    )


async def start_platform(configuration: dict) -> StandInStore:
    """Start the store with a configuration. Its answers tell no era."""
    store = await start_store()
    store.era = None
    put_document(store, "op/config", configuration)
    return store


def list_engine(
    store: StandInStore, name: str, service: str, address: str, seq: int = 1
) -> None:
    """Write an engine's entry."""
    entry = {
        "service": service,
        "address": address,
        "zone": "caltagirone",
        "version": "v1",
        "slots": 32,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": seq,
        "born": BORN_MS,
    }
    put_document(store, f"servers/{name}", entry)


async def is_ready(router: RouterProcess, limit_ms: int = 900) -> bool:
    """Ask a router once whether it is ready, as the platform does each second."""
    client = Client()
    try:
        answer = await fetch(
            client, router.ready, "GET", "/readyz", timeout_ms=limit_ms
        )
    except PulleyError:
        return False
    finally:
        close_client(client)
    return answer.status == 200


async def check_rotation(router: RouterProcess, record: Record) -> None:
    """Ask each second whether a router is ready, and keep count of its misses."""
    while True:
        started_s = time.monotonic()
        was_in_rotation = router.in_rotation
        router.n_misses = 0 if await is_ready(router) else router.n_misses + 1
        if router.in_rotation is not was_in_rotation:
            record.add(f"{router.name} in rotation: {router.in_rotation}")
        passed_s = time.monotonic() - started_s
        await asyncio.sleep(max(0.0, READY_INTERVAL_S - passed_s))


async def wait_all_ready(routers: list[RouterProcess]) -> None:
    """Wait until all routers are ready; raises CaseError if they are not in time."""
    end_s = time.monotonic() + READY_WAIT_S
    while time.monotonic() < end_s:
        if all([await is_ready(router) for router in routers]):
            return
        for router in routers:
            status = router.process.poll()
            if status is not None:
                raise CaseError(f"{router.name} ended with status {status}")
        await asyncio.sleep(0.1)
    raise CaseError("the routers did not get ready")


async def call(
    front: str,
    request_id: str,
    path: str,
    *,
    method: str = "GET",
    deadline_ms: int = 1_002,
    wait_ms: int | None = None,
    headers: tuple = (),
    body: bytes = b"",
) -> Outcome:
    """Send one request on a new channel and wait ``wait_ms`` for the whole answer."""
    sent_s = time.monotonic()
    all_headers = [
        (b"host", HOST.encode()),
        (b"attempt-id", request_id.encode()),
        (b"deadline-ms", b"%d" % deadline_ms),
        (b"authorization", b"Bearer " + TOKEN.encode()),
        *headers,
    ]
    client, error, answer = Client(), "", Response(0)
    try:
        answer = await fetch(
            client,
            front,
            method,
            path,
            headers=all_headers,
            body=body,
            timeout_ms=wait_ms or deadline_ms,
        )
    except PulleyError as found:
        error = str(found)
    finally:
        close_client(client)
    took_ms = int((time.monotonic() - sent_s) * 1_000)
    if error:
        return Outcome(None, took_ms, error=error)
    return Outcome(answer.status, took_ms, answer.body, headers=tuple(answer.headers))


async def stop_router(router: RouterProcess, record: Record) -> bool:
    """Stop a router as the platform does; return whether it ended by SIGTERM."""
    if router.process.poll() is not None:
        record.add(f"{router.name} had ended with {router.process.returncode}")
        return False
    router.process.send_signal(signal.SIGTERM)
    end_s = time.monotonic() + GRACE_S
    while time.monotonic() < end_s and router.process.poll() is None:
        await asyncio.sleep(0.05)
    if router.process.poll() is not None:
        return True
    router.process.kill()
    router.process.wait()
    record.add(f"{router.name} did not end within {GRACE_S} s of SIGTERM: SIGKILL")
    return False


def end_process(process: subprocess.Popen) -> None:
    """End a process that the case started."""
    if process.poll() is None:
        process.kill()
    process.wait()


def cpu_ms(pid: int) -> int:
    """Return the processor time that a process has used, in ms."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(words[11]) + int(words[12])
    return ticks * 1_000 // os.sysconf("SC_CLK_TCK")


def memory_mb(pid: int) -> float:
    """Return the memory that a process holds, in MB; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1_024
    return 0.0


def read_events(path: Path, event: str) -> list[str]:
    """Return the lines of a router's log that tell of one kind of event."""
    return [
        line
        for line in path.read_text(errors="replace").splitlines()
        if f"event={event} " in line
    ]


def dump(document: dict) -> str:
    """Return a document as one line."""
    return json.dumps(document, sort_keys=True)


@dataclass(slots=True)
class RawEngine:
    """An engine of the case's own, which writes its answers as bytes.

    ``runs`` are the ids of the requests that it has run.
    """

    name: str
    answer: Callable[["RawEngine", dict[str, str], str, asyncio.StreamWriter], Any]
    runs: list[str] = field(default_factory=list)
    server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The address on which the engine listens, IP:port."""
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]


async def start_raw_engine(name: str, answer: Callable) -> RawEngine:
    """Start an engine whose ``answer`` writes the answer to each request."""
    engine = RawEngine(name, answer)
    engine.server = await asyncio.start_server(
        lambda reader, writer: serve_channel(engine, reader, writer), "127.0.0.1", 0
    )
    return engine


async def serve_channel(
    engine: RawEngine, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the requests of one channel until it ends or ``answer`` returns False."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            headers = parse_headers(head)
            await reader.readexactly(int(headers.get("content-length", 0)))
            if headers.get("expect-instance", engine.name) != engine.name:
                lines = ("Not-Executed: 1", "Content-Length: 0")
                writer.write(
                    answer_head(engine, headers, "421 Misdirected Request", *lines)
                )
                continue
            engine.runs.append(headers.get("attempt-id", ""))
            path = head.split(b" ", 2)[1].decode("latin-1")
            if not await engine.answer(engine, headers, path, writer):
                return
            await writer.drain()
    except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
        # The caller has left, or the case has ended.
        pass
    finally:
        writer.close()


def parse_headers(head: bytes) -> dict[str, str]:
    """Return the headers of a message's head by lower-case name."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def answer_head(
    engine: RawEngine, headers: dict[str, str], status: str, *lines: str
) -> bytes:
    """Return the head of an answer to a request."""
    all_lines = [
        f"HTTP/1.1 {status}",
        f"Attempt-Id: {headers.get('attempt-id', '')}",
        f"Server-Stamp: stamp-of-{engine.name}",
        "Instance-Load: 1,0,32",
        *lines,
    ]
    return "\r\n".join([*all_lines, "", ""]).encode()
