"""Sources of the rules: the store, and peers over connections."""

import asyncio
from collections.abc import Callable, Sequence

from pulley_base import (
    ConnectionLost,
    PulleyError,
    TimedOut,
    log_event,
    time_limit,
    to_seconds,
)
from pulley_platform.stores import KeyValue, Store, read_key
from pulley_rules.following import read_interval_ms
from pulley_rules.headers import find_mod_revision, find_revision
from pulley_wire import Frame, PeerConnection, Traffic, connect_peer
from pulley_wire.messages import RulesAsk

from .followers import (
    RULES_KEY,
    Follower,
    announce_revision,
    handle_rules_frame,
    install_rules,
    logger,
    request_newer_rules,
)
from .ports import ControlHandlers, PeerPort

STORE_READS_PER_S = 4.0
UNCONDITIONAL_READ_FRACTION = 0.125
ANNOUNCE_INTERVAL_MS = 1_000
STARTUP_ANNOUNCE_INTERVAL_MS = 300
N_STARTUP_PEERS = 3
NO_RULES_INTERVAL_MS = 1_000
MAX_SLEEP_MS = 500
FETCH_TIMEOUT_MS = 2_000


def connect_follower(
    follower: Follower,
    control: ControlHandlers,
    port: PeerPort,
    traffic: Traffic,
    list_peers: Callable[[], Sequence[str]],
) -> None:
    """Connect a follower to this process's peer port, to send and receive rules."""
    fetching: dict[str, asyncio.Task] = {}

    def fetch(peer: str) -> None:
        if not fetching:
            task = asyncio.create_task(fetch_rules(follower, peer, traffic))
            fetching[peer] = task
            task.add_done_callback(lambda done: fetching.clear())

    follower.list_peers = lambda: [
        peer for peer in list_peers() if peer != port.address
    ]
    follower.send = port.datagrams.send
    follower.fetch = fetch
    follower.stamp.on_newer_revision = lambda peer, revision, reply: (
        request_newer_rules(follower, peer, revision, reply)
    )
    control.handlers.append(
        lambda peer, frame, reply: handle_rules_frame(follower, peer, frame, reply)
    )


async def fetch_rules(follower: Follower, peer: str, traffic: Traffic) -> None:
    """Request the rules from a peer over a new connection and install the reply."""
    answered = asyncio.Event()

    def on_frame(connection: PeerConnection, frame: Frame) -> None:
        handle_rules_frame(follower, peer, frame, connection.send)
        if frame.rules_copy is not None or frame.rules_delta is not None:
            answered.set()

    try:
        connection = await connect_peer(
            peer,
            lambda: PeerConnection(
                on_frame,
                lambda connection, reason: answered.set(),
                stamp=follower.stamp,
                clock=follower.clock,
                traffic=traffic,
                peer=peer,
            ),
        )
    except (ConnectionLost, TimedOut) as error:
        log_event(logger, "rules_not_fetched", peer=peer, error=str(error))
        return
    try:
        connection.send(Frame(rules_ask=RulesAsk(have=follower.rules.revision)))
        async with time_limit(FETCH_TIMEOUT_MS):
            await answered.wait()
    except (TimeoutError, PulleyError) as error:
        log_event(logger, "rules_not_fetched", peer=peer, error=repr(error))
    finally:
        connection.close("fetched")


async def announce_revision_forever(follower: Follower) -> None:
    """Announce this process's revision to peers in a loop.

    One peer gets it each second on average; until there are rules, several peers get it
    at shorter intervals.
    """
    while True:
        has_rules = follower.rules.revision > 0
        announce_revision(follower, 1 if has_rules else N_STARTUP_PEERS)
        mean_ms = ANNOUNCE_INTERVAL_MS if has_rules else STARTUP_ANNOUNCE_INTERVAL_MS
        await asyncio.sleep(to_seconds(mean_ms * follower.random.uniform(0.5, 1.5)))


async def follow_rules(follower: Follower, store: Store) -> None:
    """Read the rules from the store in a loop.

    The interval grows with the number of processes, so that the fleet as a whole makes
    ``STORE_READS_PER_S`` reads. The number of processes is checked again while waiting,
    at least every ``MAX_SLEEP_MS``.
    """
    while True:
        await read_rules(follower, store)
        read_ms = follower.clock.now_ms()
        random_fraction = follower.random.random()
        while True:
            due_ms = read_ms + next_read_delay_ms(follower, random_fraction)
            wait_ms = due_ms - follower.clock.now_ms()
            if wait_ms <= 0:
                break
            await asyncio.sleep(to_seconds(min(wait_ms, MAX_SLEEP_MS)))


def next_read_delay_ms(follower: Follower, random_fraction: float) -> int:
    """Return the delay between two reads; it is shorter while there are no rules."""
    if follower.rules.revision == 0:
        return round(NO_RULES_INTERVAL_MS * (0.5 + random_fraction))
    n_peers = len(follower.list_peers())
    n_processes = n_peers + 1 if n_peers else 0
    return read_interval_ms(n_processes, STORE_READS_PER_S, random_fraction)


async def read_rules(follower: Follower, store: Store) -> None:
    """Read the rules from the store once; install them if they are newer.

    A random ``UNCONDITIONAL_READ_FRACTION`` of the reads fetches the text whatever its
    revision: a store that was reset counts from 1 again, so its newer text has a lower
    number.
    """
    rules = follower.rules
    held = find_mod_revision(rules.text, rules.revision)
    is_unconditional = follower.random.random() < UNCONDITIONAL_READ_FRACTION
    newer_than = 0 if is_unconditional else max(0, held)
    found = await read_key(store, RULES_KEY, newer_than=newer_than)
    if isinstance(found, KeyValue):
        text = found.value.decode(errors="replace")
        revision = find_revision(text, found.mod_revision)
        install_rules(follower, text, revision, "store")
