"""Decide when a request with a quarantined or suspected key is sent, to probe the key.

A key is held for a while after the last crash that incriminates it, and then is on
probation. One router at a time may then send one request with the key, in turns that
follow from the routers' names. A good answer clears the key; a probe that is lost
starts a hold several times longer.

A suspected key (``suspicions``) is probed in the same way, in shorter turns and from
one turn after the last crash on: its quarantine follows with the next crash.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from .crashes import (
    MAX_PROBED_KEYS,
    drop_first,
    find_quarantined,
    find_reports,
    is_quarantined,
)
from .losses import Evidence, Held
from .suspicions import find_suspected

# The holds before the first probe, the second and all later ones. At most three probes
# are sent in any 24 hours.
HOLDS_MS = (60_000, 600_000, 43_200_000)
# A router may send a probe at the start of its turn. The rest is for the probe's loss
# to become known to all routers.
# No usual interval between requests is a multiple of a turn.
TURN_MS = 9_973
TURN_OPEN_MS = 4_000
# A probe without an answer is waited for by the router that sent it.
PROBE_MS = 30_000
# The same for suspected keys: a report reaches all routers well within half a turn.
SUSPECTED_TURN_MS = 1_997
SUSPECTED_TURN_OPEN_MS = 999
# Teams that lost no request with the key probe it first: it may be sound, and only
# sent along with what crashes endpoints.
OTHER_TEAMS_MS = 120_000
RANK_BYTES = 4


@dataclass(frozen=True, slots=True)
class Place:
    """A router's rank among the routers that are in service, and their number."""

    rank: int = 0
    n_routers: int = 1


@dataclass(frozen=True, slots=True)
class Restricted:
    """Those of a request's keys that are quarantined, and those that are suspected."""

    quarantined: tuple[str, ...] = ()
    suspected: tuple[str, ...] = ()

    @property
    def keys(self) -> tuple[str, ...]:
        """Return all of them."""
        return self.quarantined + self.suspected


@dataclass(frozen=True, slots=True)
class Sender:
    """Who would send a request: the router's place, the caller's team.

    ``probes`` are the keys that an earlier attempt of the same request probed.
    """

    place: Place = Place()
    team: str = ""
    probes: frozenset[str] = frozenset()


def find_place(name: str, routers: Iterable[str]) -> Place:
    """Return the place of a router among others.

    >>> find_place("b", ["a", "c"])
    Place(rank=1, n_routers=3)
    """
    names = sorted({name, *routers})
    return Place(names.index(name), len(names))


def find_restricted(evidence: Evidence, keys: Sequence[str], now_ms: int) -> Restricted:
    """Return those of a request's keys with which it is not sent at any time."""
    quarantined = find_quarantined(evidence, keys, now_ms)
    others = [key for key in keys if key not in quarantined]
    suspected = find_suspected(evidence, others, now_ms)
    return Restricted(tuple(quarantined), tuple(suspected))


def find_refused(
    evidence: Evidence, restricted: Restricted, sender: Sender, now_ms: int
) -> str | None:
    """Return the first of a request's restricted keys that it may not probe."""
    for key in restricted.quarantined:
        if not may_probe(evidence, key, sender, now_ms):
            return key
    for key in restricted.suspected:
        if not may_probe_suspected(evidence, key, sender, now_ms):
            return key
    return None


def may_probe(evidence: Evidence, key: str, sender: Sender, now_ms: int) -> bool:
    """Check whether a request may be sent to probe a quarantined key."""
    reports = find_reports(evidence, key)
    over_ms = now_ms - hold_end_ms(reports, key)
    if over_ms < 0:
        return False
    if key in sender.probes:
        return True
    if was_probed(evidence, key, now_ms, PROBE_MS):
        return False
    if over_ms < OTHER_TEAMS_MS and any(
        held.lost.team == sender.team for held in reports
    ):
        return False
    return has_turn(key, over_ms, TURN_MS, TURN_OPEN_MS, sender.place)


def may_probe_suspected(
    evidence: Evidence, key: str, sender: Sender, now_ms: int
) -> bool:
    """Check whether a request may be sent to probe a suspected key."""
    over_ms = now_ms - suspicion_hold_end_ms(find_reports(evidence, key))
    if over_ms < 0:
        return False
    if key in sender.probes:
        return True
    if was_probed(evidence, key, now_ms, SUSPECTED_TURN_MS):
        return False
    return has_turn(
        key, over_ms, SUSPECTED_TURN_MS, SUSPECTED_TURN_OPEN_MS, sender.place
    )


def was_probed(evidence: Evidence, key: str, now_ms: int, within_ms: int) -> bool:
    """Check whether this router sent a probe of a key a short time ago."""
    probed_ms = evidence.probed_ms.get(key)
    return probed_ms is not None and now_ms - probed_ms < within_ms


def has_turn(key: str, over_ms: int, turn_ms: int, open_ms: int, place: Place) -> bool:
    """Check whether it is a router's turn to probe a key, and early enough in it.

    ``over_ms`` is the time since the key's hold ended.
    """
    n_turns, in_turn_ms = divmod(over_ms, turn_ms)
    is_open = in_turn_ms < open_ms
    return is_open and draw_rank(f"{key} {n_turns}", place.n_routers) == place.rank


def draw_rank(text: str, n_routers: int) -> int:
    """Return the rank of a router, the same at all routers for the same text."""
    data = text.encode("utf-8", "surrogateescape")
    digest = blake2b(data, digest_size=RANK_BYTES).digest()
    return int.from_bytes(digest) % n_routers


def hold_end_ms(reports: Sequence[Held], key: str) -> int:
    """Return the clock reading in ms at which a key comes on probation."""
    n_lost = count_lost_probes(reports, key)
    return last_loss_ms(reports) + HOLDS_MS[min(n_lost, len(HOLDS_MS) - 1)]


def suspicion_hold_end_ms(reports: Sequence[Held]) -> int:
    """Return the clock reading in ms from which a suspected key is probed."""
    return last_loss_ms(reports) + SUSPECTED_TURN_MS


def last_loss_ms(reports: Iterable[Held]) -> int:
    """Return the clock reading in ms of the last of some losses."""
    return max(held.lost_ms for held in reports)


def count_lost_probes(reports: Iterable[Held], key: str) -> int:
    """Return how many probes of a key were lost, one after the other."""
    return max(
        (
            suspect.n_probes
            for held in reports
            for suspect in held.lost.suspects
            if suspect.key == key
        ),
        default=0,
    )


def start_probes(
    evidence: Evidence, restricted: Restricted, now_ms: int
) -> tuple[tuple[str, int], ...]:
    """Record that a request is sent that probes keys; return each probe's number.

    Probes of a suspected key are not counted: their number is 0.
    """
    for key in restricted.keys:
        evidence.probed_ms.pop(key, None)
        evidence.probed_ms[key] = now_ms
    drop_first(evidence.probed_ms, MAX_PROBED_KEYS)
    counted = [
        (key, count_lost_probes(find_reports(evidence, key), key) + 1)
        for key in restricted.quarantined
    ]
    return (*counted, *((key, 0) for key in restricted.suspected))


def probation_left_ms(evidence: Evidence, key: str, now_ms: int) -> int:
    """Return how long it takes at least until a key may be probed, in ms.

    On probation that is the next turn, which may be any router's.
    """
    reports = find_reports(evidence, key)
    if not reports:
        return 0
    if is_quarantined(evidence, key, now_ms):
        start_ms, turn_ms = hold_end_ms(reports, key), TURN_MS
    else:
        start_ms, turn_ms = suspicion_hold_end_ms(reports), SUSPECTED_TURN_MS
    left_ms = start_ms - now_ms
    return left_ms if left_ms > 0 else turn_ms - -left_ms % turn_ms
