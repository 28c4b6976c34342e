"""What a router makes of the datagrams that other routers send to it."""

import logging

from pulley_base import ProtocolError
from pulley_policy.losses import count_crashes

from .endpoints.departures import record_leaving
from .endpoints.limits import hear_peer_limit, hear_peer_limit_ended
from .peers.gossip import MAX_RECEIVERS, tell_crashes
from .peers.gossip_messages import (
    EndpointMessage,
    LeavingMessage,
    LimitEndedMessage,
    LimitMessage,
    LoadMessage,
    Message,
    VersionMessage,
    decode_message,
)
from .peers.versions import answer_version, hear_version
from .state.counters import DROPPED, RECEIVED
from .state.crash_log import add_reports
from .state.fleet_views import LeavingSource
from .state.loads import record_load
from .state.models import CrashReports
from .state.routers import Router

logger = logging.getLogger(__name__)


def receive(router: Router, data: bytes, source: str) -> None:
    """Record what another router tells of an endpoint, a crash or its version.

    A datagram is dropped if it does not come from a listed router, is malformed or
    says something of an endpoint that is not listed. Crash reports hold for those too,
    and any router that asks for a version is answered.
    """
    try:
        message = decode_message(data, source)
        if isinstance(message, VersionMessage) and message.asks:
            answer_version(router, source)
            return
        check_source(router, source)
        check_endpoint(router, message, source)
    except ProtocolError as error:
        router.counters.gossip[DROPPED] += 1
        logger.debug("datagram_dropped", extra={"error": str(error)})
        return
    if isinstance(message, VersionMessage):
        hear_version(router, message)
        return
    router.counters.gossip[RECEIVED] += 1
    if isinstance(message, CrashReports):
        hear_of_crashes(router, message)
    else:
        apply_message(router, message)


def check_source(router: Router, source: str) -> None:
    """Raise ProtocolError for a datagram that does not come from a listed router."""
    routers = router.fleet_view.routers.values()
    if all(entry.address != source for entry in routers):
        raise ProtocolError("not from a router", step="receive", peer=source)


def check_endpoint(router: Router, message: Message, source: str) -> None:
    """Raise ProtocolError for a message about an endpoint that is not listed."""
    if isinstance(message, CrashReports | VersionMessage):
        return
    if message.endpoint not in router.fleet_view.endpoints:
        raise ProtocolError("not an endpoint", step="receive", peer=source)


def hear_of_crashes(router: Router, reports: CrashReports) -> None:
    """Add what another router tells of crashes, and tell on what was new and repeated.

    With many routers each tells only some of them.
    """
    crash_log = router.fleet_view.crash_log
    new = add_reports(crash_log, reports, router.clock.now_ms())
    n_crashes = (count_crashes(crash_log.evidence, lost.request) for lost in new.lost)
    if len(router.fleet_view.routers) > MAX_RECEIVERS and (
        new.cleared or max(n_crashes, default=0) > 1
    ):
        tell_crashes(router, new)


def apply_message(router: Router, message: EndpointMessage) -> None:
    """Record what a message says; another start of an endpoint is not the one meant."""
    endpoint = router.fleet_view.endpoints[message.endpoint]
    if isinstance(message, LoadMessage):
        record_load(
            router.loads,
            message.endpoint,
            message.n_requests,
            message.duration_percent,
        )
    elif message.started_ms != endpoint.started_ms:
        return
    elif isinstance(message, LeavingMessage):
        record_leaving(router.fleet_view, endpoint, LeavingSource.PEER)
    elif isinstance(message, LimitMessage):
        hear_peer_limit(router, endpoint, message.rate_per_ks / 1_000)
    elif isinstance(message, LimitEndedMessage):
        hear_peer_limit_ended(router, endpoint)
