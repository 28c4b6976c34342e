"""A small deployment on loopback: the store, and routers as processes of their own."""

import asyncio
import os
import shlex
import signal
import subprocess
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from pulley_platform_standins.processes import (
    draw_peer_ip,
    reserve_address,
    wait_ready,
)
from pulley_platform_standins.stores import StandInStore, put_document

from pulley_http import Client

ROOT = Path(__file__).resolve().parents[3]
MEMORY_MB = 222
RESTART_DELAY_S = 0.5
MEMORY_POLL_S = 0.02
CLOSE_DELAY_S = 0.5
KB_PER_MB = 1_024
HOST = "shop.example"
KEY = "key-of-orto"
SETTINGS = """
node = "{name}"
role = "router"
class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "here"
region = "area"
portRange = [7340, 7355]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
here = "area"
[listen]
front = "{front}"
readyAddr = "{ready}"
[limits]
cpuShare = 0.559
cpus = 1
memoryMb = {memory}
maxFds = 1570
linkMbps = 350.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
stableWindowMs = 3000
ackMs = 4000
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


@dataclass(slots=True)
class RouterProcess:
    """One router: its addresses, its settings file and its running process.

    ``peaks_mb`` has the largest resident memory of each of its processes,
    ``n_memory_kills`` counts those that the platform killed over the limit.
    """

    name: str
    front: str
    ready: str
    settings: Path
    process: subprocess.Popen | None = None
    peaks_mb: list[int] = field(default_factory=list)
    n_memory_kills: int = 0


def deploy_command() -> list[str]:
    """Return the command that the deploy file starts a router with."""
    document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return shlex.split(document["roles"]["router"]["run"])


def make_router(folder: Path, name: str, store: str) -> RouterProcess:
    """Write a router's settings and start it."""
    router = RouterProcess(
        name, reserve_address(), reserve_address(), folder / f"{name}.toml"
    )
    router.settings.write_text(
        SETTINGS.format(
            name=name,
            ip=draw_peer_ip(),
            front=router.front,
            ready=router.ready,
            memory=MEMORY_MB,
            store=store,
        )
    )
    start_process(router)
    return router


def start_process(router: RouterProcess) -> None:
    """Start a router's process, with the variables that the platform passes on."""
    names = ("PATH", "HOME", "LANG")
    environment = {name: os.environ[name] for name in names if name in os.environ}
    environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
    environment["PLANTAINPULLEY_BOOT"] = str(router.settings)
    with router.settings.with_suffix(".log").open("ab") as log:
        router.process = subprocess.Popen(
            deploy_command(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    router.peaks_mb.append(0)


async def wait_all_ready(routers: list[RouterProcess]) -> bool:
    """Wait until all routers are ready; return False if one is not in time."""
    client = Client()
    return all([await wait_ready(client, router.ready) for router in routers])


def resident_mb(process_id: int) -> int:
    """Return a process's resident memory in MB, 0 if it has ended."""
    try:
        text = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) // KB_PER_MB
    return 0


async def enforce_memory(router: RouterProcess) -> None:
    """Kill a process that exceeds its memory, and start it again a little later."""
    while True:
        used_mb = resident_mb(router.process.pid)
        router.peaks_mb[-1] = max(router.peaks_mb[-1], used_mb)
        if used_mb > MEMORY_MB:
            router.process.send_signal(signal.SIGKILL)
            router.process.wait()
            router.n_memory_kills += 1
            await asyncio.sleep(RESTART_DELAY_S)
            start_process(router)
        await asyncio.sleep(MEMORY_POLL_S)


async def end_deployment(
    routers: list[RouterProcess], servers: list[asyncio.Server]
) -> None:
    """Kill the routers that still run, and let the stand-ins' channels end."""
    for router in routers:
        if router.process.poll() is None:
            router.process.kill()
            router.process.wait()
    for server in servers:
        server.close()
    await asyncio.sleep(CLOSE_DELAY_S)


def put_configuration(
    store: StandInStore, version: int, routes: list[dict], **limits: int
) -> None:
    """Write a configuration with the given routes."""
    names = sorted({route["service"] for route in routes})
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 460} for name in names
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 15_000,
        }
        | limits,
        "tenants": [{"name": "orto", "apiKeys": [KEY]}],
    }
    put_document(store, "op/config", document)


def list_engine(
    store: StandInStore, name: str, service: str, address: str, born_ms: int
) -> None:
    """Write an engine's entry."""
    document = {
        "service": service,
        "address": address,
        "zone": "here",
        "version": "v1",
        "slots": 32,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": born_ms,
    }
    put_document(store, f"servers/{name}", document)
