"""What watchers answer the routers that follow them, under a keyed digest.

The digest covers a number that the follower draws for each request, so that no answer
counts but that of the watcher to this very request.

>>> answer = RelayAnswer(items=(), revision=7, era=1, whole=False, confirmed_ms=-20)
>>> body = encode_answer(answer)
>>> decode_answer(body) == answer
True
"""

import json
import os
import zlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from pulley_base import ProtocolError

from ..state.mirrors import StoredItem

CHANGES_PATH = "/changes"
NONCE_HEADER = b"pulley-nonce"
DIGEST_HEADER = b"pulley-digest"
DIGEST_BYTES = 16
# A longer key than blake2b accepts is nobody's.
MAX_KEY_BYTES = 64
HEAD_END = b"\n"
PLAIN, COMPRESSED = b"p", b"z"
# Shorter answers are not worth the memory of a compressor.
MIN_COMPRESSED_BYTES = 4_096
# The fastest.
LEVEL = 1
# Far more than a store of this size holds.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Changes of the store since the revision asked for, or all it holds if ``whole``.

    ``confirmed_ms`` is when the store last confirmed that nothing newer exists,
    counted from the moment at which the watcher read the request, usually before an
    answer is sent; negative if it was earlier. ``outage_ms`` is when the store was last
    back after an outage, counted likewise, None if it was not away.
    """

    items: tuple[StoredItem, ...]
    revision: int
    era: int | None
    whole: bool
    confirmed_ms: int
    outage_ms: int | None = None


def sign(key: str, nonce: bytes, data: bytes) -> bytes:
    """Return the digest of ``data`` under a router's key, for one request."""
    keyed = blake2b(key=key.encode()[:MAX_KEY_BYTES], digest_size=DIGEST_BYTES)
    keyed.update(b"%d " % len(nonce) + nonce + data)
    return keyed.hexdigest().encode()


def is_signed(key: str, nonce: bytes, data: bytes, digest: bytes | None) -> bool:
    """Check a digest; one under an empty key counts for nothing."""
    if not key or digest is None:
        return False
    # Compared under a key that nobody knows, so that the time taken tells nothing.
    secret = os.urandom(DIGEST_BYTES)
    found, expected = (
        blake2b(one, key=secret).digest() for one in (digest, sign(key, nonce, data))
    )
    return found == expected


def encode_answer(answer: RelayAnswer) -> bytes:
    """Return an answer as JSON, followed by the values of its items.

    Compressed if it is long.
    """
    sizes = [None if item.value is None else len(item.value) for item in answer.items]
    rows = zip(answer.items, sizes)
    document = {
        "items": [[item.key, size, item.revision] for item, size in rows],
        "revision": answer.revision,
        "era": answer.era,
        "whole": answer.whole,
        "confirmed_ms": answer.confirmed_ms,
        "outage_ms": answer.outage_ms,
    }
    values = b"".join(item.value or b"" for item in answer.items)
    data = json.dumps(document).encode() + HEAD_END + values
    if len(data) < MIN_COMPRESSED_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, LEVEL)


def decode_answer(body: bytes) -> RelayAnswer:
    """Parse an answer; raises ProtocolError with the step ``decode``."""
    kind, data = body[:1], body[1:]
    if kind not in (PLAIN, COMPRESSED):
        raise ProtocolError("of an unknown kind", step="decode")
    data = decompress(data) if kind == COMPRESSED else data
    head, _, values = data.partition(HEAD_END)
    try:
        document = json.loads(head)
    except ValueError as error:
        raise ProtocolError(str(error), step="decode") from error
    if not isinstance(document, dict) or not isinstance(document.get("items"), list):
        raise ProtocolError("not an object with items", step="decode")
    return RelayAnswer(
        items=tuple(decode_items(document["items"], values)),
        revision=read_number(document, "revision"),
        era=read_number(document, "era", optional=True),
        whole=document.get("whole") is True,
        confirmed_ms=read_number(document, "confirmed_ms"),
        outage_ms=read_number(document, "outage_ms", optional=True),
    )


def decompress(body: bytes) -> bytes:
    """Return what was compressed, up to the most that an answer may hold."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAX_ANSWER_BYTES)
    except zlib.error as error:
        raise ProtocolError(str(error), step="decode") from error
    if not decompressor.eof:
        raise ProtocolError("cut off or too long", step="decode")
    return data


def decode_items(rows: list, values: bytes) -> Iterator[StoredItem]:
    """Yield the items of rows with a key, the size of its value and a revision."""
    start = 0
    for row in rows:
        if not is_row(row):
            raise ProtocolError("not an item", step="decode")
        key, size, revision = row
        if size is None:
            yield StoredItem(key, None, revision)
            continue
        value = values[start : start + size]
        if len(value) != size:
            raise ProtocolError("a value is cut off", step="decode")
        start += size
        yield StoredItem(key, value, revision)


def is_row(row: object) -> bool:
    """Check that a row holds a key, a size or None, and a revision."""
    if not isinstance(row, list) or len(row) != 3 or not isinstance(row[0], str):
        return False
    key, size, revision = row
    has_size = size is None or (type(size) is int and size >= 0)
    return has_size and type(revision) is int


def read_number(document: Mapping, name: str, optional: bool = False) -> int | None:
    """Return a whole number, or None for an absent one that is optional."""
    value = document.get(name)
    if type(value) is int or (optional and value is None):
        return value
    raise ProtocolError(f"{name} is not a whole number", step="decode")
