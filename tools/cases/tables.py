"""Sizes of what processes and the store hold, one entry at a time.

- ``pointer_bytes``: Python's allocator, for one chat in an agent's pointer table.
- ``warm_chat_bytes``: the same for one chat in an agent's table of warm chats.
- ``claim_bytes``: key and value of one claim's record in the store.
- ``delta_bytes``: one changed rule as it travels, a datagram's headers included.
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
    """Measure each table."""
    return CaseResult(
        {
            "pointer_bytes": measure_growth(fill_pointers),
            "warm_chat_bytes": measure_growth(fill_warm_chats),
            "claim_bytes": measure_claim(),
            "delta_bytes": measure_delta(),
        }
    )


def make_digest(number: int) -> bytes:
    """Give the digest of a numbered chat."""
    return blake2b(b"%d" % number, digest_size=16).digest()


def measure_growth(fill: Callable[[], object]) -> float:
    """Give the bytes that one entry adds to a table."""
    tracemalloc.start()
    table = fill()
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del table
    return n_bytes / N_CHATS


def fill_pointers() -> PointerTable:
    """Fill a pointer table."""
    table = PointerTable()
    for number in range(N_CHATS):
        table.set(make_digest(number), ENDPOINTS[number % len(ENDPOINTS)])
    return table


def fill_warm_chats() -> WarmChats:
    """Fill a table of warm chats."""
    table = WarmChats()
    for number in range(N_CHATS):
        table.touch(make_digest(number), 500 + number)
    return table


def measure_claim() -> float:
    """Give the size of one claim's record in the store."""
    digest = make_digest(1)
    record = Record(ClaimedAttempt(digest, ENDPOINTS[0], digest, digest), ())
    return len(record_key(700, "alert-app", digest)) + len(encode_record(record))


def measure_delta() -> float:
    """Give the size of a datagram that carries one changed rule."""
    rule = "team fattorie weight={} max-running=12  # nino: farmers' quotes, early"
    before, after = [rule.format(2)], [rule.format(3)]
    delta = make_delta(4_000_000, before, 4_000_007, after)
    frame = Frame(revision=4_000_007, rules_delta=encode_delta(delta))
    frame.sender = ENDPOINTS[0]
    return len(encode_message(frame)) + DATAGRAM_HEADER_BYTES
