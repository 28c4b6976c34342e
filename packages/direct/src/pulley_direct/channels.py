"""Kept connections to endpoints, within each service's limit."""

from collections import Counter
from dataclasses import dataclass, field

import h11

from pulley_base import Clock
from pulley_http.connections import ClientConnection, open_connection

# Many times a round trip between data centres, and under the shortest target.
CONNECT_TIMEOUT_MS = 200
# An endpoint that acknowledges nothing for this long is gone.
SILENCE_MS = 700
# Endpoints that say nothing of it close idle channels after some seconds.
IDLE_LIMIT_MS = 4_000
# A connection is not used again this shortly before its endpoint closes it.
IDLE_MARGIN_MS = 500


@dataclass(slots=True)
class Channel:
    """One connection to an endpoint, and until when it may be used again."""

    connection: ClientConnection
    address: str
    expires_ms: int = 0


@dataclass(slots=True)
class ChannelPool:
    """Idle channels by address, the last used on top."""

    clock: Clock
    idle: dict[str, list[Channel]] = field(default_factory=dict)
    n_open: Counter = field(default_factory=Counter)
    n_opened: int = 0


async def acquire_channel(pool: ChannelPool, address: str) -> Channel:
    """Give a kept channel, or open one.

    Raises ConnectionLost or TimedOut with the step ``connect``.
    """
    channel = take_idle(pool, address)
    if channel is not None:
        return channel
    pool.n_open[address] += 1
    try:
        connection = await open_connection(address, CONNECT_TIMEOUT_MS, SILENCE_MS)
    except BaseException:
        pool.n_open[address] -= 1
        raise
    pool.n_opened += 1
    return Channel(connection, address)


def take_idle(pool: ChannelPool, address: str) -> Channel | None:
    """Give a kept channel that still looks open, or None."""
    kept = pool.idle.get(address, [])
    now_ms = pool.clock.now_ms()
    while kept:
        channel = kept.pop()
        if channel.expires_ms > now_ms and channel.connection.is_fresh():
            return channel
        close_channel(pool, channel)
    return None


def release_channel(
    pool: ChannelPool, channel: Channel, idle_timeout_ms: int | None
) -> None:
    """Keep a channel whose exchange is complete, where it can carry another."""
    connection = channel.connection
    limit_ms = IDLE_LIMIT_MS if idle_timeout_ms is None else idle_timeout_ms
    limit_ms = min(IDLE_LIMIT_MS, limit_ms - IDLE_MARGIN_MS)
    try:
        connection.h11.start_next_cycle()
    except h11.LocalProtocolError:
        close_channel(pool, channel)
        return
    if limit_ms <= 0 or not connection.is_fresh():
        close_channel(pool, channel)
        return
    channel.expires_ms = pool.clock.deadline_ms(limit_ms)
    pool.idle.setdefault(channel.address, []).append(channel)


def close_channel(pool: ChannelPool, channel: Channel) -> None:
    """Close a channel at once; what its endpoint was doing for it ends."""
    pool.n_open[channel.address] -= 1
    if pool.n_open[channel.address] <= 0:
        del pool.n_open[channel.address]
    transport = channel.connection.transport
    if transport is not None:
        transport.abort()


def close_idle(pool: ChannelPool, kept_addresses: set[str]) -> None:
    """Close the idle channels that are too old or whose endpoint is gone."""
    now_ms = pool.clock.now_ms()
    for address, kept in list(pool.idle.items()):
        gone = address not in kept_addresses
        old = [one for one in kept if gone or one.expires_ms <= now_ms]
        for channel in old:
            kept.remove(channel)
            close_channel(pool, channel)
        if not kept:
            del pool.idle[address]
