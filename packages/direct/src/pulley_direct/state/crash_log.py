"""What a router knows of crashes, from its own lost requests and from other routers."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

from pulley_base import log_event, warn_event
from pulley_policy.crashes import add_clearance, add_report, drop_first, is_quarantined
from pulley_policy.losses import (
    Clearance,
    Evidence,
    LostRequest,
    count_crashes,
    score_key,
)

from .models import CrashReports
from .signals import Signal

logger = logging.getLogger(__name__)

# The newest of a router's own reports and clearances are shared, in one entry.
MAX_OWN_REPORTS = 32
MAX_OWN_BARE_REPORTS = 16
MAX_OWN_CLEARANCES = 32
MAX_SHARED_CRASHES = 32
# Reports of other routers that it answers may stay in the store for this long.
CLEARANCE_MS = 1_200_000
MAX_SOUND_REQUESTS = 2_048
# One more crash would quarantine a key with this score, so other routers are told of
# its clearance.
SHARED_CLEARANCE_SCORE = 1
OWN = "own"


@dataclass(slots=True)
class CrashLog:
    """The evidence of crashes, and this router's own part of it.

    ``own_lost``, ``own_bare`` (the bare reports) and ``own_cleared``, with the clock
    reading in ms of each clearance, are to be written to the store when ``changed`` is
    notified, ``pending`` until they are written. ``sharing`` is set while its entry in
    the store has reports. ``quarantined`` holds the keys whose quarantine was logged.
    ``sound_requests`` has the clock reading in ms of the last good answer to a request,
    by its hash, the oldest first.
    """

    evidence: Evidence = field(default_factory=Evidence)
    own_lost: list[LostRequest] = field(default_factory=list)
    own_bare: list[LostRequest] = field(default_factory=list)
    own_cleared: dict[Clearance, int] = field(default_factory=dict)
    pending: bool = False
    sharing: bool = False
    changed: Signal = field(default_factory=Signal)
    quarantined: set[str] = field(default_factory=set)
    sound_requests: dict[int, int] = field(default_factory=dict)


def record_own_loss(crash_log: CrashLog, lost: LostRequest, now_ms: int) -> bool:
    """Record a request that this router lost in a crash, to be shared.

    Returns False if that was known.
    """
    is_new = learn_of_loss(crash_log, OWN, lost, now_ms)
    if is_new:
        log_quarantines(crash_log, now_ms)
        if lost.bare:
            keep_bare(crash_log, lost)
        else:
            crash_log.own_lost.append(lost)
            del crash_log.own_lost[:-MAX_OWN_REPORTS]
        share(crash_log)
    return is_new


def keep_bare(crash_log: CrashLog, lost: LostRequest) -> None:
    """Keep a bare report to be shared, in place of the oldest of the least depth."""
    own_bare = crash_log.own_bare
    if len(own_bare) >= MAX_OWN_BARE_REPORTS:
        own_bare.remove(min(own_bare, key=lambda one: one.suspects[0].depth))
    own_bare.append(lost)


def record_sound_request(crash_log: CrashLog, request: int, now_ms: int) -> None:
    """Record a good answer to a request, by its hash, also before any crash."""
    crash_log.sound_requests.pop(request, None)
    crash_log.sound_requests[request] = now_ms
    drop_first(crash_log.sound_requests, MAX_SOUND_REQUESTS)


def note_if_sound(crash_log: CrashLog, key: str, request: int) -> None:
    """Take a request's last good answer, before its first crash, as one of its key."""
    sound_ms = crash_log.sound_requests.get(request)
    if sound_ms is not None:
        known = crash_log.evidence.sound_ms
        known[key] = max(sound_ms, known.get(key, sound_ms))


def record_own_clearance(
    crash_log: CrashLog, clearance: Clearance, score: int, now_ms: int
) -> Clearance | None:
    """Log a key that this router cleared, and share it if its ``score`` was high.

    Returns what is shared, None if nothing is.
    """
    if score < SHARED_CLEARANCE_SCORE:
        return None
    log_clearance(crash_log, OWN, clearance)
    log_quarantines(crash_log, now_ms)
    shared = Clearance(clearance.key, clearance.crashes[-MAX_SHARED_CRASHES:])
    crash_log.own_cleared[shared] = now_ms
    drop_first(crash_log.own_cleared, MAX_OWN_CLEARANCES)
    share(crash_log)
    return shared


def share(crash_log: CrashLog) -> None:
    """Request that this router's own evidence be written to the store."""
    crash_log.pending = True
    crash_log.changed.notify()


def share_again(crash_log: CrashLog) -> None:
    """Request that evidence in the store, which may have lost it, be written again."""
    if crash_log.sharing or crash_log.own_cleared:
        share(crash_log)


def apply_reports(crash_log: CrashLog, entry: CrashReports, now_ms: int) -> None:
    """Add what another router's entry reports; known reports change nothing."""
    new = learn_of_reports(crash_log, entry, now_ms)
    if new.lost or new.cleared:
        log_quarantines(crash_log, now_ms)


def add_reports(
    crash_log: CrashLog, reports: CrashReports, now_ms: int
) -> CrashReports:
    """Add a few reports and clearances of another router; return those that are new.

    Only their keys are looked at for quarantines, as many of these may come at once.
    """
    new = learn_of_reports(crash_log, reports, now_ms)
    keys = {suspect.key for lost in new.lost for suspect in lost.suspects}
    keys.update(clearance.key for clearance in new.cleared)
    log_quarantines_of(crash_log, keys, now_ms)
    return new


def learn_of_reports(
    crash_log: CrashLog, reports: CrashReports, now_ms: int
) -> CrashReports:
    """Add and log reports and clearances; return those that are new."""
    reporter = reports.reporter
    lost = tuple(
        one for one in reports.lost if learn_of_loss(crash_log, reporter, one, now_ms)
    )
    cleared = tuple(
        one for one in reports.cleared if add_clearance(crash_log.evidence, one)
    )
    for clearance in cleared:
        log_clearance(crash_log, reporter, clearance)
    return CrashReports(reporter, lost, cleared)


def learn_of_loss(
    crash_log: CrashLog, reporter: str, lost: LostRequest, now_ms: int
) -> bool:
    """Add and log one report; return False if it was known."""
    evidence = crash_log.evidence
    if not add_report(evidence, lost, now_ms):
        return False
    keys = [suspect.key for suspect in lost.suspects]
    warn_event(
        logger,
        "crash_reported",
        crash=lost.crash,
        reporter=reporter,
        keys=",".join(keys),
        scores=",".join(str(score_key(evidence, key)) for key in keys),
        n_crashes=",".join(str(count_crashes(evidence, key)) for key in keys),
        age_ms=lost.age_ms,
    )
    return True


def log_quarantines(crash_log: CrashLog, now_ms: int) -> None:
    """Log the keys that came under quarantine, and those that left it."""
    keys = crash_log.evidence.depths.keys() | crash_log.quarantined
    log_quarantines_of(crash_log, keys, now_ms)


def log_quarantines_of(crash_log: CrashLog, keys: Iterable[str], now_ms: int) -> None:
    """Log those of some keys that came under quarantine, and those that left it.

    Reports that were shared may tell of a key that left it, so they are written again.
    """
    evidence = crash_log.evidence
    known = crash_log.quarantined
    found = {key: is_quarantined(evidence, key, now_ms) for key in keys}
    for key in sorted(key for key in found if found[key] and key not in known):
        warn_event(logger, "key_quarantined", key=key, score=score_key(evidence, key))
        known.add(key)
    released = sorted(key for key in found if not found[key] and key in known)
    for key in released:
        log_event(logger, "key_released", key=key)
        known.remove(key)
    if crash_log.sharing and released:
        share(crash_log)


def log_clearance(crash_log: CrashLog, reporter: str, clearance: Clearance) -> None:
    """Log that a key had a good answer after crashes."""
    log_event(
        logger,
        "key_cleared",
        key=clearance.key,
        reporter=reporter,
        crashes=",".join(clearance.crashes),
    )
