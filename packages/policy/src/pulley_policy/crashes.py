"""Decide which requests are refused because they crash the endpoints that run them.

A request that was lost in a crash leaves a report with its keys: its prompt's shared
parts, outermost first, and last the digest of the whole request. A good answer clears
the keys of its request of the crashes known when it was sent. A sound key that others
share is therefore cleared all the time, a deadly one never.

A report that quarantines a key is kept for two days; ``probation`` decides when a
request with such a key is sent, to see if the key still crashes endpoints.

A request that was lost before the head of its answer, or that is no prompt, leaves a
bare report, with the key of the request alone: most requests that an endpoint holds
as it crashes are sound, and their caller's repeat may meet another crash.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace
from itertools import islice

from .losses import Clearance, Evidence, Held, LostRequest, Scores, score_key

# Crashes in succession after which a key is quarantined; one may be chance.
QUARANTINE_SCORE = 2
# The same for a key that had a good answer shortly before: it is known not to crash
# every endpoint, and many requests share it.
SOUND_QUARANTINE_SCORE = 6
SOUND_MS = 60_000
# How long a report is kept that quarantines nothing, and one that does.
REPORT_MS = 300_000
QUARANTINE_REPORT_MS = 172_800_000
# A request with bare reports is quarantined at this score, or at the score above if it
# was lost in so many crashes.
BARE_QUARANTINE_SCORE = 3
BARE_QUARANTINE_CRASHES = 3
MAX_REPORTS = 256
MAX_BARE_REPORTS = 256
MAX_EXPIRED_REPORTS = 1_024
MAX_SPARED_REPORTS = 128
MAX_SOUND_KEYS = 1_024
MAX_CLEARED_KEYS = 256
MAX_CLEARED_CRASHES = 256
MAX_PROBED_KEYS = 256


def add_report(evidence: Evidence, lost: LostRequest, now_ms: int) -> bool:
    """Add a report; return False if it is known, or was until its time was over."""
    remove_expired(evidence, now_ms)
    if lost.id in evidence.reports or lost.id in evidence.expired:
        return False
    make_room(evidence, lost.bare)
    evidence.reports[lost.id] = Held(lost, now_ms - lost.age_ms, now_ms + REPORT_MS)
    evidence.n_bare += lost.bare
    for suspect in lost.suspects:
        if lost.crash not in evidence.cleared.get(suspect.key, ()):
            depths = evidence.depths.setdefault(suspect.key, {})
            depths[lost.crash] = max(suspect.depth, depths.get(lost.crash, 0))
    return True


def remove_expired(evidence: Evidence, now_ms: int) -> None:
    """Remove the reports whose time is over; those that quarantine a key stay."""
    while evidence.reports:
        report_id, held = next(iter(evidence.reports.items()))
        if held.review_ms > now_ms:
            return
        if holds_quarantine(evidence, held, now_ms):
            del evidence.reports[report_id]
            evidence.reports[report_id] = replace(held, review_ms=now_ms + REPORT_MS)
            continue
        remove_report(evidence, report_id)
        evidence.expired[report_id] = None
        drop_first(evidence.expired, MAX_EXPIRED_REPORTS)


def holds_quarantine(evidence: Evidence, held: Held, now_ms: int) -> bool:
    """Check whether a report quarantines one of its keys, and is recent enough to."""
    if now_ms - held.lost_ms >= QUARANTINE_REPORT_MS:
        return False
    return any(
        is_quarantined(evidence, suspect.key, now_ms)
        for suspect in reversed(held.lost.suspects)
    )


def make_room(evidence: Evidence, bare: bool) -> None:
    """Remove a report if there are too many; bare ones don't push out the others."""
    if bare:
        full = evidence.n_bare >= MAX_BARE_REPORTS
    else:
        full = len(evidence.reports) - evidence.n_bare >= MAX_REPORTS
    if full:
        remove_report(evidence, find_replaceable(evidence, bare))


def find_replaceable(evidence: Evidence, bare: bool) -> tuple[str, str]:
    """Return the id of the oldest report, bare or not, that quarantines nothing.

    No request with a quarantined key is sent any more, so the reports about it are
    the oldest ones. Only some of these are looked at; if all are needed, the oldest
    gives way.
    """
    reports = (
        held.lost for held in evidence.reports.values() if held.lost.bare is bare
    )
    oldest = list(islice(reports, MAX_SPARED_REPORTS))
    for lost in oldest:
        if not any(
            score_key(evidence, suspect.key) >= QUARANTINE_SCORE
            for suspect in lost.suspects
        ):
            return lost.id
    return oldest[0].id


def remove_report(evidence: Evidence, report_id: tuple[str, str]) -> None:
    """Remove a report, and what it says of its keys."""
    lost = evidence.reports.pop(report_id).lost
    evidence.n_bare -= lost.bare
    for suspect in lost.suspects:
        drop_crash(evidence, suspect.key, lost.crash)


def drop_crash(evidence: Evidence, key: str, crash: str) -> None:
    """Remove one crash from those that incriminate a key."""
    depths = evidence.depths.get(key)
    if depths is not None:
        depths.pop(crash, None)
        if not depths:
            del evidence.depths[key]


def add_clearance(evidence: Evidence, clearance: Clearance) -> bool:
    """Clear a key of crashes; return False if that changes nothing."""
    cleared = evidence.cleared.pop(clearance.key, {})
    evidence.cleared[clearance.key] = cleared
    drop_first(evidence.cleared, MAX_CLEARED_KEYS)
    new = [crash for crash in clearance.crashes if crash not in cleared]
    for crash in new:
        cleared[crash] = None
        drop_crash(evidence, clearance.key, crash)
    drop_first(cleared, MAX_CLEARED_CRASHES)
    return bool(new)


def drop_first(entries: dict, most: int) -> None:
    """Remove the oldest entries of a dictionary that holds more than ``most``."""
    while len(entries) > most:
        del entries[next(iter(entries))]


def record_good(evidence: Evidence, scores: Scores, now_ms: int) -> list[Clearance]:
    """Record a good answer and clear its request's keys; return what was cleared."""
    cleared = []
    for key, crashes in zip(scores.keys, scores.crashes):
        evidence.sound_ms.pop(key, None)
        evidence.sound_ms[key] = now_ms
        clearance = Clearance(key, crashes)
        if crashes and add_clearance(evidence, clearance):
            cleared.append(clearance)
    drop_first(evidence.sound_ms, MAX_SOUND_KEYS)
    return cleared


def is_sound(evidence: Evidence, key: str, now_ms: int) -> bool:
    """Check whether a key had a good answer shortly before."""
    sound_ms = evidence.sound_ms.get(key)
    return sound_ms is not None and now_ms - sound_ms < SOUND_MS


def quarantine_score(evidence: Evidence, key: str, now_ms: int) -> int:
    """Return the score at which a key is quarantined."""
    if is_sound(evidence, key, now_ms):
        return SOUND_QUARANTINE_SCORE
    return QUARANTINE_SCORE


def is_incriminated(evidence: Evidence, key: str, now_ms: int) -> bool:
    """Check whether a key's score is high enough for a quarantine."""
    return score_key(evidence, key) >= quarantine_score(evidence, key, now_ms)


def find_quarantined(evidence: Evidence, keys: Iterable[str], now_ms: int) -> list[str]:
    """Return those of a request's keys that are in quarantine."""
    if not evidence.depths:
        return []
    remove_expired(evidence, now_ms)
    return [
        key
        for key in keys
        if key in evidence.depths and is_quarantined(evidence, key, now_ms)
    ]


def is_quarantined(evidence: Evidence, key: str, now_ms: int) -> bool:
    """Check whether a key is to blame for some crash.

    The key of a request is if it is incriminated, by bare reports more than once
    over. A part is if, besides, it was lost with different requests and no narrower
    part of one of them is incriminated: requests that share a deadly part share the
    wider ones too.
    """
    if not is_incriminated(evidence, key, now_ms):
        return False
    reports = [held.lost for held in find_reports(evidence, key)]
    requests = {lost.request for lost in reports}
    if key in requests:
        return is_request_to_blame(evidence, key, reports)
    return len(requests) > 1 and any(
        find_culprit(evidence, lost, now_ms) == key for lost in reports
    )


def find_reports(evidence: Evidence, key: str) -> list[Held]:
    """Return the reports that a key is not cleared of."""
    crashes = evidence.depths.get(key, {})
    return [
        held
        for held in evidence.reports.values()
        if held.lost.crash in crashes and has_key(held.lost, key)
    ]


def is_request_to_blame(
    evidence: Evidence, key: str, reports: Sequence[LostRequest]
) -> bool:
    """Check whether an incriminated request is to blame for some of its crashes."""
    n_full = sum(not lost.bare for lost in reports)
    if n_full >= QUARANTINE_SCORE:
        return True
    enough_crashes = len(evidence.depths[key]) >= BARE_QUARANTINE_CRASHES
    return enough_crashes or score_key(evidence, key) >= BARE_QUARANTINE_SCORE


def has_key(lost: LostRequest, key: str) -> bool:
    """Check whether a lost request has a key."""
    return any(suspect.key == key for suspect in lost.suspects)


def find_culprit(evidence: Evidence, lost: LostRequest, now_ms: int) -> str | None:
    """Return the narrowest part of a lost request that is incriminated, if any is."""
    for suspect in reversed(lost.suspects[:-1]):
        if is_incriminated(evidence, suspect.key, now_ms):
            return suspect.key
    return None


def list_quarantined(evidence: Evidence, now_ms: int) -> list[str]:
    """Return the keys in quarantine, for the status page."""
    remove_expired(evidence, now_ms)
    return [key for key in evidence.depths if is_quarantined(evidence, key, now_ms)]
