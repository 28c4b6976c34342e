"""Track requests that were in flight when an engine crashed.

A digest seen at two crashes is quarantined. Suspects run one at a time on an engine,
so at a second crash the one suspect in flight is the cause, and the requests beside
it become suspects for the first time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

QUARANTINE_CRASHES = 2
DIGEST_BYTES = 16
MAX_SUSPECTS = 10_000


@dataclass(slots=True)
class Suspect:
    """The ids of the crashes at which one digest was in flight."""

    crashes: set[str] = field(default_factory=set)
    expires_ms: int = 0


@dataclass(slots=True)
class Suspects:
    """Suspects by digest; each expires ``expiry_ms`` after its last crash."""

    expiry_ms: int
    by_digest: dict[bytes, Suspect] = field(default_factory=dict)


def digest_request(service: str, target: str, body: bytes) -> bytes:
    """Return the digest by which a repeated request is recognised."""
    data = b"\0".join((service.encode(), target.encode(), body))
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def record_crash(
    suspects: Suspects, crash: str, digests: Iterable[bytes], now_ms: int
) -> None:
    """Record that ``digests`` were in flight at one crash.

    A repeated report of the same crash doesn't count.
    """
    remove_expired(suspects, now_ms)
    for digest in digests:
        suspect = suspects.by_digest.setdefault(digest, Suspect())
        if crash not in suspect.crashes:
            suspect.crashes.add(crash)
            suspect.expires_ms = now_ms + suspects.expiry_ms


def remove_expired(suspects: Suspects, now_ms: int) -> None:
    """Remove expired suspects, and the oldest ones at ``MAX_SUSPECTS``."""
    by_digest = suspects.by_digest
    for digest in [
        key for key, suspect in by_digest.items() if suspect.expires_ms <= now_ms
    ]:
        del by_digest[digest]
    while len(by_digest) >= MAX_SUSPECTS:
        del by_digest[next(iter(by_digest))]


def count_crashes(suspects: Suspects, digest: bytes, now_ms: int) -> int:
    """Return the number of crashes at which a digest was in flight."""
    suspect = suspects.by_digest.get(digest)
    if suspect is None or suspect.expires_ms <= now_ms:
        return 0
    return len(suspect.crashes)


def is_quarantined(suspects: Suspects, digest: bytes, now_ms: int) -> bool:
    """Check whether a request is refused because of earlier crashes."""
    return count_crashes(suspects, digest, now_ms) >= QUARANTINE_CRASHES


def list_quarantined(suspects: Suspects, now_ms: int) -> list[bytes]:
    """Return the digests in quarantine, for the status page."""
    return [
        digest
        for digest in suspects.by_digest
        if is_quarantined(suspects, digest, now_ms)
    ]
