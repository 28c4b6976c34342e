"""The state of one router, shared by the modules that handle its requests."""

import asyncio
import os
from dataclasses import dataclass, field

from pulley_base import Clock
from pulley_policy.buckets import TokenBucket
from pulley_policy.holdings import Account
from pulley_policy.retry_shares import SharedRetryBudget

from .channels import ChannelPool
from .counters import Counters
from .fleet_views import FleetView
from .loads import LoadTable
from .models import HeaderCodec, RouterSettings
from .rooms import Rooms, measure_rooms
from .routes import RouteIndex

PEER_KEY_BYTES = 16


def draw_peer_key() -> str:
    """Return a new secret under which a router answers others."""
    return os.urandom(PEER_KEY_BYTES).hex()


@dataclass(slots=True)
class Router:
    """All state that handling a request reads or changes.

    ``started_ms`` is the clock reading at its start, ``stops_at_ms`` the one at which
    the process is killed at the latest, None before SIGTERM. ``gossip`` is the socket
    for datagrams between routers, None without one; ``crash_bucket`` bounds those with
    crash reports, None before the first, ``load_bucket`` those with loads; ``peer_key``
    is the secret under which it answers other routers, ``n_relayed`` how many of their
    requests it holds. ``probes`` holds the running crash probes by address,
    ``reporting`` the tasks that report the losses of requests that have ended.
    ``rooms`` is what the process may hold, ``account`` what its requests have reserved
    of that for their bodies. ``unapplied_settings`` names those that have changed and
    take effect at the next start.
    """

    settings: RouterSettings
    header_codec: HeaderCodec
    clock: Clock
    fleet_view: FleetView
    pool: ChannelPool
    loads: LoadTable
    counters: Counters = field(default_factory=Counters)
    budgets: dict[str, SharedRetryBudget] = field(default_factory=dict)
    routes: RouteIndex = field(default_factory=RouteIndex)
    probes: dict[str, asyncio.Task] = field(default_factory=dict)
    reporting: set[asyncio.Task] = field(default_factory=set)
    n_in_flight: int = 0
    stops_at_ms: int | None = None
    gossip: asyncio.DatagramTransport | None = None
    crash_bucket: TokenBucket | None = None
    load_bucket: TokenBucket | None = None
    n_relayed: int = 0
    unapplied_settings: list[str] = field(default_factory=list)
    peer_key: str = field(default_factory=draw_peer_key, repr=False)
    started_ms: int = field(init=False)
    rooms: Rooms = field(init=False)
    account: Account = field(init=False)

    def __post_init__(self):
        self.started_ms = self.clock.now_ms()
        self.rooms = measure_rooms(self.settings.limits)
        self.account = Account(self.rooms.bodies_bytes)
