"""Client of the key-value service, through the etcd v3 JSON gateway.

A write whose reply is lost may have taken effect; functions then return UNKNOWN.
They return UNAVAILABLE if it is certain that nothing was written.
"""

import json
import logging
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import aclosing
from dataclasses import dataclass

from pulley_base import (
    ABSENT,
    UNAVAILABLE,
    UNKNOWN,
    ConnectionLost,
    ProtocolError,
    PulleyError,
    Sentinel,
    warn_event,
)
from pulley_http import Client, fetch, send_request

from .gateway import (
    Compare,
    KeyValue,
    Put,
    Target,
    Write,
    encode_bytes,
    encode_compare,
    encode_read,
    encode_write,
    parse_document,
    parse_key_value,
    parse_range,
    parse_reads,
    parse_revision,
    prefix_end,
)

JSON_HEADERS = [(b"content-type", b"application/json")]
NOTHING_WRITTEN_STATUSES = frozenset({400, 401, 403, 404, 429})
MAX_WATCH_LINE_BYTES = 4 * 1024 * 1024

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Store:
    """The key-value service: its addresses and the timeout of a call.

    ``addresses`` are IP:port of its members. ``on_call(operation)`` is called
    before each attempt of a call, so that calls can be counted against the service's
    rates.
    """

    client: Client
    addresses: tuple[str, ...]
    timeout_ms: int = 1_000
    on_call: Callable[[str], None] = lambda operation: None
    preferred_index: int = 0


@dataclass(frozen=True, slots=True)
class Swapped:
    """A compare-and-swap took effect at ``mod_revision``."""

    mod_revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A compare-and-swap found another revision; ``current`` is the key or ABSENT."""

    current: KeyValue | Sentinel


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction took effect at ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """A compare of a transaction failed; ``current`` holds the requested reads."""

    current: tuple[KeyValue | Sentinel, ...]


@dataclass(frozen=True, slots=True)
class KeyEvent:
    """A change that a watch reported; ``current`` is ABSENT for a deleted key."""

    key: str
    current: KeyValue | Sentinel
    revision: int


async def read_key(
    store: Store, key: str, *, newer_than: int = 0, at_revision: int = 0
) -> KeyValue | Sentinel:
    """Read a key; return its KeyValue, ABSENT, or UNAVAILABLE.

    With ``newer_than``, the result is ABSENT for a key whose mod revision is not
    higher, so that an unchanged value is not sent again. With ``at_revision``, the
    key is read as it was at that revision, which the store must still keep.
    """
    document = {"key": encode_bytes(key)}
    if newer_than:
        document["min_mod_revision"] = str(newer_than + 1)
    if at_revision:
        document["revision"] = str(at_revision)
    reply = await call_store(store, "range", document)
    return parse_range(reply) if isinstance(reply, dict) else as_unavailable(reply)


async def read_prefix(store: Store, prefix: str) -> tuple[KeyValue, ...] | Sentinel:
    """Read all keys that start with ``prefix``; UNAVAILABLE if there is no answer."""
    key_range = {
        "key": encode_bytes(prefix),
        "range_end": encode_bytes(prefix_end(prefix)),
    }
    reply = await call_store(store, "range", key_range)
    if not isinstance(reply, dict):
        return as_unavailable(reply)
    return tuple(parse_key_value(match) for match in reply.get("kvs") or ())


def as_unavailable(reply: Sentinel) -> Sentinel:
    """Return UNAVAILABLE for a failed read, with the reason of ``reply``."""
    return UNAVAILABLE.because(reply.reason)


async def swap_key(
    store: Store, key: str, value: bytes, expected_revision: int, lease: int = 0
) -> Swapped | Conflict | Sentinel:
    """Write ``key`` if its mod revision is ``expected_revision``, 0 for absent.

    Returns UNAVAILABLE if it is certain that nothing was written, and UNKNOWN if
    the reply was lost: the caller then reads the key back and looks for the nonce
    that it wrote.
    """
    result = await commit_txn(
        store,
        [Compare(key, Target.MOD, expected_revision)],
        [Put(key, value, lease)],
        [key],
    )
    if isinstance(result, Committed):
        return Swapped(result.revision)
    if isinstance(result, Rejected):
        return Conflict(result.current[0])
    return result


async def commit_txn(
    store: Store,
    compares: Sequence[Compare],
    writes: Sequence[Write],
    reads_on_failure: Sequence[str] = (),
) -> Committed | Rejected | Sentinel:
    """Apply all ``writes`` if all ``compares`` hold, in one atomic transaction.

    If a compare fails, returns Rejected with the keys of ``reads_on_failure``, in
    their order. UNAVAILABLE and UNKNOWN mean the same as for ``swap_key``.
    """
    document = {
        "compare": [encode_compare(compare) for compare in compares],
        "success": [encode_write(write) for write in writes],
        "failure": [encode_read(key) for key in reads_on_failure],
    }
    reply = await call_store(store, "txn", document)
    if not isinstance(reply, dict):
        return reply
    if reply.get("succeeded"):
        return Committed(parse_revision(reply))
    current = parse_reads(reply)
    if len(current) != len(reads_on_failure):
        return UNKNOWN.because("the reply does not contain the requested reads")
    return Rejected(current)


async def grant_lease(store: Store, ttl_s: int) -> int | Sentinel:
    """Request a lease of ``ttl_s`` seconds; return its id, or UNAVAILABLE."""
    reply = await call_store(store, "lease/grant", {"TTL": str(ttl_s), "ID": "0"})
    if not isinstance(reply, dict) or not int(reply.get("ID", 0)):
        return UNAVAILABLE.because("the store granted no lease")
    return int(reply["ID"])


async def call_store(store: Store, operation: str, document: dict) -> dict | Sentinel:
    """Send one call and return the reply's JSON object.

    If connecting to an address fails, the next address is tried. Once the call was
    sent, no other address is tried, and a failure returns UNKNOWN. Returns
    UNAVAILABLE if no address accepts a connection, or if the status of the reply
    means that nothing was written.
    """
    body = json.dumps(document).encode()
    for _attempt in store.addresses:
        address = store.addresses[store.preferred_index % len(store.addresses)]
        store.on_call(operation)
        try:
            return await post_call(store, address, operation, body)
        except PulleyError as error:
            store.preferred_index += 1
            warn_event(logger, "store_failed", operation=operation, error=str(error))
            if error.step != "connect":
                return UNKNOWN.because(str(error))
    return UNAVAILABLE.because("no address of the store accepts a connection")


async def post_call(
    store: Store, address: str, operation: str, body: bytes
) -> dict | Sentinel:
    """Send one call to one address and return its reply as ``call_store`` does."""
    response = await fetch(
        store.client,
        address,
        "POST",
        operation_path(operation),
        headers=JSON_HEADERS,
        body=body,
        timeout_ms=store.timeout_ms,
    )
    if response.status in NOTHING_WRITTEN_STATUSES:
        return UNAVAILABLE.because(f"the store answered {response.status}")
    if response.status != 200:
        return UNKNOWN.because(f"the store answered {response.status}")
    return parse_document(response.body, address)


def operation_path(operation: str) -> str:
    """Return the gateway's path for an operation."""
    if operation in ("range", "txn"):
        return f"/v3/kv/{operation}"
    return f"/v3/{operation}"


async def watch_key(
    store: Store, key: str, start_revision: int = 0
) -> AsyncIterator[KeyEvent]:
    """Yield changes of one key from ``start_revision`` on; 0 starts from now.

    Raises ConnectionLost, TimedOut or ProtocolError when the watch ends. The caller
    then watches again from the last revision it saw, plus one. Changes in between
    may have been compacted, so the caller reads the key first.
    """
    create = {"key": encode_bytes(key)}
    if start_revision:
        create["start_revision"] = str(start_revision)
    body = json.dumps({"create_request": create}).encode()
    address = store.addresses[store.preferred_index % len(store.addresses)]
    store.on_call("watch")
    try:
        response = await send_request(
            store.client,
            address,
            "POST",
            "/v3/watch",
            headers=JSON_HEADERS,
            body=body,
            timeout_ms=store.timeout_ms,
        )
    except PulleyError:
        store.preferred_index += 1
        raise
    async with aclosing(response.body) as chunks:
        async for line in split_lines(chunks, address):
            for event in parse_events(parse_document(line, address), address):
                yield event
    raise ConnectionLost("the watch ended", step="watch", peer=address)


async def split_lines(
    chunks: AsyncIterator[bytes], address: str
) -> AsyncIterator[bytes]:
    """Yield the non-empty lines of a streamed answer, each a JSON object.

    Raises ProtocolError if a line exceeds ``MAX_WATCH_LINE_BYTES``.
    """
    buffer = b""
    async for chunk in chunks:
        *lines, buffer = (buffer + chunk).split(b"\n")
        for line in lines:
            if line.strip():
                yield line
        if len(buffer) > MAX_WATCH_LINE_BYTES:
            raise ProtocolError(
                f"a watch line exceeds {MAX_WATCH_LINE_BYTES} bytes",
                step="watch",
                peer=address,
            )


def parse_events(document: dict, address: str) -> list[KeyEvent]:
    """Parse the events of one watch message.

    Raises ProtocolError if the store refused or cancelled the watch.
    """
    result = document.get("result")
    if result is None or result.get("canceled"):
        raise ProtocolError(
            "the store refused or cancelled the watch", step="watch", peer=address
        )
    revision = parse_revision(result)
    return [parse_event(event, revision) for event in result.get("events", ())]


def parse_event(event: dict, revision: int) -> KeyEvent:
    """Parse one event of a watch message."""
    match = parse_key_value(event["kv"])
    if event.get("type") == "DELETE":
        return KeyEvent(match.key, ABSENT, revision)
    return KeyEvent(match.key, match, revision)
