"""Stand-ins for the store, engines, consumers and router start of review cases 11-15.

Only the standard library is used. They speak what the users' pages say.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNRUN = 0, 1, 2

SETTINGS = """
node = "{node}"
role = "router"
class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "here"
region = "area"
portRange = [{peer}, {peer_last}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
here = "area"
[listen]
front = "{ip}:{front}"
readyAddr = "{ip}:{ready}"
[limits]
cpuShare = 0.559
cpus = 1
memoryMb = {memory_mb}
maxFds = 1570
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
"""  # noqa: E501


def now_ms() -> int:
    """Return the steady clock in ms."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return Unix time in ms."""
    return time.time_ns() // 1_000_000


async def within(coroutine, seconds: float):
    """Return a coroutine's result; raise TimeoutError if it takes longer."""
    task = asyncio.ensure_future(coroutine)
    done, _ = await asyncio.wait({task}, timeout=seconds)
    if not done:
        task.cancel()
        raise TimeoutError
    return task.result()


def draw_ip() -> str:
    """Return a loopback address of its own for one machine."""
    low, high = 1, 254
    parts = [random.randint(low, high) for _ in range(3)]
    return "127.{}.{}.{}".format(*parts)


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free at an address."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((ip, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w")
        self.began_ms = now_ms()

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        line = f"{(now_ms() - self.began_ms) / 1e3:8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


# HTTP, as servers


class Call:
    """One request that a stand-in received."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        url = urlsplit(target)
        self.path = url.path
        self.query = {name: v[0] for name, v in parse_qs(url.query, True).items()}


async def read_head(reader):
    """Read a start line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_call(reader) -> Call | None:
    """Read one request with its body, which has a length or none."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    body = await reader.readexactly(int(head[1].get("content-length", 0)))
    return Call(method, target, head[1], body)


def answer(status: int, headers=(), body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def listen(ip: str, port: int, serve) -> asyncio.Server:
    """Serve connections with ``serve(reader, writer)``."""

    async def run(reader, writer):
        try:
            await serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, ip, port, limit=2**20, backlog=512)


# The platform's store


class Store:
    """The platform's metadata store, in memory."""

    def __init__(self):
        self.revision = 1
        self.items, self.history, self.leases = {}, [], {}
        self.changed = asyncio.Event()

    async def start(self, ip: str, port: int) -> None:
        """Listen for calls."""
        self.address = f"{ip}:{port}"
        self.server = await listen(ip, port, self.serve)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one item; the new revision is its acknowledgement."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.log(self.items[key])
        return self.revision

    def put_json(self, key: str, document: dict) -> int:
        """Write one item with a JSON value."""
        return self.put(key, json.dumps(document).encode())

    def remove(self, key: str) -> None:
        """Remove one item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.log({"key": key, "revision": self.revision, "tombstone": True})

    def log(self, event: dict) -> None:
        """Keep a change for watches and wake them."""
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self) -> None:
        """Remove the keys of leases that have ended."""
        for lease, (_, end_ms) in list(self.leases.items()):
            if end_ms <= now_ms():
                del self.leases[lease]
                for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                    self.remove(key)

    async def serve(self, reader, writer) -> None:
        """Answer the calls of one connection."""
        while (call := await read_call(reader)) is not None:
            self.expire()
            status, document = await self.route(call)
            body = json.dumps(document).encode()
            writer.write(answer(status, [("Content-Type", "application/json")], body))
            await writer.drain()

    async def route(self, call: Call) -> tuple[int, dict]:
        """Carry out one call."""
        await asyncio.sleep(0.004)
        name, _, argument = call.path.strip("/").partition("/")
        if name == "kv-key":
            item = self.items.get(call.query["key"])
            return (404, {}) if item is None else (200, item)
        if name == "kv-range":
            return self.read_range(call.query)
        if name == "kv-watch":
            return await self.watch(call.query)
        if name == "kv-txn":
            return self.commit(json.loads(call.body))
        if name == "kv-lease":
            ttl_ms = json.loads(call.body)["ttlMs"]
            lease = random.randint(1, 2**40)
            self.leases[lease] = (ttl_ms, now_ms() + ttl_ms)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        if name == "kv-keep":
            lease = int(argument)
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, now_ms() + ttl_ms)
            return 200, {"ttlMs": ttl_ms}
        return 404, {}

    def read_range(self, query: dict) -> tuple[int, dict]:
        """Answer one page of a range."""
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        document = {
            "items": [self.items[key] for key in keys[:500]],
            "morePages": len(keys) > 500,
            "currentRev": self.revision,
        }
        return 200, document

    async def watch(self, query: dict) -> tuple[int, dict]:
        """Answer a watch as soon as there is an event, or after its wait."""
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        end_ms = now_ms() + int(query["waitMs"])
        while True:
            events = [
                one
                for one in self.history
                if one["revision"] > after and one["key"].startswith(prefix)
            ]
            left_s = (end_ms - now_ms()) / 1e3
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            waiting = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait({waiting}, timeout=left_s)
            waiting.cancel()

    def commit(self, document: dict) -> tuple[int, dict]:
        """Carry out a transaction."""
        for row in document.get("expect", []):
            found = self.items.get(row["key"], {}).get("revision", 0)
            if found != row["revision"]:
                return 412, {"items": []}
        for row in document.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in document.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in document.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


def make_config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a config as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def make_route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route of a config, at the path /NAME/."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 12000,
        "goalMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": kind == "stream",
        "resumable": False,
        "gapGoalMs": 300,
    } | fields


def make_entry(service: str, address: str, born_ms: int, **fields) -> dict:
    """Return an engine's entry in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "here",
        "version": "v1",
        "slots": 32,
        "state": "ready",
        "coldLeftMs": 0,
        "phase": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "seq": 1,
        "born": born_ms,
    } | fields


# Routers


class Router:
    """One router, started as the deploy file says, on an address of its own."""

    def __init__(self, folder: Path, node: str, store: str, memory_mb: int = 222):
        self.folder, self.node, self.memory_mb = folder, node, memory_mb
        self.ip = draw_ip()
        ports = free_ports(self.ip, 4)
        self.front, self.ready, peer, self.metrics = ports
        self.settings = folder / f"{node}.toml"
        text = SETTINGS.format(
            node=node,
            ip=self.ip,
            peer=peer,
            peer_last=peer,
            front=self.front,
            ready=self.ready,
            memory_mb=memory_mb,
            store=store,
        )
        self.settings.write_text(text)
        self.process = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {name: os.environ.get(name, "") for name in ("PATH", "HOME")}
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PLANTAINPULLEY_BOOT": str(self.settings),
            "PLANTAINPULLEY_METRICS_PORT": str(self.metrics),
        }
        with (self.folder / f"{self.node}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "pulley_adapter"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def is_ready(self) -> bool:
        """Ask /readyz once, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await within(read_head(reader), 1)
            return head is not None and " 200" in head[0]
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit_s: float = 15) -> bool:
        """Wait until the router says that it is ready."""
        end_ms = now_ms() + limit_s * 1_000
        while now_ms() < end_ms:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def memory_used_mb(self) -> float:
        """Return the resident memory of the process in MB of 2**20 bytes."""
        try:
            for line in (
                Path(f"/proc/{self.process.pid}/status").read_text().split("\n")
            ):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """End the process."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


# Consumers


class Answer:
    """What a consumer has seen of one answer.

    ``end`` is "complete" once the answer ended as its framing says, "cut" if the
    channel ended before, "none" if no head came.
    """

    def __init__(self):
        self.status, self.headers, self.body, self.end = 0, {}, b"", "none"


def request_bytes(
    method: str,
    path: str,
    attempt: str,
    deadline_ms: int,
    body: bytes = b"",
    headers=(),
) -> bytes:
    """Return a consumer's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader, on_piece=None) -> Answer:
    """Read one answer; ``on_piece`` is awaited after each piece of a chunked body."""
    seen = Answer()
    head = await read_head(reader)
    while head is not None and " 100 " in f"{head[0]} ":
        head = await read_head(reader)
    if head is None:
        return seen
    seen.status, seen.headers, seen.end = int(head[0].split()[1]), head[1], "cut"
    try:
        if "chunked" in seen.headers.get("transfer-encoding", ""):
            await read_chunks(reader, seen, on_piece)
        else:
            length = int(seen.headers.get("content-length", 0))
            seen.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return seen
    seen.end = "complete"
    return seen


async def read_chunks(reader, seen: Answer, on_piece) -> None:
    """Read a chunked body to its last chunk."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return
        seen.body += piece[:-2]
        if on_piece is not None:
            await on_piece(seen)


async def connect(router: Router, receive_bytes: int = 0):
    """Open a consumer's channel, with a small receive buffer if asked.

    Its segments are then as long as those of an Ethernet: the loopback's own make the
    kernel buffer megabytes for the sender.
    """
    one = socket.socket()
    if receive_bytes:
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_448)
        one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    one.setblocking(False)
    await asyncio.get_running_loop().sock_connect(one, (router.ip, router.front))
    limit = receive_bytes or 2**16
    return await asyncio.open_connection(sock=one, limit=limit)


def run_case(folder: Path, play) -> int:
    """Run ``play(record, work)`` in a temporary folder and return the exit status."""
    record = Record(folder)
    with tempfile.TemporaryDirectory(prefix="review-") as work:
        try:
            status = asyncio.run(play(record, Path(work)))
        except Exception as error:
            record.note(f"could not run: {error!r}")
            status = UNRUN
        for log in sorted(Path(work).glob("*.log")):
            keep_log(record, log)
    names = {HELD: "held", BROKEN: "BROKEN", UNRUN: "could not run"}
    record.note(f"result: the rule {names[status]}" if status < 2 else names[status])
    return status


def keep_log(record: Record, log: Path) -> None:
    """Copy the lines of a router's log that tell of its end, or of faults."""
    words = ("started", "stopped", "Traceback", "Error", "unframed", "handler_failed")
    lines = log.read_text(errors="replace").split("\n")
    for line in [one for one in lines if any(word in one for word in words)][:40]:
        print(f"{log.name}: {line}", file=record.file, flush=True)


if __name__ == "__main__":
    sys.exit("this module is imported by the cases")
