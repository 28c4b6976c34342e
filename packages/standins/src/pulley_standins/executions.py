"""Counters of executions per key, incremented when handling starts."""

from dataclasses import dataclass, field
from hashlib import blake2b

from pulley_http import Headers, find_header


@dataclass(slots=True)
class Executions:
    """How often each key was executed; ``GET /executions`` returns ``counts``."""

    counts: dict[str, int] = field(default_factory=dict)


def execution_key(headers: Headers, body: bytes) -> str:
    """Return the Idempotency-Key of a request, or a digest of its body if absent."""
    key = find_header(headers, b"idempotency-key")
    if key is not None:
        return key.decode("latin-1")
    return "body-" + blake2b(body, digest_size=8).hexdigest()


def count_execution(executions: Executions, headers: Headers, body: bytes) -> int:
    """Increment the counter of a request's key and return it."""
    key = execution_key(headers, body)
    executions.counts[key] = executions.counts.get(key, 0) + 1
    return executions.counts[key]
