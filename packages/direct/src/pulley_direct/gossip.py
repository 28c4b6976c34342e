"""Gossip between routers: datagrams with what an endpoint told one of them.

An endpoint reports its load, and that it leaves, only with its answers. Of many
routers, most would send to it without having heard of it.
"""

import asyncio
import logging
from collections.abc import Callable
from random import sample

from pulley_base import ProtocolError, log_event

from .counters import DROPPED, RECEIVED, SENT
from .departures import record_leaving
from .fleet_views import LeavingSource
from .gossip_messages import (
    LeavingMessage,
    LoadMessage,
    Message,
    decode_message,
    encode_message,
)
from .jobs import Job
from .loads import get_state, record_load
from .models import Endpoint
from .routers import Router

logger = logging.getLogger(__name__)

# With more routers each hears of fewer loads, and each datagram counts for less.
MAX_RECEIVERS = 12
# The load of a busy endpoint changes little in this time.
TELL_INTERVAL_MS = 100


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


async def open_gossip(router: Router) -> None:
    """Open the router's port for datagrams, if its settings name one.

    Without the port the router serves by what it hears itself.
    """
    settings = router.settings
    port = settings.peer_ports[0]
    if not port:
        return
    loop = asyncio.get_running_loop()
    try:
        router.gossip, _ = await loop.create_datagram_endpoint(
            lambda: GossipPort(lambda data, source: receive(router, data, source)),
            local_addr=(settings.ip, port),
        )
    except OSError as error:
        log_event(logger, "gossip_not_started", port=port, error=str(error))


def tell_load(router: Router, job: Job, endpoint: Endpoint) -> None:
    """Tell some routers the load that an endpoint just reported, if over its bound."""
    if router.gossip is None or job.reported is None:
        return
    n_requests = job.reported.n_requests
    state = get_state(router.loads, endpoint.name)
    now_ms = router.clock.now_ms()
    if now_ms < state.tell_after_ms or n_requests <= job.placement.bound:
        return
    state.tell_after_ms = now_ms + TELL_INTERVAL_MS
    send_message(router, LoadMessage(endpoint.name, n_requests))


def tell_leaving(router: Router, endpoint: Endpoint) -> None:
    """Tell some routers that an endpoint has just said that it leaves."""
    if router.gossip is not None:
        send_message(router, LeavingMessage(endpoint.name, endpoint.started_ms))


def send_message(router: Router, message: Message) -> None:
    """Send a message to some other routers."""
    data = encode_message(message)
    for address in choose_receivers(router):
        if router.gossip.get_write_buffer_size():
            # The link is full; datagrams must not fill the memory.
            return
        router.gossip.sendto(data, address)
        router.counters.gossip[SENT] += 1


def close_gossip(router: Router) -> None:
    """Close the port."""
    if router.gossip is not None:
        router.gossip.close()
        router.gossip = None


def choose_receivers(router: Router) -> list[tuple[str, int]]:
    """Return the hosts and ports of some other routers, at random."""
    entries = router.fleet_view.routers.items()
    others = [address for name, address in entries if name != router.settings.instance]
    chosen = sample(others, min(MAX_RECEIVERS, len(others)))
    parts = [address.rpartition(":") for address in chosen]
    return [(host, int(port)) for host, _, port in parts if port.isdecimal()]


def receive(router: Router, data: bytes, source: str) -> None:
    """Record what another router tells of an endpoint.

    A datagram is dropped if it does not come from a listed router, is malformed or
    names an endpoint that is not listed.
    """
    try:
        if source not in router.fleet_view.routers.values():
            raise ProtocolError("not from a router", step="receive", peer=source)
        message = decode_message(data)
        if message.endpoint not in router.fleet_view.endpoints:
            raise ProtocolError("not an endpoint", step="receive", peer=source)
    except ProtocolError as error:
        router.counters.gossip[DROPPED] += 1
        logger.debug("datagram_dropped", extra={"error": str(error)})
        return
    router.counters.gossip[RECEIVED] += 1
    apply_message(router, message)


def apply_message(router: Router, message: Message) -> None:
    """Record what a message says; another start of an endpoint is not the one meant."""
    endpoint = router.fleet_view.endpoints[message.endpoint]
    if isinstance(message, LoadMessage):
        record_load(router.loads, message.endpoint, message.n_requests)
    elif message.started_ms == endpoint.started_ms:
        record_leaving(router.fleet_view, endpoint, LeavingSource.PEER)
