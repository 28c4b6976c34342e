"""Which routers watch the store for others, and whom each of the others follows.

Every router works this out from the list of routers alone, so that routers agree
without communication. Those of a data centre share its watchers; small data centres
share theirs with each other. Lists that differ for a moment cost more watches, never
a wrong belief: a router that hears nothing in time watches the store itself.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b

# A watcher answers each of its followers several times in every bound.
MAX_FOLLOWERS = 16
# In smaller data centres a watcher of their own would save few calls.
MIN_GROUP_SIZE = 6
# A router that no watcher answers watches for itself sooner than it has asked all.
MAX_WATCHERS_TRIED = 2
RANK_BYTES = 8

# Shares of the time within which a change must be in force.
CHECK_SHARE = 0.2
STALE_SHARE = 0.45
ANSWER_WAIT_SHARE = 0.25
WATCH_LAG_SHARE = 0.08
AWAY_POLL_SHARE = 0.25
# Checks tell what a watch misses, so that it may wait long.
WATCH_WAIT_MS = 10_000


@dataclass(frozen=True, slots=True)
class Member:
    """A listed router, its data centre and its link; empty and 0 if unknown."""

    name: str
    data_centre: str
    link_mbps: int = 0


@dataclass(frozen=True, slots=True)
class FollowTimes:
    """How often watchers check the store, and how long followers wait; in ms.

    After ``check_ms`` without a confirmation a watcher asks the store whether
    anything has changed; a change that its watch does not bring within
    ``watch_lag_ms`` is read. A watcher answers its followers within
    ``answer_wait_ms``; one whose word is older than ``stale_ms`` is not followed. A
    router that others will tell that the store is back asks it every ``away_poll_ms``.
    """

    check_ms: int
    watch_lag_ms: int
    answer_wait_ms: int
    stale_ms: int
    away_poll_ms: int


def derive_times(in_force_ms: int) -> FollowTimes:
    """Return the times for changes that must be in force within ``in_force_ms``.

    >>> derive_times(4_000).check_ms, derive_times(4_000).away_poll_ms
    (800, 1000)
    """
    return FollowTimes(
        check_ms=int(in_force_ms * CHECK_SHARE),
        watch_lag_ms=int(in_force_ms * WATCH_LAG_SHARE),
        answer_wait_ms=int(in_force_ms * ANSWER_WAIT_SHARE),
        stale_ms=int(in_force_ms * STALE_SHARE),
        away_poll_ms=int(in_force_ms * AWAY_POLL_SHARE),
    )


def order_watchers(own: Member, members: Iterable[Member]) -> list[str]:
    """Return the routers of the own group in the order in which ``own`` follows them.

    The first of a group watch for it, as many as it needs; those on the widest links
    come first, as each change goes through a watcher's link once for every follower.
    The others are dealt out to them in turn; the rest of the group stand by.

    >>> group = [Member(f"r{n}", "here") for n in range(6)]
    >>> {order_watchers(one, group)[0] for one in group}
    {'r4'}
    """
    ranked = [one.name for one in sorted(find_group(own, members), key=rank)]
    n_watchers = -(-len(ranked) // MAX_FOLLOWERS)
    watchers, others = ranked[:n_watchers], ranked[n_watchers:]
    if own.name in watchers:
        turn = watchers.index(own.name)
    else:
        turn = others.index(own.name) % n_watchers
    return watchers[turn:] + watchers[:turn] + others


def find_group(own: Member, members: Iterable[Member]) -> set[Member]:
    """Return the routers that share their watchers with ``own``."""
    sizes: dict[str, int] = {}
    everyone = {own, *(one for one in members if one.name != own.name)}
    for member in everyone:
        sizes[member.data_centre] = sizes.get(member.data_centre, 0) + 1

    def group_of(member: Member) -> str | None:
        is_large = sizes[member.data_centre] >= MIN_GROUP_SIZE
        return member.data_centre if is_large else None

    return {one for one in everyone if group_of(one) == group_of(own)}


def rank(member: Member) -> tuple[int, bytes]:
    """Return the place of a router in an order that all routers share."""
    digest = blake2b(member.name.encode(), digest_size=RANK_BYTES).digest()
    return -member.link_mbps, digest


def choose_watcher(
    own: str, order: Sequence[str], failed_until_ms: Mapping[str, int], now_ms: int
) -> str | None:
    """Return the watcher to follow, None to watch the store.

    That is the first one that has not failed lately, if ``own`` does not come before
    it. A router whose own calls to the store have failed asks those after it as well.
    After ``MAX_WATCHERS_TRIED`` that have failed, a router watches for itself.

    >>> choose_watcher("b", ["a", "b"], {}, 0), choose_watcher("a", ["a", "b"], {}, 0)
    ('a', None)
    >>> choose_watcher("a", ["a", "b"], {"a": 5}, 0)
    'b'
    """
    n_tried = 0
    for name in order:
        if failed_until_ms.get(name, now_ms) <= now_ms:
            return None if name == own else name
        n_tried += name != own
        if n_tried == MAX_WATCHERS_TRIED:
            return None
    return None
