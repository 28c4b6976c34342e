"""Requests that crash endpoints: recorded when they are lost, refused from then on."""

import asyncio
from hashlib import blake2b

from pulley_base import PulleyError, Reason, to_seconds
from pulley_http.connections import ClientConnection, open_connection
from pulley_policy.crashes import (
    Scores,
    blame,
    find_quarantined,
    quarantine_left_ms,
    record_good,
    score_request,
)

from .crash_log import record_own_clearance, record_own_loss
from .jobs import AttemptFailed, Job
from .models import Endpoint, RetryClass
from .routers import Router
from .waits import read_within

# Longer digests and longer prompts are truncated.
MAX_DIGEST_LENGTH = 64
MAX_KEY_PARTS = 32
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


def request_key(job: Job) -> str:
    """Return the key of a whole request, the same each time that it is repeated."""
    team = "" if job.team is None else job.team.name
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
    keys = part_keys(job)
    if evidence.depths:
        keys.append(request_key(job))
        quarantined = find_quarantined(evidence, keys, router.clock.now_ms())
        if quarantined is not None:
            return quarantined
    job.scores = score_request(evidence, keys)
    return None


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
    return Scores((*scores.keys, key), (*scores.scores, 0), (*scores.crashes, ()))


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
