"""In-memory keys, leases and transactions of the key-value service stand-in."""

import asyncio
from base64 import b64decode, b64encode
from dataclasses import dataclass, field


@dataclass(slots=True)
class Entry:
    """The value and the revisions of one key."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(slots=True)
class Lease:
    """A lease: its time to live and its expiry time on the monotonic clock."""

    ttl_s: int
    expires_s: float


@dataclass(slots=True)
class Watch:
    """An open watch on a range of keys."""

    first: bytes
    end: bytes
    events: asyncio.Queue = field(default_factory=asyncio.Queue)


@dataclass(slots=True)
class StoreState:
    """The whole state of the stand-in; the first revision is 1."""

    revision: int = 1
    entries: dict[bytes, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    watches: list[Watch] = field(default_factory=list)
    history: list[tuple[int, bytes, dict]] = field(default_factory=list)
    n_leases: int = 0


def encode_base64(data: bytes) -> str:
    """Return a key or value encoded as base64."""
    return b64encode(data).decode("ascii")


def get_field(document: dict, name: str, default=None):
    """Return a field by its name in snake or camel case; the gateway accepts both."""
    head, *rest = name.split("_")
    camel_name = head + "".join(part.title() for part in rest)
    return document.get(name, document.get(camel_name, default))


def in_range(key: bytes, first: bytes, end: bytes) -> bool:
    """Check whether a key is in a range.

    The range contains ``first`` and excludes ``end``. An empty ``end`` means the
    single key ``first``, and a zero byte means that there is no upper bound.
    """
    if not end:
        return key == first
    return key >= first and (end == b"\0" or key < end)


def key_range(document: dict) -> tuple[bytes, bytes]:
    """Return the first key and the end of a request's range."""
    end = get_field(document, "range_end", "")
    return b64decode(document["key"]), b64decode(end)


def reply_header(state: StoreState) -> dict:
    """Return the header of a reply."""
    return {"cluster_id": "1", "member_id": "1", "revision": str(state.revision)}


def entry_document(key: bytes, entry: Entry) -> dict:
    """Return a key and its entry as the document in a reply."""
    document = {
        "key": encode_base64(key),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
        "value": encode_base64(entry.value),
    }
    if entry.lease:
        document["lease"] = str(entry.lease)
    return document


def read_range(state: StoreState, document: dict) -> dict:
    """Answer a range request, at the requested revision if there is one."""
    first, end = key_range(document)
    at_revision = int(document.get("revision", 0))
    if at_revision:
        documents = read_history(state, first, end, at_revision)
    else:
        documents = read_entries(state, first, end)
    limit = int(document.get("limit", 0)) or len(documents)
    reply = {"header": reply_header(state), "count": str(len(documents))}
    min_mod_revision = int(get_field(document, "min_mod_revision", 0))
    found = [
        held for held in documents if int(held["mod_revision"]) >= min_mod_revision
    ]
    if found:
        reply["kvs"] = found[:limit]
    return reply


def read_entries(state: StoreState, first: bytes, end: bytes) -> list[dict]:
    """Return the current documents of the keys in a range."""
    if not end:
        keys = [first] if first in state.entries else []
    else:
        keys = sorted(key for key in state.entries if in_range(key, first, end))
    return [entry_document(key, state.entries[key]) for key in keys]


def read_history(
    state: StoreState, first: bytes, end: bytes, at_revision: int
) -> list[dict]:
    """Return the documents of the keys in a range as of one revision."""
    found: dict[bytes, dict] = {}
    for revision, key, event in state.history:
        if revision <= at_revision and in_range(key, first, end):
            found[key] = event
    events = [found[key] for key in sorted(found)]
    return [event["kv"] for event in events if event.get("type") != "DELETE"]


def put_key(state: StoreState, document: dict, revision: int) -> dict:
    """Write one key at ``revision``; raises LookupError if its lease does not exist."""
    key = b64decode(document["key"])
    lease = int(document.get("lease", 0))
    if lease and lease not in state.leases:
        raise LookupError("requested lease not found")
    old = state.entries.get(key)
    entry = Entry(
        b64decode(document.get("value", "")),
        old.create_revision if old else revision,
        revision,
        old.version + 1 if old else 1,
        lease,
    )
    state.entries[key] = entry
    state.revision = revision
    notify_watches(state, revision, key, {"kv": entry_document(key, entry)})
    return {"header": reply_header(state)}


def delete_range(state: StoreState, document: dict, revision: int) -> dict:
    """Delete a range of keys at ``revision``."""
    first, end = key_range(document)
    keys = [key for key in state.entries if in_range(key, first, end)]
    for key in keys:
        del state.entries[key]
        state.revision = revision
        deleted_document = {"key": encode_base64(key), "mod_revision": str(revision)}
        notify_watches(state, revision, key, {"type": "DELETE", "kv": deleted_document})
    return {"header": reply_header(state), "deleted": str(len(keys))}


def notify_watches(state: StoreState, revision: int, key: bytes, event: dict) -> None:
    """Append an event to the history and pass it to the watches of its key."""
    state.history.append((revision, key, event))
    for watch in state.watches:
        if in_range(key, watch.first, watch.end):
            watch.events.put_nowait(event)


COMPARE_FIELDS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
    "LEASE": "lease",
}

RELATIONS = {
    "EQUAL": lambda actual, expected: actual == expected,
    "NOT_EQUAL": lambda actual, expected: actual != expected,
    "GREATER": lambda actual, expected: actual > expected,
    "LESS": lambda actual, expected: actual < expected,
}


def evaluate_compare(state: StoreState, compare: dict) -> bool:
    """Return whether one comparison of a transaction is true."""
    entry = state.entries.get(b64decode(compare["key"]))
    name = COMPARE_FIELDS[compare.get("target", "VERSION")]
    relation = RELATIONS[compare.get("result", "EQUAL")]
    expected = get_field(compare, name, 0)
    if name == "value":
        return entry is not None and relation(entry.value, b64decode(expected or ""))
    return relation(getattr(entry, name) if entry else 0, int(expected))


def run_txn(state: StoreState, document: dict) -> dict:
    """Run a transaction; all of its writes have the same revision."""
    succeeded = all(
        evaluate_compare(state, compare) for compare in document.get("compare", ())
    )
    operations = document.get("success" if succeeded else "failure", ())
    revision = state.revision + 1
    replies = [run_operation(state, item, revision) for item in operations]
    reply = {"header": reply_header(state), "responses": replies}
    if succeeded:
        reply["succeeded"] = True
    return reply


def run_operation(state: StoreState, item: dict, revision: int) -> dict:
    """Run one operation of a transaction and return its reply."""
    put = get_field(item, "request_put")
    if put is not None:
        return {"response_put": put_key(state, put, revision)}
    delete = get_field(item, "request_delete_range")
    if delete is not None:
        return {"response_delete_range": delete_range(state, delete, revision)}
    return {"response_range": read_range(state, get_field(item, "request_range"))}


def grant_lease(state: StoreState, document: dict, now_s: float) -> dict:
    """Grant a lease with the requested ID, or with a new one if that is 0."""
    ttl_s = int(document["TTL"])
    state.n_leases += 1
    lease_id = int(document.get("ID", 0)) or 7_000_000 + state.n_leases
    state.leases[lease_id] = Lease(ttl_s, now_s + ttl_s)
    return {"header": reply_header(state), "ID": str(lease_id), "TTL": str(ttl_s)}


def renew_lease(state: StoreState, document: dict, now_s: float) -> dict:
    """Renew a lease; a TTL of 0 in the reply means that it has expired."""
    lease_id = int(document["ID"])
    lease = state.leases.get(lease_id)
    if lease is None:
        return {"result": {"ID": str(lease_id), "TTL": "0"}}
    lease.expires_s = now_s + lease.ttl_s
    return {"result": {"ID": str(lease_id), "TTL": str(lease.ttl_s)}}


def revoke_lease(state: StoreState, lease_id: int) -> dict:
    """Revoke a lease and delete its keys."""
    state.leases.pop(lease_id, None)
    held = [key for key, entry in state.entries.items() if entry.lease == lease_id]
    revision = state.revision + 1
    for key in held:
        delete_range(state, {"key": encode_base64(key)}, revision)
    return {"header": reply_header(state)}


def expire_leases(state: StoreState, now_s: float) -> None:
    """Revoke each lease that has expired."""
    expired = [key for key, lease in state.leases.items() if lease.expires_s <= now_s]
    for lease_id in expired:
        revoke_lease(state, lease_id)
