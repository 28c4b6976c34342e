"""The memory that bodies of requests and answers may take, over all requests.

A body that comes in reserves room before it is read: all that its caller announces, or
piece by piece. What does not fit is refused at once, unless others hold room without
using it: bodies that have stalled yield, the one that stalled first before all others.
A part of the room is for small bodies alone, so that ordinary requests are served
beside any number of large ones. An answer that an endpoint has made goes before all
bodies that are still coming in.
"""

from dataclasses import dataclass, field

# Bodies of ordinary requests are smaller, and use the room that is kept for them.
SMALL_BYTES = 128 * 1024
SMALL_SHARE = 0.25
# A body that grows by less than this in ``STALL_MS`` counts as stalled.
PROGRESS_BYTES = 16 * 1024
STALL_MS = 1_000


@dataclass(slots=True, eq=False)
class Holder:
    """The room that one request has reserved, in bytes.

    ``n_received`` are the bytes that have come of its body; ``grown_ms`` is the clock
    reading at which that last grew by ``PROGRESS_BYTES``, from ``n_grown``.
    ``is_incoming`` says that its body is not whole yet: until then it may have to
    yield.
    """

    n_bytes: int = 0
    n_received: int = 0
    n_grown: int = 0
    grown_ms: int = 0
    is_incoming: bool = True


@dataclass(slots=True)
class Account:
    """All reservations, and the most bytes that they may have together."""

    capacity_bytes: int
    n_bytes: int = 0
    holders: set[Holder] = field(default_factory=set)


def reserve(
    account: Account, holder: Holder, n_bytes: int, now_ms: int
) -> list[Holder] | None:
    """Reserve ``n_bytes`` more for a body that comes in.

    Returns the holders that yield for it, whose room is free at once, or None if there
    is no room.

    >>> account = Account(1_000_000)
    >>> reserve(account, Holder(), 700_000, 0), reserve(account, Holder(), 700_000, 0)
    ([], None)
    """
    is_small = holder.n_bytes + n_bytes <= SMALL_BYTES
    share = 1.0 if is_small else 1.0 - SMALL_SHARE
    lacking = account.n_bytes + n_bytes - account.capacity_bytes * share
    stalled = [
        one for one in account.holders if one is not holder and is_stalled(one, now_ms)
    ]
    return take_room(account, holder, n_bytes, lacking, stalled, now_ms)


def reserve_answer(
    account: Account, holder: Holder, n_bytes: int, now_ms: int
) -> list[Holder] | None:
    """Reserve ``n_bytes`` more for an answer that its endpoint has made.

    Returns the holders that yield for it, None if there is no room. Bodies that are
    still coming in yield, the longest stalled and the largest first.
    """
    lacking = account.n_bytes + n_bytes - account.capacity_bytes
    incoming = [one for one in account.holders if one is not holder and one.is_incoming]
    return take_room(account, holder, n_bytes, lacking, incoming, now_ms)


def take_room(
    account: Account,
    holder: Holder,
    n_bytes: int,
    lacking: float,
    candidates: list[Holder],
    now_ms: int,
) -> list[Holder] | None:
    """Release as many candidates as are needed and reserve; None without a change."""
    yielding = []
    order = sorted(candidates, key=lambda one: yield_order(one, now_ms))
    for one in order:
        if lacking <= 0:
            break
        yielding.append(one)
        lacking -= one.n_bytes
    if lacking > 0:
        return None
    for one in yielding:
        release(account, one)
    if not holder.n_bytes:
        holder.grown_ms = now_ms
    account.holders.add(holder)
    holder.n_bytes += n_bytes
    account.n_bytes += n_bytes
    return yielding


def yield_order(holder: Holder, now_ms: int) -> tuple[bool, int]:
    """Return the key by which holders yield: stalled ones first, then large ones."""
    if is_stalled(holder, now_ms):
        return False, holder.grown_ms
    return True, -holder.n_bytes


def is_stalled(holder: Holder, now_ms: int) -> bool:
    """Check whether a body that is coming in has not grown lately."""
    return holder.is_incoming and now_ms - holder.grown_ms >= STALL_MS


def record_received(holder: Holder, n_bytes: int, now_ms: int) -> None:
    """Record that more of a body has come."""
    holder.n_received += n_bytes
    if holder.n_received - holder.n_grown >= PROGRESS_BYTES:
        holder.n_grown, holder.grown_ms = holder.n_received, now_ms


def release(account: Account, holder: Holder) -> None:
    """Give back all that a request has reserved."""
    account.holders.discard(holder)
    account.n_bytes -= holder.n_bytes
    holder.n_bytes = 0
