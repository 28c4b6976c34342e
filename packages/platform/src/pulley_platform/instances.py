"""Client of the instance list, in the format of Prometheus HTTP service discovery.

The list can be out of date and can differ between readers. It only proposes peers;
whether a peer is used is decided by connecting to it.
"""

import json
import logging
from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import quote

from pulley_base import UNAVAILABLE, PulleyError, Sentinel, is_address, warn_event
from pulley_http import Client, fetch, find_header

LIST_PATH = "/instances"
UNCHANGED = Sentinel("unchanged", "the list still has the given ETag")
STATES = ("live", "leaving")
ROLES = ("agent", "router")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Instance:
    """One process of the fleet, as the platform lists it.

    ``service`` is empty for routers; ``state`` is ``live`` or ``leaving``,
    ``role`` is ``agent`` or ``router``.
    """

    address: str
    service: str
    data_centre: str
    state: str = "live"
    role: str = "agent"


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The instances of one read, and the ETag to send with the next read.

    ``n_bytes`` is the size of the document that was read.
    """

    instances: tuple[Instance, ...]
    etag: str = ""
    n_bytes: int = 0


class BadList(PulleyError):
    """The platform sent a list that does not follow its published format."""


async def read_instances(
    client: Client,
    peer: str,
    data_centre: str = "",
    etag: str | None = None,
    *,
    timeout_ms: int = 2_000,
) -> InstanceList | Sentinel:
    """Read the list from ``peer``, for one data centre or, if empty, for all.

    Returns UNCHANGED if the list still has ``etag``. Returns UNAVAILABLE, and logs
    why, if there is no answer or the answer is not a valid list; the caller then
    keeps the list it has.
    """
    target = f"{LIST_PATH}?data_centre={quote(data_centre)}"
    headers = [(b"accept", b"application/json")]
    if etag:
        headers.append((b"if-none-match", etag.encode()))
    try:
        response = await fetch(
            client,
            peer,
            "GET",
            target if data_centre else LIST_PATH,
            headers=headers,
            timeout_ms=timeout_ms,
        )
        if response.status == 304:
            return UNCHANGED
        if response.status != 200:
            raise BadList(f"status {response.status}", step="instances", peer=peer)
        tag = find_header(response.headers, b"etag") or b""
        instances = parse_list(response.body, peer)
        return InstanceList(instances, tag.decode("latin-1"), len(response.body))
    except PulleyError as error:
        warn_event(logger, "instances_unread", peer=peer, error=str(error))
        return UNAVAILABLE.because(str(error))


def parse_list(body: bytes, peer: str = "") -> tuple[Instance, ...]:
    """Parse a service discovery document and return its instances, in its order.

    Raises BadList if any part of the document is invalid.

    >>> parse_list(b'[{"targets": ["10.0.0.1:80"], "labels": {"role": "router"}}]')
    (Instance(address='10.0.0.1:80', service='', data_centre='', state='live', \
role='router'),)
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadList("invalid JSON", step="instances", peer=peer) from error
    if not isinstance(document, list):
        raise BadList("not a JSON list", step="instances", peer=peer)
    return tuple(
        instance for group in document for instance in parse_group(group, peer)
    )


def parse_group(group: object, peer: str) -> Iterator[Instance]:
    """Yield the instances of one target group; raises BadList if it is invalid."""
    if not isinstance(group, dict):
        raise BadList("a target group is not an object", step="instances", peer=peer)
    targets = group.get("targets")
    labels = group.get("labels", {})
    if not isinstance(targets, list) or not isinstance(labels, dict):
        raise BadList(
            "a target group's targets are not a list or its labels not an object",
            step="instances",
            peer=peer,
        )
    if not all(isinstance(value, str) for value in labels.values()):
        raise BadList("a label's value is not a string", step="instances", peer=peer)
    for target in targets:
        yield parse_target(target, labels, peer)


def parse_target(target: object, labels: dict, peer: str) -> Instance:
    """Build the instance of one target; raises BadList for an invalid one."""
    state = labels.get("state", "live")
    role = labels.get("role", "agent")
    if not is_address(target):
        raise BadList(f"target is not IP:port: {target!r}", step="instances", peer=peer)
    if state not in STATES or role not in ROLES:
        raise BadList(
            f"unknown state={state!r} or role={role!r}", step="instances", peer=peer
        )
    return Instance(
        target, labels.get("service", ""), labels.get("data_centre", ""), state, role
    )
