"""A pool of reusable connections to endpoints."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import h11

from pulley_base import Clock
from pulley_http.connections import (
    ClientConnection,
    open_connection,
    set_user_timeout,
)

# Many times a round trip between data centres, and below the shortest target of a
# route (``target_ms``).
CONNECT_TIMEOUT_MS = 200
# The kernel ends a connection whose endpoint leaves sent bytes or keep-alive probes
# unacknowledged for about this long.
ACK_TIMEOUT_MS = 700
# Endpoints that do not announce an idle timeout close idle connections after some
# seconds. Longer announced timeouts are limited to this as well.
MAX_IDLE_MS = 4_000
# Subtracted from the endpoint's idle timeout, announced or assumed: a connection is not
# reused this shortly before its endpoint closes it.
IDLE_MARGIN_MS = 500


# A request of up to this size fits into any endpoint's receive window. An endpoint that
# leaves bytes of a longer one unacknowledged may just not have read it yet.
MAX_WINDOW_BYTES = 64 * 1024


@dataclass(slots=True)
class Channel:
    """One connection to an endpoint.

    ``expires_ms`` is the clock reading until which it may be reused. ``is_patient``
    says that it carried a long request, which its endpoint may not have read yet: an
    endpoint may answer before. ``n_requests`` counts the requests sent on it.
    ``writing`` is the task that writes a long request, None for others.
    """

    connection: ClientConnection
    address: str
    expires_ms: int = 0
    is_patient: bool = False
    n_requests: int = 0
    writing: asyncio.Task | None = None

    @property
    def is_writing(self) -> bool:
        """Return whether a long request is still being written."""
        return self.writing is not None and not self.writing.done()


@dataclass(slots=True)
class ChannelPool:
    """Idle channels by address, the most recently used last.

    ``n_open`` counts the channels by address that are open or being opened,
    ``n_opened`` all that were ever opened.
    """

    clock: Clock
    idle: dict[str, list[Channel]] = field(default_factory=dict)
    n_open: Counter = field(default_factory=Counter)
    n_opened: int = 0


async def connect_channel(pool: ChannelPool, address: str) -> Channel:
    """Open a new channel.

    Raises ConnectionLost or TimedOut with the step ``connect``.
    """
    pool.n_open[address] += 1
    try:
        connection = await open_connection(address, CONNECT_TIMEOUT_MS, ACK_TIMEOUT_MS)
    except BaseException:
        pool.n_open[address] -= 1
        raise
    pool.n_opened += 1
    return Channel(connection, address)


def take_idle(pool: ChannelPool, address: str) -> Channel | None:
    """Return an idle channel that still looks open, None if there is none."""
    idle = pool.idle.get(address, [])
    now_ms = pool.clock.now_ms()
    while idle:
        channel = idle.pop()
        if channel.expires_ms > now_ms and channel.connection.is_reusable():
            return channel
        close_channel(pool, channel)
    return None


def allow_late_reading(channel: Channel, n_bytes: int, left_ms: int) -> None:
    """Let the endpoint read a request of ``n_bytes`` late if it is a long one.

    So too if an earlier one on the channel was long. ``left_ms`` is the time to the
    request's deadline.
    """
    channel.is_patient = channel.is_patient or n_bytes > MAX_WINDOW_BYTES
    if channel.is_patient:
        set_user_timeout(channel.connection, max(ACK_TIMEOUT_MS, left_ms))


def release_channel(
    pool: ChannelPool, channel: Channel, idle_timeout_ms: int | None
) -> None:
    """Return the channel of a complete exchange to the pool, or close it.

    It is closed if the connection can't carry another request.
    ``idle_timeout_ms`` is the idle timeout that the endpoint announced, None if
    it did not.
    """
    connection = channel.connection
    idle_ms = MAX_IDLE_MS if idle_timeout_ms is None else idle_timeout_ms
    idle_ms = min(MAX_IDLE_MS, idle_ms - IDLE_MARGIN_MS)
    try:
        connection.h11.start_next_cycle()
    except h11.LocalProtocolError:
        close_channel(pool, channel)
        return
    if idle_ms <= 0 or not connection.is_reusable():
        close_channel(pool, channel)
        return
    channel.expires_ms = pool.clock.deadline_ms(idle_ms)
    pool.idle.setdefault(channel.address, []).append(channel)


def close_idle(pool: ChannelPool, address: str) -> None:
    """Close the idle channels to an address, as another one to it has gone silent."""
    for channel in pool.idle.pop(address, ()):
        close_channel(pool, channel)


def close_oldest_idle(pool: ChannelPool) -> bool:
    """Close the idle channel that expires first; return False if none is idle."""
    channels = (one for idle in pool.idle.values() for one in idle)
    oldest = min(channels, key=lambda one: one.expires_ms, default=None)
    if oldest is None:
        return False
    pool.idle[oldest.address].remove(oldest)
    close_channel(pool, oldest)
    return True


def close_channel(pool: ChannelPool, channel: Channel) -> None:
    """Close a channel at once.

    If a request is in progress on it, this cancels the endpoint's work on that
    request; an idle channel has none.
    """
    pool.n_open[channel.address] -= 1
    if pool.n_open[channel.address] <= 0:
        del pool.n_open[channel.address]
    if channel.writing is not None:
        channel.writing.cancel()
    transport = channel.connection.transport
    if transport is not None:
        transport.abort()


def close_unusable_idle(pool: ChannelPool, live_addresses: set[str]) -> None:
    """Close the idle channels that can't be used again, and leave the others open.

    Those are the ones that have expired or whose address is not in
    ``live_addresses``.
    """
    now_ms = pool.clock.now_ms()
    for address, idle in list(pool.idle.items()):
        unlisted = address not in live_addresses
        unusable = [one for one in idle if unlisted or one.expires_ms <= now_ms]
        for channel in unusable:
            idle.remove(channel)
            close_channel(pool, channel)
        if not idle:
            del pool.idle[address]
