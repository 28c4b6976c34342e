"""The endpoints of each service: the instance list, corrected by connections."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from pulley_base import Clock, log_event, to_seconds
from pulley_http import Client
from pulley_platform.instances import Instance, InstanceList, read_instances
from pulley_policy.members import Listed, Member, MemberTable
from pulley_policy.placement import Candidate

from .counters import LIST_CALLS

logger = logging.getLogger(__name__)

READ_INTERVAL_MS = 2_000
READS_PER_S = 20.0
FULL_READ_INTERVAL_MS = 10_000
FULL_READ_BYTES_PER_S = 500.0


@dataclass(slots=True)
class Members:
    """All endpoints that this process knows.

    ``n_reads`` counts the successful reads of the instance list. With ``service`` set,
    endpoints of other services are kept only for this process's own data centre.
    """

    clock: Clock
    service: str = ""
    table: MemberTable = field(default_factory=MemberTable)
    routers: tuple[str, ...] = ()
    n_reads: int = 0
    random: Random = field(default_factory=Random)

    @property
    def endpoints(self) -> dict[str, Member]:
        """Return all endpoints by the address of their agent."""
        return self.table.members


def install_list(
    members: Members, instances: InstanceList, covered: str = "", data_centre: str = ""
) -> None:
    """Install a read of the instance list; state learnt from connections is kept.

    ``covered`` is the data centre to which the read was limited, empty for a read of
    all. ``data_centre`` is this process's own.
    """
    listed = [
        agent
        for agent in list_agents(instances.instances)
        if is_relevant(members, agent, data_centre)
    ]
    members.table.update_from_list(listed, members.clock.now_ms(), covered)
    if covered or not members.routers:
        members.routers = tuple(
            instance.address
            for instance in instances.instances
            if instance.role == "router"
        )


def is_relevant(members: Members, listed: Listed, data_centre: str) -> bool:
    """Check whether this process needs to know an endpoint."""
    if not members.service or listed.service == members.service:
        return True
    return listed.data_centre == data_centre


def list_agents(instances: Iterable[Instance]) -> Iterable[Listed]:
    """Yield the agents among the instances in the form of the member table."""
    for instance in instances:
        if instance.role == "agent":
            yield Listed(
                instance.address,
                instance.service,
                instance.data_centre,
                instance.state == "leaving",
            )


def list_processes(members: Members) -> list[str]:
    """Return the addresses of all known agents and routers."""
    return [*members.endpoints, *members.routers]


def usable_endpoints(
    members: Members,
    service: str,
    data_centre: str | None = None,
    include_backoff: bool = False,
) -> list[Candidate]:
    """Return the service's endpoints that may get new work now.

    With ``data_centre`` only those of that data centre; ``include_backoff`` includes
    endpoints in backoff after a connection failure.
    """
    now_ms = members.clock.now_ms()
    return list(members.table.usable(service, now_ms, data_centre, include_backoff))


def start_backoff(members: Members, address: str) -> None:
    """Put an endpoint into backoff, with jitter, after a connection to it failed."""
    draw = members.random.random
    backoff_ms = members.table.record_failure(address, members.clock.now_ms(), draw)
    log_event(logger, "held_off", peer=address, hold_ms=backoff_ms)


def record_connection_loss(members: Members, address: str) -> None:
    """Record the end of a connection to an endpoint, which may put it into backoff."""
    draw = members.random.random
    backoff_ms = members.table.record_disconnect(address, members.clock.now_ms(), draw)
    if backoff_ms:
        log_event(logger, "held_off", peer=address, hold_ms=backoff_ms)


def record_hello(members: Members, address: str, incarnation: str) -> None:
    """Record the hello of an endpoint on a new connection."""
    members.table.record_hello(address, incarnation, members.clock.now_ms())


def mark_leaving(members: Members, address: str) -> None:
    """Mark an endpoint as draining after it announced that it leaves."""
    member = members.endpoints.get(address)
    if member is not None and not member.draining:
        members.table.mark_draining(address)
        log_event(logger, "endpoint_leaving", peer=address)


@dataclass(slots=True)
class ListReadState:
    """When the instance list is read next, and the entity tags of the last reads.

    ``full_read_ms`` is when the list of all data centres was last read, and
    ``full_read_due_ms`` when it is read next, both by this process's clock.
    """

    data_centre: str
    etags: dict[str, str] = field(default_factory=dict)
    full_read_due_ms: int = 0
    full_read_ms: int = 0


async def follow_list(
    members: Members,
    client: Client,
    peer: str,
    data_centre: str,
    random: Random,
    on_change: Callable[[], None] = lambda: None,
) -> None:
    """Read the instance list in a loop, at a jittered interval.

    The list of this data centre is read at a rate that its processes share. The list of
    all data centres is read less often the larger it is, and sooner when a service has
    no usable endpoint left among those known.
    """
    read_state = ListReadState(data_centre)
    while True:
        await read_list(members, client, peer, read_state)
        members.table.prune(members.clock.now_ms())
        on_change()
        pause_ms = read_interval_ms(members, data_centre) * random.uniform(0.75, 1.25)
        await asyncio.sleep(to_seconds(pause_ms))


async def read_list(
    members: Members, client: Client, peer: str, read_state: ListReadState
) -> None:
    """Read the list of all data centres if that is due, else that of this one."""
    now_ms = members.clock.now_ms()
    is_full_read = is_full_read_due(members, read_state, now_ms)
    covered = "" if is_full_read else read_state.data_centre
    LIST_CALLS.inc()
    result = await read_instances(client, peer, covered, read_state.etags.get(covered))
    if isinstance(result, InstanceList):
        members.n_reads += 1
        read_state.etags[covered] = result.etag
        install_list(members, result, covered, read_state.data_centre)
    if is_full_read:
        n_bytes = result.n_bytes if isinstance(result, InstanceList) else 0
        read_state.full_read_ms = now_ms
        read_state.full_read_due_ms = now_ms + full_read_interval_ms(n_bytes)


def is_full_read_due(members: Members, read_state: ListReadState, now_ms: int) -> bool:
    """Check whether to read the list of all data centres now."""
    if members.n_reads == 0 or now_ms >= read_state.full_read_due_ms:
        return True
    recent = now_ms - read_state.full_read_ms < FULL_READ_INTERVAL_MS
    return not recent and has_service_without_endpoint(members, now_ms)


def has_service_without_endpoint(members: Members, now_ms: int) -> bool:
    """Check whether a service has endpoints but none that is usable."""
    table = members.table
    return any(
        next(table.usable(service, now_ms), None) is None for service in table.places
    )


def full_read_interval_ms(n_bytes: int) -> int:
    """Return the time until the next full read after one of ``n_bytes``."""
    return max(FULL_READ_INTERVAL_MS, round(1_000 * n_bytes / FULL_READ_BYTES_PER_S))


def read_interval_ms(members: Members, data_centre: str) -> float:
    """Return the mean interval between this process's reads of its data centre."""
    table = members.table
    n_agents = sum(len(places.get(data_centre, ())) for places in table.places.values())
    n_processes = n_agents + len(members.routers)
    return max(READ_INTERVAL_MS, 1_000 * n_processes / READS_PER_S)
