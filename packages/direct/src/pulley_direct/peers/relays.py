"""Watchers' answers to the routers that follow them, over HTTP at the peer port."""

import logging
import os
from urllib.parse import parse_qs, urlsplit

from pulley_base import ProtocolError, PulleyError, log_event, warn_event
from pulley_http import (
    Client,
    Request,
    Response,
    Server,
    fetch,
    find_header,
    start_server,
)
from pulley_policy.watchers import FollowTimes

from ..state.fleet_views import FleetView
from ..state.mirrors import Mirror, covers, items_after
from ..state.models import RouterEntry
from ..state.routers import Router
from ..state.signals import wait_until
from .relay_messages import (
    CHANGES_PATH,
    DIGEST_HEADER,
    NONCE_HEADER,
    RelayAnswer,
    decode_answer,
    encode_answer,
    is_signed,
    sign,
)

logger = logging.getLogger(__name__)

NONCE_BYTES = 8
# A router that is about to watch the store does within this time.
MIRROR_WAIT_MS = 300
# Far more than the followers of one watcher.
MAX_RELAYED = 64
# An answer comes this much later than its wait at the most.
ANSWER_GRACE_SHARE = 0.4
MAX_REVISION_DIGITS = 18
STORE_AWAY_STATUS = 503


class RelayRefused(PulleyError):
    """A router answered a follower with another status than 200, ``status``."""

    def __init__(self, status: int, peer: str):
        super().__init__(f"refused with {status}", step="follow", peer=peer)
        self.status = status


async def open_relay(router: Router, times: FollowTimes) -> Server | None:
    """Listen for followers at the router's peer port; None without a port for it."""
    settings = router.settings
    port = settings.peer_ports[0]
    if not port:
        return None

    async def answer(request: Request) -> Response:
        return await answer_follower(router, times, request)

    try:
        return await start_server(answer, settings.ip, port)
    except OSError as error:
        log_event(logger, "relay_not_started", port=port, error=str(error))
        return None


async def answer_follower(
    router: Router, times: FollowTimes, request: Request
) -> Response:
    """Answer a follower's request for changes.

    403 if it is not signed with this router's key, 409 if this router follows another
    one, 503 if it has none and the store does not answer it either, 429 if it answers
    too many. Waits until there are changes, or until the store
    has confirmed after the request was read that there are none.
    """
    read_ms = router.clock.now_ms()
    nonce = find_header(request.headers, NONCE_HEADER) or b""
    digest = find_header(request.headers, DIGEST_HEADER)
    if not is_signed(router.peer_key, nonce, request.target.encode(), digest):
        warn_event(logger, "follower_refused", peer=request.peer)
        return Response(403)
    if request.path != CHANGES_PATH:
        return Response(404)
    if router.n_relayed >= MAX_RELAYED:
        return Response(429)
    router.n_relayed += 1
    try:
        after = read_revision(request.target)
        answer = await wait_for_changes(router.fleet_view, times, after, read_ms)
    except ProtocolError as error:
        log_event(logger, "follower_unreadable", peer=request.peer, error=str(error))
        return Response(400)
    finally:
        router.n_relayed -= 1
    if answer is None:
        is_failing = router.fleet_view.failing_since_ms is not None
        return Response(STORE_AWAY_STATUS if is_failing else 409)
    body = encode_answer(answer)
    return Response(200, [(DIGEST_HEADER, sign(router.peer_key, nonce, body))], body)


def read_revision(target: str) -> int | None:
    """Return the revision after which a follower asks for changes, None for all.

    Raises ProtocolError with the step ``decode``.
    """
    values = parse_qs(urlsplit(target).query).get("after")
    if values is None:
        return None
    text = values[0]
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_REVISION_DIGITS:
        raise ProtocolError("after is not a revision", step="decode")
    return int(text)


async def wait_for_changes(
    fleet_view: FleetView, times: FollowTimes, after: int | None, read_ms: int
) -> RelayAnswer | None:
    """Return what to answer to a request that was read at ``read_ms``, in clock ms.

    None if this router does not watch the store.
    """
    await wait_until(
        fleet_view.confirmed, lambda: fleet_view.mirror is not None, MIRROR_WAIT_MS
    )
    await wait_until(
        fleet_view.confirmed,
        lambda: has_answer(fleet_view, after, read_ms),
        times.answer_wait_ms,
    )
    if fleet_view.mirror is None:
        return None
    return compose_answer(fleet_view, fleet_view.mirror, after, read_ms)


def has_answer(fleet_view: FleetView, after: int | None, read_ms: int) -> bool:
    """Check whether a follower can be told changes, or that there are none."""
    mirror = fleet_view.mirror
    if mirror is None or after is None or mirror.revision > after:
        return True
    confirmed_ms = fleet_view.confirmed_ms
    return confirmed_ms is not None and confirmed_ms >= read_ms


def compose_answer(
    fleet_view: FleetView, mirror: Mirror, after: int | None, read_ms: int
) -> RelayAnswer | None:
    """Return the answer to a request that was read at ``read_ms``, in clock ms.

    None if the store has confirmed nothing yet.
    """
    if fleet_view.confirmed_ms is None:
        return None
    whole = after is None or not covers(mirror, after)
    items = mirror.items.values() if whole else items_after(mirror, after)
    outage_end_ms = fleet_view.outage_end_ms
    return RelayAnswer(
        items=tuple(items),
        revision=mirror.revision,
        era=mirror.era,
        whole=whole,
        confirmed_ms=fleet_view.confirmed_ms - read_ms,
        outage_ms=None if outage_end_ms is None else outage_end_ms - read_ms,
    )


async def ask_watcher(
    client: Client, times: FollowTimes, entry: RouterEntry, after: int | None
) -> RelayAnswer:
    """Ask a watcher for the changes after a revision, or for everything.

    Raises RelayRefused for another status than 200, ProtocolError for an answer that
    is not this watcher's to this request, ConnectionLost or TimedOut if there is none.
    """
    target = CHANGES_PATH if after is None else f"{CHANGES_PATH}?after={after}"
    nonce = os.urandom(NONCE_BYTES).hex().encode()
    digest = sign(entry.key, nonce, target.encode())
    response = await fetch(
        client,
        entry.address,
        "GET",
        target,
        headers=[(NONCE_HEADER, nonce), (DIGEST_HEADER, digest)],
        timeout_ms=int(times.answer_wait_ms * (1 + ANSWER_GRACE_SHARE)),
        stall_timeout_ms=times.answer_wait_ms,
    )
    if response.status != 200:
        raise RelayRefused(response.status, entry.address)
    found = find_header(response.headers, DIGEST_HEADER)
    if not is_signed(entry.key, nonce, response.body, found):
        raise ProtocolError("not signed by it", step="follow", peer=entry.address)
    return decode_answer(response.body)
