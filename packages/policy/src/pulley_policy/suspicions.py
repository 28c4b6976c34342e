"""Find keys that were lost in several crashes, too many to be sent by all routers.

A key's score counts crashes in succession. Several at the same moment leave it at 1,
and say little: the request may have crashed the endpoints, or many callers ask for it,
and all endpoints went down at once. Such a key is suspected. It is neither refused, as
it may be sound, nor sent by every router that has it as the endpoints start again:
``probation`` lets one router at a time try.
"""

from collections.abc import Sequence

from .crashes import find_reports, is_sound
from .losses import Evidence, LostRequest, count_crashes, score_key

# A sound request may well be lost in two crashes: its caller repeats it.
SUSPECT_CRASHES = 3
# The same for a request with a good answer before, in crashes in succession.
GOOD_SUSPECT_SCORE = 3


def find_suspected(evidence: Evidence, keys: Sequence[str], now_ms: int) -> list[str]:
    """Return those of a request's keys that are suspected, none of them quarantined."""
    return [key for key in keys if is_suspected(evidence, key, now_ms)]


def is_suspected(evidence: Evidence, key: str, now_ms: int) -> bool:
    """Check whether a key that is not quarantined is suspected.

    A part is if it was lost with different requests, and no narrower part of one of
    them was lost as often.
    """
    if count_crashes(evidence, key) < SUSPECT_CRASHES:
        return False
    reports = [held.lost for held in find_reports(evidence, key)]
    requests = {lost.request for lost in reports}
    if key in requests:
        return not is_excused(evidence, key, now_ms)
    if len(requests) < 2 or was_good(evidence, key, now_ms):
        return False
    return any(find_narrowest(evidence, lost, now_ms) == key for lost in reports)


def was_good(evidence: Evidence, key: str, now_ms: int) -> bool:
    """Check whether a good answer with a key is known, also from another router."""
    return key in evidence.cleared or is_sound(evidence, key, now_ms)


def is_excused(evidence: Evidence, key: str, now_ms: int) -> bool:
    """Check whether a request had a good answer, and its crashes may be chance.

    They may be if it was lost in few in succession, or in one each time it was sent.
    """
    if not was_good(evidence, key, now_ms):
        return False
    score = score_key(evidence, key)
    return score < GOOD_SUSPECT_SCORE or count_crashes(evidence, key) < 2 * score


def find_narrowest(evidence: Evidence, lost: LostRequest, now_ms: int) -> str | None:
    """Return the narrowest part of a lost request that was lost often, if any was."""
    for suspect in reversed(lost.suspects[:-1]):
        often = count_crashes(evidence, suspect.key) >= SUSPECT_CRASHES
        if often and not was_good(evidence, suspect.key, now_ms):
            return suspect.key
    return None
