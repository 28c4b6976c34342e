"""Export of a draining engine's most recent contexts to the chats' next homes.

The engine exports a chat's context and the next home's engine imports it, each
through its own agent; an import is an attempt like any other. If the engine can't
export, the only cost is time.
"""

import asyncio
import logging
import secrets
from dataclasses import dataclass, field

from pulley_base import PulleyError, log_event, time_limit, to_seconds
from pulley_http import Client, fetch
from pulley_policy.admission import BATCH_PRIORITY, MAX_HOPS
from pulley_policy.placement import find_home
from pulley_wire import Frame, PeerConnection, connect_peer
from pulley_wire.messages import Header, Hello, Open

from .counters import EXPORTS
from .gossip_members import Gossip

EXPORT_PATH = "/kv/export?chat="
IMPORT_PATH = "/kv/import"
EXPORT_INTERVAL_MS = 10
EXPORT_TIMEOUT_MS = 1_000
MAX_EXPORTS = 400
MAX_FAILURES = 3
STATUS_OK = 200
JSON_HEADERS = [Header(name=b"content-type", value=b"application/json")]

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Exporter:
    """One agent's exports; ``tried`` holds the chats already attempted."""

    gossip: Gossip
    client: Client
    engine: str
    hello: Hello
    tried: set[bytes] = field(default_factory=set)
    connections: dict[str, PeerConnection] = field(default_factory=dict)
    pending: dict[int, asyncio.Future] = field(default_factory=dict)
    n_failures: int = 0


async def export_contexts(exporter: Exporter) -> int:
    """Export the chats that are warm here, the most recent first; return their number.

    Exports at most one chat per ``EXPORT_INTERVAL_MS`` and ``MAX_EXPORTS`` in all.
    Stops after ``MAX_FAILURES`` failures in a row.
    """
    names = exporter.gossip.home_candidates
    warm = exporter.gossip.admission.gate.warm
    n_exported = 0
    for chat in warm.iterate_most_recent():
        if not names or exporter.n_failures >= MAX_FAILURES:
            break
        if chat in exporter.tried or len(exporter.tried) >= MAX_EXPORTS:
            continue
        exporter.tried.add(chat)
        moved = await export_chat(exporter, chat, find_home(chat, names))
        EXPORTS.labels("moved" if moved else "failed").inc()
        n_exported += moved
        await asyncio.sleep(to_seconds(EXPORT_INTERVAL_MS))
    log_event(logger, "contexts_exported", n_chats=n_exported)
    return n_exported


async def export_chat(exporter: Exporter, chat: bytes, home: str) -> bool:
    """Move one chat's context to its next home; return False if that failed."""
    try:
        answer = await fetch(
            exporter.client,
            exporter.engine,
            "GET",
            EXPORT_PATH + chat.hex(),
            timeout_ms=EXPORT_TIMEOUT_MS,
        )
        if answer.status != STATUS_OK:
            exporter.n_failures += 1
            return False
        async with time_limit(EXPORT_TIMEOUT_MS):
            status = await import_context(exporter, chat, home, answer.body)
    except (PulleyError, TimeoutError):
        exporter.n_failures += 1
        return False
    exporter.n_failures = 0
    return status == STATUS_OK


async def import_context(
    exporter: Exporter, chat: bytes, home: str, body: bytes
) -> int:
    """Have the home's engine import a context; return the HTTP status.

    Returns 0 if the attempt was refused or failed.
    """
    connection = exporter.connections.get(home)
    if connection is None or connection.closed_reason is not None:
        connection = await open_connection(exporter, home)
    request = len(exporter.tried)
    future = asyncio.get_running_loop().create_future()
    exporter.pending[request] = future
    message = make_open(exporter, request, chat, body)
    connection.send(Frame(open=message))
    try:
        return await future
    finally:
        del exporter.pending[request]


def make_open(exporter: Exporter, request: int, chat: bytes, body: bytes) -> Open:
    """Build the attempt that imports a context; it is never redirected."""
    return Open(
        request=request,
        attempt=1,
        nonce=secrets.token_bytes(16),
        service_name=exporter.gossip.admission.service,
        method="POST",
        target=IMPORT_PATH,
        headers=JSON_HEADERS,
        chat=chat,
        priority=BATCH_PRIORITY,
        deadline_ms=EXPORT_TIMEOUT_MS,
        idempotent=True,
        work=1,
        credit=1 << 16,
        body=body,
        body_complete=True,
        hops=MAX_HOPS,
        warm=True,
    )


async def open_connection(exporter: Exporter, home: str) -> PeerConnection:
    """Connect to the agent of the chat's next home."""
    gossip = exporter.gossip
    connection = await connect_peer(
        home,
        lambda: PeerConnection(
            lambda connection, frame: handle_answer(exporter, frame),
            lambda connection, reason: None,
            stamp=gossip.datagrams.stamp,
            clock=gossip.clock,
            peer=home,
        ),
    )
    connection.send(Frame(hello=exporter.hello))
    exporter.connections[home] = connection
    return connection


def handle_answer(exporter: Exporter, frame: Frame) -> None:
    """Record how an import ended; its body is ignored."""
    message = frame.head or frame.refused or frame.failed
    future = exporter.pending.get(message.request) if message is not None else None
    if future is not None and not future.done():
        future.set_result(frame.head.status if frame.head is not None else 0)


def close_exports(exporter: Exporter) -> None:
    """Close the connections that the exports used."""
    for connection in exporter.connections.values():
        connection.close("done")
