"""Decide which crash reports a router keeps in the store for routers that start.

The router that made a report may have ended. For each quarantined key some routers,
the same ones as far as all know, write the reports again that it takes.
"""

from .crashes import find_reports, list_quarantined
from .losses import Evidence, Held, LostRequest
from .probation import Place, draw_rank

N_KEEPERS = 3
MAX_KEPT_OF_CRASH = 2
MAX_KEPT_OF_KEY = 8


def list_kept(evidence: Evidence, place: Place, now_ms: int) -> list[LostRequest]:
    """Return the reports that a router keeps in the store."""
    kept = {}
    for key in list_quarantined(evidence, now_ms):
        if is_keeper(place, key):
            for held in select_reports(evidence, key):
                kept[held.lost.id] = held.lost
    return list(kept.values())


def is_keeper(place: Place, key: str) -> bool:
    """Check whether a router keeps the reports of a key.

    >>> sum(is_keeper(Place(rank, 40), "part") for rank in range(40))
    3
    """
    first = draw_rank(key, place.n_routers)
    return (place.rank - first) % place.n_routers < N_KEEPERS


def select_reports(evidence: Evidence, key: str) -> list[Held]:
    """Return the newest reports of a key, few of each crash: they quarantine it too."""
    by_crash = {}
    for held in sorted(find_reports(evidence, key), key=lambda held: held.lost_ms):
        by_crash.setdefault(held.lost.crash, []).append(held)
    few = [held for one in by_crash.values() for held in one[:MAX_KEPT_OF_CRASH]]
    return few[-MAX_KEPT_OF_KEY:]
