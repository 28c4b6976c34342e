"""Requests that crash endpoints: recorded when they are lost, refused from then on."""

import asyncio
import logging
from dataclasses import replace
from hashlib import blake2b

from pulley_base import PulleyError, Reason, log_event, to_seconds
from pulley_http.connections import ClientConnection, open_connection
from pulley_policy.crashes import (
    Scores,
    blame,
    find_quarantined,
    record_good,
    score_request,
)
from pulley_policy.probation import (
    Sender,
    find_place,
    find_refused,
    quarantine_left_ms,
    start_probes,
)

from .crash_log import record_own_clearance, record_own_loss
from .jobs import AttemptFailed, Job
from .models import Endpoint, RetryClass
from .routers import Router
from .waits import read_within

logger = logging.getLogger(__name__)

# Longer digests, longer prompts and longer names are truncated.
MAX_DIGEST_LENGTH = 64
MAX_KEY_PARTS = 32
MAX_TEAM_LENGTH = 200
REQUEST_DIGEST_BYTES = 12
# A caller is not kept away for longer, as a probe or a repair may end a quarantine.
MAX_RETRY_AFTER_MS = 60_000
PROBE_TIMEOUT_MS = 200
# A dying process may accept a connection before it closes all that it holds, and then
# accepts no more; one that is full goes on closing those that it accepts.
PROBE_OPEN_MS = 100
PROBE_PAUSE_MS = 50
MAX_PROBES = 2


def part_keys(job: Job) -> list[str]:
    """Return the keys of a prompt's shared parts, which are all but the last one."""
    shared = job.call.parts[:-1][:MAX_KEY_PARTS]
    return [f"{job.service}/part/{one.digest[:MAX_DIGEST_LENGTH]}" for one in shared]


def team_name(job: Job) -> str:
    """Return the name of the team that sent a job's request, empty without one."""
    return "" if job.team is None else job.team.name[:MAX_TEAM_LENGTH]


def request_key(job: Job) -> str:
    """Return the key of a whole request, the same each time that it is repeated."""
    team = team_name(job)
    parts = ",".join(part.digest for part in job.call.parts)
    digest = blake2b(digest_size=REQUEST_DIGEST_BYTES)
    for text in (team, job.call.method, job.call.host, job.call.target, parts):
        digest.update(text.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(job.body)
    return f"{job.service}/request/{digest.hexdigest()}"


def find_quarantine(router: Router, job: Job) -> str | None:
    """Return the key for which a job's request is quarantined, None if it may be sent.

    Keeps the scores of the request's keys as of now, for the attempt that follows.
    """
    evidence = router.fleet_view.crash_log.evidence
    now_ms = router.clock.now_ms()
    keys = part_keys(job)
    quarantined = []
    if evidence.depths:
        keys.append(request_key(job))
        quarantined = find_quarantined(evidence, keys, now_ms)
    if quarantined:
        refused = find_refused_key(router, job, quarantined, now_ms)
        if refused is not None:
            return refused
    probes = start_probes(evidence, quarantined, now_ms)
    for key, number in probes:
        log_event(logger, "key_probed", key=key, number=number)
    scores = score_request(evidence, keys)
    job.scores = replace(scores, team=team_name(job), probes=probes)
    return None


def find_refused_key(
    router: Router, job: Job, quarantined: list[str], now_ms: int
) -> str | None:
    """Return a quarantined key that a job's request may not probe, if there is one.

    No probe is sent while the store is away, as other routers would not learn of it.
    """
    fleet_view = router.fleet_view
    if fleet_view.failing_since_ms is not None:
        return quarantined[0]
    probes = () if job.scores is None else job.scores.probes
    sender = Sender(
        find_place(router.settings.instance, fleet_view.routers),
        team_name(job),
        frozenset(key for key, _ in probes),
    )
    return find_refused(fleet_view.crash_log.evidence, quarantined, sender, now_ms)


def retry_after_quarantine_ms(router: Router, key: str) -> int:
    """Return when a quarantined request may be sent again at the earliest, in ms."""
    evidence = router.fleet_view.crash_log.evidence
    left_ms = quarantine_left_ms(evidence, key, router.clock.now_ms())
    return min(MAX_RETRY_AFTER_MS, left_ms)


async def record_loss(router: Router, job: Job, failure: AttemptFailed) -> bool:
    """Report a prompt that was lost as its answer began, to be held against its keys.

    Other requests that an endpoint held as it crashed had no answer yet, or events.
    Nothing is reported if the endpoint is up: it only broke off its answer. Returns
    whether it was lost in a crash, which it may have caused.
    """
    if not is_crash_loss(job, failure) or not await is_down(failure.endpoint.address):
        return False
    scores = with_request_key(job)
    lost = blame(crash_id(failure.endpoint), scores)
    crash_log = router.fleet_view.crash_log
    record_own_loss(crash_log, lost, router.clock.now_ms())
    return True


def is_crash_loss(job: Job, failure: AttemptFailed) -> bool:
    """Check whether a stream's connection ended after its head, before any event.

    How far an answer that is no stream had got is not known.
    """
    if job.route.retry_class is not RetryClass.STREAM or job.scores is None:
        return False
    lost = failure.reason is Reason.CONNECTION_LOST and failure.answer_began
    return lost and bool(job.call.parts)


async def is_down(address: str) -> bool:
    """Check whether an endpoint accepts no connection, or soon accepts no more."""
    for _ in range(MAX_PROBES):
        try:
            connection = await open_connection(address, PROBE_TIMEOUT_MS)
        except PulleyError:
            return True
        try:
            if not await ends_soon(connection):
                return False
        finally:
            connection.close()
        await asyncio.sleep(to_seconds(PROBE_PAUSE_MS))
    return False


async def ends_soon(connection: ClientConnection) -> bool:
    """Check whether the other side closes an unused connection at once."""
    try:
        await read_within(connection, PROBE_OPEN_MS, PROBE_OPEN_MS)
    except PulleyError:
        return True
    return connection.ended


def with_request_key(job: Job) -> Scores:
    """Return the scores of a job's last attempt, with its whole request as last key.

    The router does not compute that key while it knows of no crash.
    """
    scores = job.scores
    key = request_key(job)
    if key in scores.keys:
        return scores
    return replace(
        scores,
        keys=(*scores.keys, key),
        scores=(*scores.scores, 0),
        crashes=(*scores.crashes, ()),
    )


def crash_id(endpoint: Endpoint) -> str:
    """Return the id of an endpoint's crash: its incarnation has only one."""
    return f"{endpoint.name}/{endpoint.started_ms}"


def record_good_answer(router: Router, job: Job) -> None:
    """Clear a request's keys: its answer is whole, or goes on past its first events."""
    scores = job.scores
    if scores is None:
        return
    job.scores = None
    now_ms = router.clock.now_ms()
    crash_log = router.fleet_view.crash_log
    score_by_key = dict(zip(scores.keys, scores.scores, strict=True))
    for clearance in record_good(crash_log.evidence, scores, now_ms):
        score = score_by_key[clearance.key]
        record_own_clearance(crash_log, clearance, score, now_ms)
