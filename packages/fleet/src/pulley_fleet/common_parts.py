"""The parts that routers and agents have in common: their state and their start."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from pulley_base import Clock, split_address
from pulley_http import Client, Server
from pulley_platform.stores import Store
from pulley_wire import FrameStamp, PeerConnection, Traffic

from .admin import start_admin
from .counters import count_store_call, publish_traffic
from .followers import Follower
from .members import Members, follow_list, list_processes
from .ports import ControlHandlers, PeerPort, open_peer_port
from .processes import BackgroundTasks, start_task
from .rules_reads import announce_revision_forever, connect_follower, follow_rules
from .settings import FleetSettings, digest_fleet
from .statuses import answer_status
from .windows import Window, follow_window


@dataclass(slots=True)
class CommonParts:
    """The state of the common parts of one process."""

    settings: FleetSettings
    clock: Clock
    stamp: FrameStamp
    client: Client
    store: Store
    follower: Follower
    members: Members
    window: Window
    control: ControlHandlers
    background: BackgroundTasks


def build_parts(settings: FleetSettings, service: str = "") -> CommonParts:
    """Build the state; ``service`` is the service of an agent, empty for a router."""
    clock = Clock()
    stamp = FrameStamp(fleet=digest_fleet(settings.fleet))
    client = Client(clock=clock)
    store = Store(client, (settings.store,), on_call=count_store_call)
    return CommonParts(
        settings,
        clock,
        stamp,
        client,
        store,
        Follower(stamp, clock),
        Members(clock, service),
        Window(store),
        ControlHandlers(),
        BackgroundTasks(),
    )


async def open_port(
    parts: CommonParts,
    make_connection: Callable[[], PeerConnection],
    traffic: Traffic,
) -> PeerPort:
    """Open the port for other processes of the fleet and publish its traffic."""
    publish_traffic(traffic)
    return await open_peer_port(
        *split_address(parts.settings.peer),
        make_connection,
        parts.control,
        stamp=parts.stamp,
        traffic=traffic,
    )


async def start_status_pages(
    parts: CommonParts, missing: Callable[[], list[str]], status: Callable[[], dict]
) -> Server:
    """Serve the status page on the peer port, and the admin pages."""
    parts.control.handlers.append(
        lambda peer, frame, reply: answer_status(status, frame, reply)
    )
    address = split_address(parts.settings.admin)
    return await start_admin(*address, missing=missing, status=status)


def follow_fleet(
    parts: CommonParts, port: PeerPort, traffic: Traffic, advance_every_s: int = 0
) -> None:
    """Start to follow the rules, the claim window and the instance list.

    The window is advanced if ``advance_every_s`` is not 0, otherwise only read.
    """
    settings, follower, members = parts.settings, parts.follower, parts.members
    connect_follower(
        follower, parts.control, port, traffic, lambda: list_processes(members)
    )
    loops = {
        "rules": follow_rules(follower, parts.store),
        "window": follow_window(
            parts.window, lambda: len(list_processes(members)), advance_every_s
        ),
        "rules-greetings": announce_revision_forever(follower),
        "instances": follow_list(
            members, parts.client, settings.instances, settings.data_centre, Random()
        ),
    }
    for name, loop in loops.items():
        start_task(parts.background, loop, name)


def list_missing_parts(parts: CommonParts) -> list[str]:
    """Return the names of what the process still needs before it is ready."""
    missing = []
    if parts.follower.rules.revision == 0:
        missing.append("rules")
    if parts.members.n_reads == 0:
        missing.append("instance list")
    return missing
