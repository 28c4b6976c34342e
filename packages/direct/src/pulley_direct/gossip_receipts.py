"""What a router makes of the datagrams that other routers send to it."""

import logging

from pulley_base import ProtocolError

from .counters import DROPPED, RECEIVED
from .departures import record_leaving
from .fleet_views import LeavingSource
from .gossip_messages import (
    LeavingMessage,
    LimitEndedMessage,
    LimitMessage,
    LoadMessage,
    Message,
    decode_message,
)
from .limits import hear_peer_limit, hear_peer_limit_ended
from .loads import record_load
from .routers import Router

logger = logging.getLogger(__name__)


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
    elif message.started_ms != endpoint.started_ms:
        return
    elif isinstance(message, LeavingMessage):
        record_leaving(router.fleet_view, endpoint, LeavingSource.PEER)
    elif isinstance(message, LimitMessage):
        hear_peer_limit(router, endpoint, message.rate_per_ks / 1_000)
    elif isinstance(message, LimitEndedMessage):
        hear_peer_limit_ended(router, endpoint)
