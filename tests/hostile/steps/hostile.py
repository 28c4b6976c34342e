"""Steps: a crowd of hostile clients at one router process."""

import asyncio
import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parents[3]
sys.path[:0] = [
    str(ROOT / "tests" / "hostile"),
    str(ROOT / "tests" / "direct" / "steps"),
]

from crowds import (  # noqa: E402
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    Crowd,
    leave,
    send_all,
)
from pulley_platform_standins.endpoints import (  # noqa: E402
    list_endpoint,
    start_endpoint,
)
from pulley_platform_standins.processes import (  # noqa: E402
    ROUTER_SETTINGS,
    draw_peer_ip,
    reserve_address,
    wait_ready,
)
from pulley_platform_standins.stores import put_document, start_store  # noqa: E402
from scenes import ORDER, configuration, send_call  # noqa: E402

from pulley_http import Client, close_client, close_server  # noqa: E402

SETTINGS = (
    ROUTER_SETTINGS
    + """
[limits]
memoryMb = {memory_mb}
maxFds = {descriptors}
"""
)
POLL_S = 0.02
KB_PER_MB = 1_024
CLOSE_DELAY_S = 0.5
# An ordinary caller comes back so often after a refusal that says "not run".
MAX_TRIES = 50
TRY_AGAIN_S = 0.2


@dataclass(slots=True)
class Watched:
    """A router's process, and the most sockets that it had open."""

    address: str
    process: subprocess.Popen
    most_sockets: int = 0


@dataclass(slots=True)
class Seen:
    """What was seen of the router: its peak in MB, its sockets, and two answers."""

    lives: bool = False
    peak_mb: float = 0.0
    most_sockets: int = 0
    beside: int = 0
    after: int = 0
    largest: int = 0
    steps: list[str] = field(default_factory=list)


@given("a router with {memory_mb:d} MB of memory and {descriptors:d} descriptors")
def configure(context, memory_mb, descriptors):
    context.limits = memory_mb, descriptors


@when("{n_clients:d} clients send {kind}")
def send(context, n_clients, kind):
    context.seen = asyncio.run(play(context.limits, n_clients, kind))


@when("{n_clients:d} clients connect and send nothing")
def connect(context, n_clients):
    context.seen = asyncio.run(play(context.limits, n_clients, "nothing"))


@then("the router's process lives")
def check_lives(context):
    assert context.seen.lives, context.seen


@then("it never held more than {memory_mb:d} MB")
def check_memory(context, memory_mb):
    assert context.seen.peak_mb <= memory_mb, context.seen


@then("it never had more than {n_sockets:d} sockets open")
def check_sockets(context, n_sockets):
    assert context.seen.most_sockets <= n_sockets, context.seen


@then("an ordinary request is answered while the crowd stays")
def check_beside(context):
    assert context.seen.beside == 200, context.seen


@then("an ordinary request is answered once the crowd has left")
def check_after(context):
    assert context.seen.after == 200, context.seen


@then("the largest allowed request is answered once the crowd has left")
def check_largest(context):
    assert context.seen.largest == 200, context.seen


async def play(limits: tuple[int, int], n_clients: int, kind: str) -> Seen:
    """Start everything, let the crowd send, and send ordinary requests beside it."""
    with tempfile.TemporaryDirectory() as folder:
        store = await start_store()
        endpoint = await start_endpoint("shop-0", "shop")
        list_endpoint(store, endpoint)
        document = configuration(1, ["token-of-orto"])
        document["limits"] |= {
            "maxHeaderBytes": MAX_HEAD_BYTES,
            "maxBodyBytes": MAX_BODY_BYTES,
        }
        put_document(store, "op/config", document)
        router = await start_router(Path(folder), limits, store.address)
        try:
            return await play_crowd(router, n_clients, kind)
        finally:
            router.process.kill()
            router.process.wait()
            close_server(endpoint.server)
            close_server(store.server)
            await asyncio.sleep(CLOSE_DELAY_S)


async def start_router(
    folder: Path, limits: tuple[int, int], store_address: str
) -> Watched:
    """Start a router as a process and wait until it is ready."""
    memory_mb, descriptors = limits
    front, ready = reserve_address(), reserve_address()
    settings = folder / "router.toml"
    settings.write_text(
        SETTINGS.format(
            name="router-1",
            ip=draw_peer_ip(),
            front=front,
            ready=ready,
            store=store_address,
            memory_mb=memory_mb,
            descriptors=descriptors,
        )
    )
    with (folder / "router.log").open("ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "pulley_adapter"],
            env=os.environ | {"PLANTAINPULLEY_BOOT": str(settings)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    client = Client()
    is_ready = await wait_ready(client, ready)
    close_client(client)
    assert is_ready, (folder / "router.log").read_text()[-2_000:]
    return Watched(front, process)


async def play_crowd(router: Watched, n_clients: int, kind: str) -> Seen:
    """Let a crowd send to a router, and say what was seen."""
    crowd, seen = Crowd(), Seen()
    watching = asyncio.create_task(watch_sockets(router))
    await send_all(crowd, router.address, kind, n_clients)
    if kind != "nothing":
        seen.beside = await try_call(router, b"{}")
    leave(crowd)
    seen.after = await try_call(router, b"{}")
    seen.largest = await try_call(router, b"x" * MAX_BODY_BYTES)
    watching.cancel()
    seen.lives = router.process.poll() is None
    seen.peak_mb = read_peak_mb(router.process.pid) if seen.lives else 0.0
    seen.most_sockets = router.most_sockets
    return seen


async def try_call(router: Watched, body: bytes) -> int:
    """Send one request, again after each refusal; return the last status."""
    status = 0
    for _ in range(MAX_TRIES):
        client = Client()
        answer = await send_call(
            client, router.address, ORDER, timeout_ms=30_000, body=body
        )
        close_client(client)
        status = answer.status
        if status == 200 or router.process.poll() is not None:
            break
        await asyncio.sleep(TRY_AGAIN_S)
    return status


async def watch_sockets(router: Watched) -> None:
    """Keep the largest number of sockets that the router has open."""
    while router.process.poll() is None:
        n_sockets = count_sockets(router.process.pid)
        router.most_sockets = max(router.most_sockets, n_sockets)
        await asyncio.sleep(POLL_S)


def count_sockets(process_id: int) -> int:
    """Return how many sockets a process has open."""
    return sum(map(is_socket, list_descriptors(process_id)))


def list_descriptors(process_id: int) -> list[Path]:
    """Return a process's descriptors, none if it has ended."""
    try:
        return list(Path(f"/proc/{process_id}/fd").iterdir())
    except OSError:
        return []


def is_socket(entry: Path) -> bool:
    """Check whether a descriptor, which may be closed by now, is a socket."""
    try:
        return os.readlink(entry).startswith("socket:")
    except OSError:
        return False


def read_peak_mb(process_id: int) -> float:
    """Return the largest resident memory that a process ever had, in MB."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0
