"""Fencing numbers for endpoints that refuse an older one.

An agent takes one number for its lifetime: the store's revision of a write under
its endpoint's key. An agent that replaces another gets a higher one, so an endpoint
that checks the number refuses requests that a paused predecessor still sends.
"""

import asyncio
import logging
import secrets
from dataclasses import dataclass, field

from pulley_base import Clock, log_event, to_seconds
from pulley_http import Headers
from pulley_platform import Committed, Put, Store, commit_txn

from .claims import make_store_down_refusal

FENCING_HEADER = b"fencing-number"
READ_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
RETRY_INTERVAL_MS = 250
NONCE_BYTES = 8

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Fencing:
    """This agent's fencing number, 0 until it is acquired."""

    store: Store
    clock: Clock
    service: str
    engine: str
    number: int = 0
    acquire_lock: asyncio.Lock = field(default_factory=asyncio.Lock)


def needs_fencing_number(fencing: bool, method: str) -> bool:
    """Check whether a request carries a number: all except reads do."""
    return fencing and method not in READ_METHODS


async def acquire_number(fencing: Fencing, deadline_ms: int) -> None:
    """Acquire the number if there is none yet.

    Raises RequestRefused at the deadline. A write whose reply is lost is repeated,
    which is safe because the number only grows.
    """
    async with fencing.acquire_lock:
        while not fencing.number:
            nonce = secrets.token_bytes(NONCE_BYTES)
            key = f"engines/{fencing.service}/{fencing.engine}"
            result = await commit_txn(fencing.store, [], [Put(key, nonce)])
            if isinstance(result, Committed):
                fencing.number = result.revision
                log_event(logger, "fencing_taken", number=fencing.number)
            elif fencing.clock.now_ms() >= deadline_ms:
                raise make_store_down_refusal()
            else:
                await asyncio.sleep(to_seconds(RETRY_INTERVAL_MS))


def fencing_headers(fencing: Fencing) -> Headers:
    """Return the header that carries the number."""
    return [(FENCING_HEADER, b"%d" % fencing.number)]
