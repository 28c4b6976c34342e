"""Requests that crash endpoints: recorded when they are lost, refused from then on."""

import asyncio
import logging
from dataclasses import replace

from pulley_base import Reason, log_event
from pulley_policy.crashes import record_good
from pulley_policy.losses import (
    Scores,
    blame,
    count_crashes,
    last_key,
    probed_keys,
    score_request,
    select_keys,
)
from pulley_policy.probation import (
    Restricted,
    Sender,
    find_place,
    find_refused,
    find_restricted,
    probation_left_ms,
    start_probes,
)

from ..peers.gossip import tell_crashes
from ..state.crash_log import (
    OWN,
    note_if_sound,
    record_own_clearance,
    record_own_loss,
    record_sound_request,
)
from ..state.jobs import AttemptFailed, Job, Loss
from ..state.models import CrashReports, Endpoint, RetryClass
from ..state.routers import Router
from .crash_keys import (
    crash_id,
    part_keys,
    request_hash,
    request_key,
    request_key_prefix,
    team_name,
)
from .crash_probes import ProbeResult, start_probe

logger = logging.getLogger(__name__)

# A caller is not kept away for longer, as a probe or a repair may end a quarantine.
MAX_RETRY_AFTER_MS = 60_000


def find_blocking_key(router: Router, job: Job) -> str | None:
    """Return the key for which a job's request is held back, None if it may be sent.

    Keeps the scores of the request's keys as of now, for the attempt that follows.
    """
    crash_log = router.fleet_view.crash_log
    evidence = crash_log.evidence
    now_ms = router.clock.now_ms()
    keys = part_keys(job)
    restricted = Restricted()
    if evidence.depths:
        key = request_key(job)
        keys.append(key)
        if key in evidence.depths:
            note_if_sound(crash_log, key, request_hash(job))
        restricted = find_restricted(evidence, keys, now_ms)
    if restricted.keys:
        refused = find_refused_key(router, job, restricted, now_ms)
        if refused is not None:
            return refused
    probes = start_probes(evidence, restricted, now_ms)
    for key, number in probes:
        log_event(logger, "key_probed", key=key, number=number)
    scores = score_request(evidence, keys)
    job.scores = replace(scores, team=team_name(job), probes=probes)
    return None


def log_lost_before(router: Router, job: Job, endpoint: Endpoint) -> None:
    """Log that a request was sent to an endpoint although it was lost in crashes."""
    if job.scores is None or not job.scores.keys:
        return
    key, score = job.scores.keys[-1], job.scores.scores[-1]
    if score and key.startswith(request_key_prefix(job)):
        log_event(
            logger,
            "lost_request_sent",
            request=job.call.request_id,
            endpoint=endpoint.name,
            key=key,
            score=score,
            n_crashes=count_crashes(router.fleet_view.crash_log.evidence, key),
        )


def find_refused_key(
    router: Router, job: Job, restricted: Restricted, now_ms: int
) -> str | None:
    """Return a restricted key that a job's request may not probe, if there is one.

    No probe is sent while the store is away, as other routers would not learn of it.
    """
    fleet_view = router.fleet_view
    if fleet_view.failing_since_ms is not None:
        return restricted.keys[0]
    probes = () if job.scores is None else job.scores.probes
    sender = Sender(
        find_place(router.settings.instance, fleet_view.routers),
        team_name(job),
        frozenset(key for key, _ in probes),
    )
    return find_refused(fleet_view.crash_log.evidence, restricted, sender, now_ms)


def retry_after_probation_ms(router: Router, key: str) -> int:
    """Return when a request that is held back may be sent at the earliest, in ms."""
    evidence = router.fleet_view.crash_log.evidence
    left_ms = probation_left_ms(evidence, key, router.clock.now_ms())
    return min(MAX_RETRY_AFTER_MS, left_ms)


async def record_loss(router: Router, job: Job, failure: AttemptFailed) -> bool:
    """Record a request that was lost, to be held against its keys after a crash.

    A prompt that was lost as its answer began is reported with all its keys: others
    that an endpoint held as it crashed had no answer yet, or events. Returns whether
    it was lost in a crash, which it may have caused.

    Any other request may have been lost with it; ``hold_loss`` keeps its loss.
    """
    if not may_be_crash(failure) or job.scores is None:
        return False
    scores = with_request_key(job)
    probe = start_probe(router, failure.endpoint.address)
    if is_crash_loss(job, failure):
        loss = Loss(failure.endpoint, scores, probe, answer_began=True)
        return await report_loss(router, loss)
    if scores.probes:
        return await report_loss(
            router, Loss(failure.endpoint, probed_keys(scores), probe)
        )
    hold_loss(router, job, failure.endpoint)
    return False


def hold_loss(router: Router, job: Job, endpoint: Endpoint) -> None:
    """Keep the loss of a request, against its own key, until the request ends.

    It is dropped if that is with a good answer. A probe is held against the keys that
    it probed too.
    """
    if job.scores is None:
        return
    scores = with_request_key(job)
    keys = probed_keys(scores) if scores.probes else last_key(scores)
    job.losses.append(Loss(endpoint, keys, start_probe(router, endpoint.address)))


async def report_if_suspect(router: Router, job: Job) -> None:
    """Report what a job has lost before it is sent again, if it may be to blame.

    One that was lost once, and that no other report names, need not wait for a probe.
    """
    known = any(loss.scores.scores[-1] for loss in job.losses)
    if known or len(job.losses) > 1:
        await report_losses(router, job)


async def report_losses(router: Router, job: Job) -> None:
    """Report the losses that a job still holds, those in crashes."""
    while job.losses:
        loss = job.losses[0]
        await report_loss(router, loss)
        if loss in job.losses:
            job.losses.remove(loss)


async def report_loss(router: Router, loss: Loss) -> bool:
    """Report a loss if its endpoint is down; an endpoint that is up only broke off.

    An endpoint that can't be reached may be behind a cut link: without an answer that
    began it says nothing. Returns whether it counts as a crash.
    """
    result = await asyncio.shield(loss.probe)
    unreachable = result is ProbeResult.UNREACHABLE
    if result is ProbeResult.UP or (unreachable and not loss.answer_began):
        return False
    lost = blame(crash_id(loss.endpoint), loss.scores)
    crash_log = router.fleet_view.crash_log
    if record_own_loss(crash_log, lost, router.clock.now_ms()):
        tell_crashes(router, CrashReports(OWN, (lost,), ()))
    return True


def report_after_end(router: Router, job: Job) -> None:
    """Report in the background what a job without a good answer has lost."""
    if job.losses:
        task = asyncio.create_task(report_losses(router, job))
        router.reporting.add(task)
        task.add_done_callback(router.reporting.discard)


def may_be_crash(failure: AttemptFailed) -> bool:
    """Check whether a request that may have run lost its connection."""
    return failure.reason is Reason.CONNECTION_LOST and failure.may_have_run


def is_crash_loss(job: Job, failure: AttemptFailed) -> bool:
    """Check whether a stream's connection ended after its head, before any event.

    How far an answer that is no stream had got is not known.
    """
    if job.route.retry_class is not RetryClass.STREAM or job.scores is None:
        return False
    lost = failure.reason is Reason.CONNECTION_LOST and failure.answer_began
    return lost and bool(job.call.parts)


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


def record_good_stream(router: Router, job: Job) -> None:
    """Clear a prompt's keys, and drop what it has lost: its answer is whole."""
    scores, job.scores = job.scores, None
    job.losses.clear()
    if scores is not None:
        clear(router, scores)


def record_read_parts(router: Router, job: Job) -> None:
    """Clear the parts of a prompt: its answer goes on past its first events.

    Its own key is kept until the answer is whole: the prompt may still crash the
    endpoint.
    """
    scores = job.scores
    prefix = request_key_prefix(job)
    if scores is None or not scores.keys or scores.keys[0].startswith(prefix):
        return
    parts = [key for key in scores.keys if not key.startswith(prefix)]
    job.scores = select_keys(scores, scores.keys[len(parts) :])
    clear(router, select_keys(scores, parts))


def record_good_request(router: Router, job: Job) -> None:
    """Record a whole answer that is no stream: it says nothing of prompt parts."""
    scores, job.scores = job.scores, None
    crash_log = router.fleet_view.crash_log
    record_sound_request(crash_log, request_hash(job), router.clock.now_ms())
    if scores is not None and any(scores.crashes[-1:]):
        clear(router, last_key(scores))


def clear(router: Router, scores: Scores) -> None:
    """Clear keys of the crashes that were known of them, and tell other routers."""
    now_ms = router.clock.now_ms()
    crash_log = router.fleet_view.crash_log
    score_by_key = dict(zip(scores.keys, scores.scores, strict=True))
    for clearance in record_good(crash_log.evidence, scores, now_ms):
        score = score_by_key[clearance.key]
        shared = record_own_clearance(crash_log, clearance, score, now_ms)
        if shared is not None:
            tell_crashes(router, CrashReports(OWN, (), (shared,)))
