"""Versions of the configuration that routers tell each other.

A store that was restored from a copy may hold an older configuration than was accepted.
Routers that run keep the newer one; one that starts reads the older one and can't tell.
So it asks others, as do all after a restore, and holds requests back while a peer has a
newer configuration.
"""

import logging

from pulley_base import log_event

from ..state.fleet_views import FleetView
from ..state.routers import Router
from ..state.signals import wait_until
from .gossip import reply, send_message
from .gossip_messages import VersionMessage

logger = logging.getLogger(__name__)

# Longer than a datagram's way to a peer and back within a region.
ANSWER_WAIT_MS = 30
# The operator writes a lost configuration again sooner. After this time the store's
# word counts.
MAX_WAIT_MS = 10_000


async def ask_versions(router: Router) -> None:
    """Ask other routers for their versions at the start, and after each restore.

    At the start requests wait for the answers, for a short time at most.
    """
    fleet_view = router.fleet_view
    while fleet_view.configuration is None:
        await fleet_view.changed.wait()
    n_restores = fleet_view.n_restores
    await learn_versions(router)
    while True:
        while fleet_view.n_restores == n_restores:
            await fleet_view.restored.wait()
        n_restores = fleet_view.n_restores
        ask_once(router)


async def learn_versions(router: Router) -> None:
    """Ask other routers, and let requests wait until these have answered or may not."""
    fleet_view = router.fleet_view
    try:
        n_asked = ask_once(router)
        await wait_until(
            fleet_view.versions_heard,
            lambda: fleet_view.n_version_answers >= n_asked,
            ANSWER_WAIT_MS,
        )
    finally:
        fleet_view.awaits_versions = False
        fleet_view.changed.notify()


def ask_once(router: Router) -> int:
    """Ask some other routers for their versions; return how many."""
    version = router.fleet_view.configuration.version
    return send_message(router, VersionMessage(version, asks=1))


def answer_version(router: Router, source: str) -> None:
    """Answer a router that asks for the version, if one is known.

    It may not be listed yet.
    """
    configuration = router.fleet_view.configuration
    if configuration is not None:
        reply(router, VersionMessage(configuration.version, asks=0), source)


def hear_version(router: Router, message: VersionMessage) -> None:
    """Record the version that a listed router answers, if it is newer."""
    fleet_view = router.fleet_view
    fleet_view.n_version_answers += 1
    configuration = fleet_view.configuration
    known = 0 if configuration is None else configuration.version
    if message.version > max(known, fleet_view.peer_version):
        fleet_view.peer_version = message.version
        fleet_view.peer_version_ms = router.clock.now_ms()
        log_event(
            logger, "newer_configuration_heard", version=message.version, known=known
        )
    fleet_view.versions_heard.notify()


def is_outdated(fleet_view: FleetView) -> bool:
    """Check whether a peer has a newer configuration than the one in force."""
    configuration = fleet_view.configuration
    if configuration is None or configuration.version >= fleet_view.peer_version:
        return False
    return fleet_view.clock.now_ms() < fleet_view.peer_version_ms + MAX_WAIT_MS
