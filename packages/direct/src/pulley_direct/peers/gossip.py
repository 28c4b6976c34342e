"""Gossip between routers: datagrams with what one of them learned of an endpoint.

An endpoint reports its load, a limit, and that it leaves, only with its answers. Of
many routers, most would send to it without having heard of it. Crash reports go by
the store as well, which is slower and may be away.
"""

import asyncio
import logging
from collections.abc import Callable
from random import sample

from pulley_base import log_event, split_address, warn_event
from pulley_policy.buckets import TokenBucket, take

from ..state.counters import SENT
from ..state.jobs import Job
from ..state.loads import RateLimit, get_state
from ..state.models import CrashReports, Endpoint
from ..state.routers import Router
from .gossip_messages import (
    MAX_DATAGRAM_BYTES,
    MAX_DURATION_PERCENT,
    MAX_RATE_PER_KS,
    LeavingMessage,
    LimitEndedMessage,
    LimitMessage,
    LoadMessage,
    Message,
    encode_message,
)

logger = logging.getLogger(__name__)

# With more routers each hears of fewer loads, and each datagram counts for less.
MAX_RECEIVERS = 12
# The load of a busy endpoint changes little in this time.
TELL_INTERVAL_MS = 100
# A few hundred bytes a second, whatever the size of the fleet.
TELL_LOADS_PER_S = 1.5
TELL_LOADS_BURST = 1.0
# A rate that has changed by less is not told again.
TOLD_RATE_TOLERANCE = 0.25
TELL_LIMIT_INTERVAL_MS = 1_000
# As many endpoints go down at once, their crash reports are left to the store.
TELL_CRASHES_PER_S = 20
TELL_CRASHES_BURST = 32


class GossipPort(asyncio.DatagramProtocol):
    """The callbacks of a router's datagram socket."""

    def __init__(self, handle: Callable[[bytes, str], None]):
        self.handle = handle

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Handle one datagram."""
        self.handle(data, f"{source[0]}:{source[1]}")

    def error_received(self, error: OSError) -> None:
        """Log that a receiver can't be reached; its datagram is lost."""
        logger.debug("datagram_lost", extra={"error": str(error)})

    def connection_lost(self, error: Exception | None) -> None:
        """Log that the port was closed by an error: no more is told or heard."""
        if error is not None:
            warn_event(logger, "gossip_lost", error=repr(error))


async def open_gossip(router: Router, handle: Callable[[bytes, str], None]) -> None:
    """Open the router's port for datagrams, if its settings name one.

    ``handle`` gets each datagram and the address that it came from.

    Without the port the router serves by what it hears itself.
    """
    settings = router.settings
    port = settings.peer_ports[0]
    if not port:
        return
    loop = asyncio.get_running_loop()
    try:
        router.gossip, _ = await loop.create_datagram_endpoint(
            lambda: GossipPort(handle),
            local_addr=(settings.ip, port),
        )
    except OSError as error:
        log_event(logger, "gossip_not_started", port=port, error=str(error))


def tell_load(router: Router, job: Job, endpoint: Endpoint) -> None:
    """Tell some routers the load that an endpoint just reported.

    One over its bound always, others as often as the budget for datagrams allows.
    """
    reported = job.reported
    if router.gossip is None or reported is None:
        return
    # Each one takes from the budget, so that none is left while many are over.
    has_budget = take(load_bucket(router), router.clock.now_ms())
    is_over = reported.n_requests > job.placement.bound
    if not (may_tell_again(router, endpoint) if is_over else has_budget):
        return
    percent = min(reported.duration_percent, MAX_DURATION_PERCENT)
    send_message(router, LoadMessage(endpoint.name, reported.n_requests, percent))


def may_tell_again(router: Router, endpoint: Endpoint) -> bool:
    """Check whether an endpoint's load over its bound was not told just now."""
    state = get_state(router.loads, endpoint.name)
    now_ms = router.clock.now_ms()
    if now_ms < state.tell_after_ms:
        return False
    state.tell_after_ms = now_ms + TELL_INTERVAL_MS
    return True


def load_bucket(router: Router) -> TokenBucket:
    """Return the budget for telling loads that are within their bounds."""
    if router.load_bucket is None:
        router.load_bucket = start_full(router, TELL_LOADS_PER_S, TELL_LOADS_BURST)
    return router.load_bucket


def start_full(router: Router, rate_per_s: float, burst: float) -> TokenBucket:
    """Return a bucket that may be used up at once."""
    return TokenBucket(rate_per_s, burst, burst, router.clock.now_ms())


def tell_leaving(router: Router, endpoint: Endpoint) -> None:
    """Tell some routers that an endpoint has just said that it leaves."""
    send_message(router, LeavingMessage(endpoint.name, endpoint.started_ms))


def tell_limit(router: Router, endpoint: Endpoint, limit: RateLimit) -> None:
    """Tell some routers the limit that an endpoint names, if it is new to them."""
    told, now_ms = limit.told_rate_per_s, router.clock.now_ms()
    if told is not None:
        is_same = abs(limit.rate_per_s - told) <= told * TOLD_RATE_TOLERANCE
        if is_same or now_ms - limit.told_ms < TELL_LIMIT_INTERVAL_MS:
            return
    limit.told_rate_per_s, limit.told_ms = limit.rate_per_s, now_ms
    rate_per_ks = min(MAX_RATE_PER_KS, int(limit.rate_per_s * 1_000))
    send_message(router, LimitMessage(endpoint.name, endpoint.started_ms, rate_per_ks))


def tell_limit_ended(router: Router, endpoint: Endpoint) -> None:
    """Tell some routers that an endpoint names no limit any more."""
    send_message(router, LimitEndedMessage(endpoint.name, endpoint.started_ms))


def tell_crashes(router: Router, reports: CrashReports) -> None:
    """Tell some routers of new crash reports or clearances, unless there are many.

    Reports that fit into no datagram reach them by the store.
    """
    data = encode_message(reports)
    if len(data) > MAX_DATAGRAM_BYTES:
        return
    if router.crash_bucket is None:
        router.crash_bucket = start_full(router, TELL_CRASHES_PER_S, TELL_CRASHES_BURST)
    if take(router.crash_bucket, router.clock.now_ms()):
        send_datagram(router, data)


def send_message(router: Router, message: Message) -> int:
    """Send a message to some other routers; return to how many."""
    return send_datagram(router, encode_message(message))


def send_datagram(router: Router, data: bytes) -> int:
    """Send a datagram to some other routers, if there is a port for it.

    Returns to how many.
    """
    n_sent = 0
    if router.gossip is None:
        return n_sent
    for address in choose_receivers(router):
        if router.gossip.get_write_buffer_size():
            # The link is full; datagrams must not fill the memory.
            break
        router.gossip.sendto(data, address)
        n_sent += 1
    router.counters.gossip[SENT] += n_sent
    return n_sent


def reply(router: Router, message: Message, source: str) -> None:
    """Send a message to the IP:port that a datagram came from, uncounted."""
    if router.gossip is None or router.gossip.get_write_buffer_size():
        return
    router.gossip.sendto(encode_message(message), split_address(source))


def close_gossip(router: Router) -> None:
    """Close the port."""
    if router.gossip is not None:
        router.gossip.close()
        router.gossip = None


def choose_receivers(router: Router) -> list[tuple[str, int]]:
    """Return the hosts and ports of some other routers, at random."""
    others = [
        split_address(entry.address)
        for entry in router.fleet_view.routers.values()
        if entry.name != router.settings.instance
    ]
    reachable = [(host, port) for host, port in others if port]
    return sample(reachable, min(MAX_RECEIVERS, len(reachable)))
