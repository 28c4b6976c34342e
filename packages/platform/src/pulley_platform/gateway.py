"""Encoding and parsing of the JSON messages of the etcd v3 gateway."""

import json
from base64 import b64decode, b64encode
from dataclasses import dataclass
from enum import StrEnum

from pulley_base import ABSENT, ProtocolError, Sentinel


class Target(StrEnum):
    """The property of a key that a compare checks."""

    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    VERSION = "VERSION"


COMPARE_FIELDS = {
    Target.CREATE: "create_revision",
    Target.MOD: "mod_revision",
    Target.VALUE: "value",
    Target.VERSION: "version",
}


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value; every write to the key changes ``mod_revision``."""

    key: str
    value: bytes
    version: int
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction: ``target`` of ``key`` equals ``expected``.

    >>> Compare("claims/1/bottega/ab", Target.VERSION, 0).key
    'claims/1/bottega/ab'
    """

    key: str
    target: Target
    expected: int | bytes


@dataclass(frozen=True, slots=True)
class Put:
    """A write of one key, bound to ``lease`` unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class DeletePrefix:
    """A deletion of every key that starts with ``prefix``."""

    prefix: str


Write = Put | DeletePrefix


def encode_bytes(data: bytes | str) -> str:
    """Return a key or value as base64 text; a string is encoded as UTF-8."""
    raw = data.encode() if isinstance(data, str) else data
    return b64encode(raw).decode("ascii")


def prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys that start with ``prefix``.

    ``prefix`` must not be empty.
    """
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def encode_compare(compare: Compare) -> dict:
    """Build the JSON object of one compare."""
    expected = compare.expected
    value = encode_bytes(expected) if isinstance(expected, bytes) else str(expected)
    return {
        "key": encode_bytes(compare.key),
        "target": str(compare.target),
        "result": "EQUAL",
        COMPARE_FIELDS[compare.target]: value,
    }


def encode_write(write: Write) -> dict:
    """Build the JSON object of one write of a transaction."""
    if isinstance(write, DeletePrefix):
        key_range = {
            "key": encode_bytes(write.prefix),
            "range_end": encode_bytes(prefix_end(write.prefix)),
        }
        return {"request_delete_range": key_range}
    put = {"key": encode_bytes(write.key), "value": encode_bytes(write.value)}
    if write.lease:
        put["lease"] = str(write.lease)
    return {"request_put": put}


def encode_read(key: str) -> dict:
    """Build the JSON object of one read of a transaction."""
    return {"request_range": {"key": encode_bytes(key)}}


def parse_document(body: bytes, peer: str) -> dict:
    """Parse the JSON object in ``body``; raises ProtocolError for anything else."""
    try:
        document = json.loads(body)
    except ValueError as error:
        raise ProtocolError("invalid JSON", step="store", peer=peer) from error
    if not isinstance(document, dict):
        raise ProtocolError("not a JSON object", step="store", peer=peer)
    return document


def parse_key_value(document: dict) -> KeyValue:
    """Parse one key of a reply."""
    return KeyValue(
        b64decode(document["key"]).decode(),
        b64decode(document.get("value", "")),
        int(document.get("version", 0)),
        int(document.get("mod_revision", 0)),
    )


def parse_range(document: dict) -> KeyValue | Sentinel:
    """Return the first key of a range reply, ABSENT if it has none."""
    matches = document.get("kvs") or []
    return parse_key_value(matches[0]) if matches else ABSENT


def parse_revision(document: dict) -> int:
    """Return the store's revision from a reply's header, 0 if it is absent."""
    return int(document.get("header", {}).get("revision", 0))


def parse_reads(document: dict) -> tuple[KeyValue | Sentinel, ...]:
    """Return the results of a transaction's reads, in their order."""
    replies = document.get("responses") or []
    ranges = (
        reply.get("response_range", reply.get("responseRange")) for reply in replies
    )
    return tuple(
        parse_range(key_range) for key_range in ranges if key_range is not None
    )
