"""An operator's access to the fleet: the store, the instance list and a peer port."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from pydantic import Field

from pulley_base import Clock, Sentinel, split_address, to_seconds
from pulley_base.settings import Settings
from pulley_fleet.followers import Follower, handle_rules_frame, request_newer_rules
from pulley_fleet.ports import (
    ControlHandlers,
    PeerPort,
    dispatch_connection_control,
    open_peer_port,
)
from pulley_fleet.rules_reads import fetch_rules
from pulley_fleet.settings import (
    FLEET_FIELD,
    Address,
    digest_fleet,
)
from pulley_fleet.statuses import ask_status
from pulley_http import Client, close_client
from pulley_platform.instances import Instance, InstanceList, read_instances
from pulley_platform.stores import Store
from pulley_rules.following import RulesText
from pulley_wire import Frame, FrameStamp, PeerConnection, Traffic
from pulley_wire.messages import RulesAsk

# Above every revision in use: the reply to such a request carries no rules.
HIGHEST_REVISION = 2**53
SURVEY_TIMEOUT_MS = 400
INITIAL_SURVEY_INTERVAL_MS = 60
MAX_SURVEY_INTERVAL_MS = 1_000
MAX_CONCURRENT_STATUS_REQUESTS = 32


class ConsoleSettings(Settings):
    """The addresses and the fleet that an operator's command needs."""

    store: Address = Field(description="IP:port of the key-value service")
    instances: Address = Field(description="IP:port of the instance list")
    peer: Address = Field(
        "127.0.0.1:0", description="IP:port at which processes reach this command"
    )
    fleet: str = FLEET_FIELD


@dataclass(slots=True)
class Console:
    """An operator command's connection to the fleet.

    ``revisions`` maps a process to the highest revision that it has announced.
    """

    store: Store
    client: Client
    clock: Clock
    follower: Follower
    port: PeerPort
    instances: tuple[Instance, ...] = ()
    revisions: dict[str, int] = field(default_factory=dict)

    @property
    def fleet(self) -> int:
        """Return the id that stands for the fleet's name in frames."""
        return self.follower.stamp.fleet

    @property
    def peers(self) -> list[str]:
        """Return the address of every listed process."""
        return [instance.address for instance in self.instances]


@asynccontextmanager
async def open_console(settings: ConsoleSettings) -> AsyncIterator[Console]:
    """Open a console, read the instance list, and close the console after use.

    If the list can't be read, the console has no instances.
    """
    clock = Clock()
    client = Client(clock=clock)
    stamp = FrameStamp(fleet=digest_fleet(settings.fleet))
    control = ControlHandlers()
    port = await open_peer_port(
        *split_address(settings.peer),
        lambda: accept_connection(control, stamp, clock),
        control,
        stamp=stamp,
        traffic=Traffic(),
    )
    follower = Follower(stamp, clock)
    follower.send = port.datagrams.send
    store = Store(client, (settings.store,))
    console = Console(store, client, clock, follower, port)
    follower.list_peers = lambda: console.peers
    control.handlers += [
        lambda peer, frame, reply: record_revision(console, peer, frame),
        lambda peer, frame, reply: handle_rules_frame(follower, peer, frame, reply),
    ]
    try:
        found = await read_instances(client, settings.instances)
        if isinstance(found, InstanceList):
            console.instances = found.instances
        yield console
    finally:
        port.listener.close()
        port.datagrams.transport.close()
        close_client(client)


def accept_connection(
    control: ControlHandlers, stamp: FrameStamp, clock: Clock
) -> PeerConnection:
    """Build the protocol for a process that fetches the rules from this command."""
    return PeerConnection(
        lambda connection, frame: dispatch_connection_control(
            control, connection, frame
        ),
        lambda connection, reason: None,
        stamp=stamp,
        clock=clock,
    )


def record_revision(console: Console, peer: str, frame: Frame) -> None:
    """Record the highest revision that a process has announced."""
    held = console.revisions.get(peer, -1)
    if frame.sender and frame.revision is not None:
        console.revisions[peer] = max(held, frame.revision)


async def count_in_force(console: Console, revision: int, wait_ms: int) -> int:
    """Return how many processes have ``revision`` in force, within ``wait_ms``.

    Processes that have not announced it yet are asked repeatedly, at growing intervals,
    until all have or the time is over.
    """
    deadline_ms = console.clock.deadline_ms(wait_ms)
    interval_ms = INITIAL_SURVEY_INTERVAL_MS
    while True:
        behind = [p for p in console.peers if console.revisions.get(p, -1) < revision]
        if not behind or console.clock.now_ms() >= deadline_ms:
            return len(console.peers) - len(behind)
        for peer in behind:
            ask = Frame(rules_ask=RulesAsk(have=HIGHEST_REVISION))
            console.follower.send(peer, ask)
        left_ms = deadline_ms - console.clock.now_ms()
        await asyncio.sleep(to_seconds(min(interval_ms, left_ms)))
        interval_ms = min(2 * interval_ms, MAX_SURVEY_INTERVAL_MS)


async def fetch_highest_rules(console: Console) -> RulesText:
    """Fetch the rules of the highest revision that any process has in force.

    Returns revision 0 and an empty text if no process answers.
    """
    await count_in_force(console, 0, SURVEY_TIMEOUT_MS)
    highest = max(console.revisions.values(), default=0)
    if highest == 0:
        return RulesText(0, "")
    holder = next(p for p, held in console.revisions.items() if held == highest)
    follower = Follower(FrameStamp(fleet=console.fleet), console.clock)
    await fetch_rules(follower, holder, Traffic())
    return RulesText(follower.rules.revision, follower.rules.text)


def enable_rules_requests(console: Console) -> None:
    """Let the console request rules from processes with a higher revision."""
    follower = console.follower
    follower.stamp.on_newer_revision = lambda peer, revision, reply: (
        request_newer_rules(follower, peer, revision, reply)
    )


async def read_statuses(console: Console) -> dict[str, dict | Sentinel]:
    """Request the status page of every listed process.

    At most ``MAX_CONCURRENT_STATUS_REQUESTS`` are requested at once.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_STATUS_REQUESTS)

    async def ask(peer: str) -> dict | Sentinel:
        async with semaphore:
            return await ask_status(peer, console.clock, console.fleet)

    answers = await asyncio.gather(*(ask(peer) for peer in console.peers))
    return dict(zip(console.peers, answers))
