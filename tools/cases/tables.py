"""Bytes per entry of the tables in processes and in the store.

- ``pointer_bytes``: one chat in an agent's pointer table, by Python's allocator.
- ``warm_chat_bytes``: one chat in an agent's table of warm chats, likewise.
- ``claim_bytes``: key and value of the record of one claim in the store.
- ``delta_bytes``: the datagram that carries one changed rule, with its headers.
"""

import tracemalloc
from collections.abc import Callable
from hashlib import blake2b

from results import CaseResult

from pulley_fleet.followers import encode_delta
from pulley_policy.claims import ClaimedAttempt, Record, encode_record, record_key
from pulley_policy.pointers import PointerTable, WarmChats
from pulley_rules import make_delta
from pulley_wire import Frame
from pulley_wire.frames import encode_message

N_CHATS = 4_000
DATAGRAM_HEADER_BYTES = 28
ENDPOINTS = [f"10.0.0.{number}:4100" for number in range(200)]


async def run(seed: int, long: bool) -> CaseResult:
    """Measure the bytes of one entry of each table."""
    return CaseResult(
        {
            "pointer_bytes": measure_entry_bytes(fill_pointers),
            "warm_chat_bytes": measure_entry_bytes(fill_warm_chats),
            "claim_bytes": measure_claim_bytes(),
            "delta_bytes": measure_delta_bytes(),
        }
    )


def make_digest(number: int) -> bytes:
    """Return the 16-byte digest of the chat with a number."""
    return blake2b(b"%d" % number, digest_size=16).digest()


def measure_entry_bytes(fill: Callable[[], object]) -> float:
    """Return the allocated bytes per entry of the table that ``fill`` returns."""
    tracemalloc.start()
    table = fill()
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del table
    return n_bytes / N_CHATS


def fill_pointers() -> PointerTable:
    """Build a pointer table of 4,000 chats."""
    table = PointerTable()
    for number in range(N_CHATS):
        table.set(make_digest(number), ENDPOINTS[number % len(ENDPOINTS)])
    return table


def fill_warm_chats() -> WarmChats:
    """Build a table of 4,000 warm chats."""
    table = WarmChats()
    for number in range(N_CHATS):
        table.touch(make_digest(number), 500 + number)
    return table


def measure_claim_bytes() -> float:
    """Return the bytes of one claim's record in the store, key and value."""
    digest = make_digest(1)
    record = Record(ClaimedAttempt(digest, ENDPOINTS[0], digest, digest), ())
    return len(record_key(700, "alert-app", digest)) + len(encode_record(record))


def measure_delta_bytes() -> float:
    """Return the bytes of a datagram that carries one changed rule, with headers."""
    rule = "team fattorie weight={} max-running=12  # nino: farmers' quotes, early"
    before, after = [rule.format(2)], [rule.format(3)]
    delta = make_delta(4_000_000, before, 4_000_007, after)
    frame = Frame(revision=4_000_007, rules_delta=encode_delta(delta))
    frame.sender = ENDPOINTS[0]
    return len(encode_message(frame)) + DATAGRAM_HEADER_BYTES
