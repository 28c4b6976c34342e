"""A key-value service stand-in: the etcd v3 JSON gateway, in memory.

The admin listener injects faults. The body of ``POST /faults`` is a JSON object
with any of: ``outage`` (``""`` for none, ``"refuse"`` closes the listener,
``"hang"`` never answers), ``delay_ms``, ``lose_replies`` (how many of the next
writes take effect without a reply). ``GET /calls`` returns the number of calls by
operation; ``POST /keys`` sets keys directly, as an operator who bypasses the
project's tool would.
"""

import asyncio
import json
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from pulley_base import split_address
from pulley_http import (
    Limits,
    Request,
    Response,
    Server,
    close_server,
    read_all,
    start_server,
)

from . import store_state
from .store_state import StoreState, Watch

HANG_S = 3_600
LEASE_EXPIRY_INTERVAL_S = 0.1
WRITE_PATHS = frozenset({"/v3/kv/txn", "/v3/kv/put", "/v3/kv/deleterange"})
JSON_HEADERS = [(b"content-type", b"application/json")]


@dataclass(slots=True)
class StoreFaults:
    """The faults that are active."""

    outage: str = ""
    delay_ms: int = 0
    lose_replies: int = 0


@dataclass(slots=True)
class StoreStandin:
    """A running stand-in with its service and admin listeners."""

    state: StoreState = field(default_factory=StoreState)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: Counter = field(default_factory=Counter)
    server: Server | None = None
    admin: Server | None = None
    host: str = "127.0.0.1"
    port: int = 0
    expiry_task: asyncio.Task | None = None


async def start_store(host: str, port: int = 0, admin_port: int = 0) -> StoreStandin:
    """Start a stand-in; port 0 takes any free port."""
    standin = StoreStandin(host=host)
    standin.server = await listen(standin, port)
    _host, standin.port = split_address(standin.server.address)
    standin.admin = await start_server(
        lambda request: handle_admin_request(standin, request), host, admin_port
    )
    standin.expiry_task = asyncio.create_task(expire_leases_forever(standin))
    return standin


async def listen(standin: StoreStandin, port: int) -> Server:
    """Open the service listener on ``port``."""
    limits = Limits(body_bytes=32 * 1024 * 1024)
    return await start_server(
        lambda request: handle_call(standin, request),
        standin.host,
        port,
        limits=limits,
    )


async def serve_store(host: str, port: int, admin_port: int = 0) -> None:
    """Run a stand-in until cancelled, after printing its addresses."""
    standin = await start_store(host, port, admin_port)
    print(
        f"event=listening address={standin.server.address} "
        f"admin={standin.admin.address}",
        flush=True,
    )
    await standin.expiry_task


def stop_store(standin: StoreStandin) -> None:
    """Close both listeners, abort their connections and stop expiring leases."""
    standin.expiry_task.cancel()
    close_server(standin.server)
    close_server(standin.admin)


async def expire_leases_forever(standin: StoreStandin) -> None:
    """Revoke expired leases every ``LEASE_EXPIRY_INTERVAL_S`` until cancelled."""
    while True:
        store_state.expire_leases(standin.state, time.monotonic())
        await asyncio.sleep(LEASE_EXPIRY_INTERVAL_S)


async def handle_call(standin: StoreStandin, request: Request) -> Response:
    """Answer one call of the gateway, subject to the active faults."""
    document = json.loads(await read_all(request.body) or b"{}")
    standin.calls[request.path] += 1
    if standin.faults.outage:
        await asyncio.sleep(HANG_S)
    if standin.faults.delay_ms:
        await asyncio.sleep(standin.faults.delay_ms / 1_000)
    if request.path == "/v3/watch":
        return Response(200, JSON_HEADERS, stream_watch(standin, document))
    try:
        reply = run_call(standin.state, request.path, document)
    except (LookupError, ValueError, TypeError) as error:
        return json_response({"error": str(error), "code": 3}, 400)
    if request.path in WRITE_PATHS and standin.faults.lose_replies > 0:
        standin.faults.lose_replies -= 1
        standin.calls["lost"] += 1
        return Response(200, JSON_HEADERS, abort_reply())
    return json_response(reply)


def run_call(state: StoreState, path: str, document: dict) -> dict:
    """Run one unary call and return its reply.

    Raises LookupError on an unknown path.
    """
    now_s = time.monotonic()
    if path == "/v3/kv/range":
        return store_state.read_range(state, document)
    if path == "/v3/kv/txn":
        return store_state.run_txn(state, document)
    if path == "/v3/kv/put":
        return store_state.put_key(state, document, state.revision + 1)
    if path == "/v3/kv/deleterange":
        return store_state.delete_range(state, document, state.revision + 1)
    if path == "/v3/lease/grant":
        return store_state.grant_lease(state, document, now_s)
    if path == "/v3/lease/keepalive":
        return store_state.renew_lease(state, document, now_s)
    if path == "/v3/lease/revoke":
        return store_state.revoke_lease(state, int(document["ID"]))
    raise LookupError(f"no such call: {path}")


def json_response(document: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, list(JSON_HEADERS), json.dumps(document).encode())


async def abort_reply() -> AsyncIterator[bytes]:
    """Raise an error in place of a body, so that the connection is closed."""
    raise ConnectionError("reply dropped by the lose_replies fault")
    yield b""


async def stream_watch(standin: StoreStandin, document: dict) -> AsyncIterator[bytes]:
    """Yield the messages of one watch until the caller closes the connection.

    The events from ``start_revision`` on come first, if the request has one.
    """
    create = store_state.get_field(document, "create_request")
    state = standin.state
    watch = Watch(*store_state.key_range(create))
    start_revision = int(store_state.get_field(create, "start_revision", 0))
    for revision, key, event in state.history if start_revision else ():
        if revision >= start_revision and store_state.in_range(
            key, watch.first, watch.end
        ):
            watch.events.put_nowait(event)
    state.watches.append(watch)
    try:
        yield encode_watch_message(state, {"created": True})
        while True:
            event = await watch.events.get()
            yield encode_watch_message(state, {"events": [event]})
    finally:
        state.watches.remove(watch)


def encode_watch_message(state: StoreState, result: dict) -> bytes:
    """Return one message of a watch as a line of JSON."""
    message = {"result": {"header": store_state.reply_header(state), **result}}
    return json.dumps(message).encode() + b"\n"


async def handle_admin_request(standin: StoreStandin, request: Request) -> Response:
    """Answer a request to the admin listener."""
    document = json.loads(await read_all(request.body) or b"{}")
    if request.path == "/calls":
        return json_response(dict(standin.calls))
    if request.path == "/keys":
        for key, value in document.items():
            put = {"key": store_state.encode_base64(key.encode())}
            put["value"] = store_state.encode_base64(value.encode())
            store_state.put_key(standin.state, put, standin.state.revision + 1)
        return json_response({"revision": standin.state.revision})
    if request.path == "/faults":
        await set_faults(standin, document)
        return json_response(document)
    return json_response({"error": "no such path"}, 404)


async def set_faults(standin: StoreStandin, changes: dict) -> None:
    """Set the named faults and leave the others unchanged.

    Opens or closes the listener, and aborts calls that an outage left hanging.
    """
    was_refusing = standin.faults.outage == "refuse"
    for name, value in changes.items():
        setattr(standin.faults, name, value)
    refusing = standin.faults.outage == "refuse"
    if refusing and not was_refusing:
        close_server(standin.server)
    elif was_refusing and not refusing:
        standin.server = await listen(standin, standin.port)
    elif standin.faults.outage == "":
        abort_hanging_calls(standin)


def abort_hanging_calls(standin: StoreStandin) -> None:
    """Abort the calls that are still hanging after an outage has ended."""
    for connection in list(standin.server.connections):
        if connection.handling:
            connection.abort()
