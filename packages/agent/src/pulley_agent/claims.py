"""Claims of this agent, written to the store before non-idempotent work runs."""

import asyncio
import logging
import secrets
from dataclasses import dataclass, field

from prometheus_client import Counter

from pulley_base import (
    Clock,
    Outcome,
    Reason,
    Sentinel,
    log_event,
    time_limit,
    to_seconds,
    warn_event,
)
from pulley_fleet.claims import execute_steps
from pulley_fleet.windows import Window, read_window
from pulley_http import RequestRefused
from pulley_policy.buckets import TokenBucket, reserve
from pulley_policy.claims import (
    ClaimedAttempt,
    Ruling,
    Subject,
    Verdict,
    claim_steps,
    release_steps,
)
from pulley_wire.messages import Open

from .attempts import Attempt

CLAIM_TOKEN_BYTES = 8
CLAIM_TIMEOUT_MS = 300
STORE_PROBE_INTERVAL_MS = 250
RELEASE_TIMEOUT_MS = 60_000
MAX_PENDING_RELEASES = 1_000
BURST_WRITES = 50

logger = logging.getLogger(__name__)

CLAIMS = Counter("plantainpulley_claims", "Claims, by what they came to", ["verdict"])
CLAIMS_DELAYED = Counter(
    "plantainpulley_claims_delayed", "Claims that waited, by what for", ["reason"]
)
RELEASES = Counter("plantainpulley_releases", "Unused claims given up", ["result"])


class KeyTaken(RequestRefused):
    """Refusal: another attempt has claimed the key; the router may join it."""

    def __init__(self, claimed: ClaimedAttempt):
        super().__init__(
            409, Reason.KEY_IN_FLIGHT, "another request has this key", step="claim"
        )
        self.claimed = claimed


class MayHaveRun(RequestRefused):
    """Refusal: another delivery of this attempt was claimed and may have run."""

    def __init__(self):
        super().__init__(
            502,
            Reason.KEY_SPENT,
            "this attempt was claimed before and may have run",
            outcome=Outcome.UNKNOWN,
            step="claim",
        )


@dataclass(slots=True)
class Claims:
    """State that all claims of an agent share."""

    window: Window
    clock: Clock
    service: str
    budget: TokenBucket
    address: str = ""
    store_up: asyncio.Event = field(default_factory=asyncio.Event)
    probe_task: asyncio.Task | None = None
    release_tasks: set[asyncio.Task] = field(default_factory=set)


def make_write_budget(clock: Clock, writes_per_s: float) -> TokenBucket:
    """Return a full budget of claim writes, this agent's part of its service's rate."""
    return TokenBucket(writes_per_s, BURST_WRITES, BURST_WRITES, clock.now_ms())


async def wait_for_write_budget(claims: Claims, deadline_ms: int) -> None:
    """Wait until a claim may be written.

    Raises RequestRefused if that would be at or after the deadline.
    """
    wait_ms = reserve(claims.budget, claims.clock.now_ms())
    if wait_ms <= 0:
        return
    CLAIMS_DELAYED.labels("budget").inc()
    if claims.clock.now_ms() + wait_ms >= deadline_ms:
        claims.budget.left += 1
        raise RequestRefused(
            503,
            Reason.CLAIM_BUDGET,
            "too many claims are being written",
            retry_after_ms=1_000,
            step="claim",
        )
    await asyncio.sleep(to_seconds(wait_ms))


async def wait_for_store(claims: Claims, deadline_ms: int) -> None:
    """Wait while the store is known to be down.

    Raises RequestRefused at the deadline.
    """
    if claims.store_up.is_set():
        return
    CLAIMS_DELAYED.labels(str(Reason.STORE_DOWN)).inc()
    if claims.probe_task is None or claims.probe_task.done():
        claims.probe_task = asyncio.get_running_loop().create_task(probe_store(claims))
    left_ms = deadline_ms - claims.clock.now_ms()
    try:
        async with time_limit(left_ms):
            await claims.store_up.wait()
    except TimeoutError as error:
        raise make_store_down_refusal() from error


async def probe_store(claims: Claims) -> None:
    """Read the claim window repeatedly until the store answers."""
    while True:
        await read_window(claims.window)
        if claims.window.store_up:
            claims.store_up.set()
            return
        await asyncio.sleep(to_seconds(STORE_PROBE_INTERVAL_MS))


async def claim_attempt(claims: Claims, attempt: Attempt) -> bool:
    """Claim an attempt; return False if the store did not answer in time.

    Raises RequestRefused if the attempt must not run: KeyTaken names the attempt
    to join, MayHaveRun means that the outcome is unknown.
    """
    subject = make_subject(claims, attempt)
    claim_deadline_ms = min(
        attempt.deadline_ms, claims.clock.deadline_ms(CLAIM_TIMEOUT_MS)
    )
    attempt.claim_may_exist = True
    ruling = await execute_steps(
        claims.window.store,
        claims.clock,
        subject,
        claim_steps(subject),
        claim_deadline_ms,
    )
    if isinstance(ruling, Sentinel):
        claims.store_up.clear()
        return False
    attempt.claim_may_exist = False
    CLAIMS.labels(str(ruling.verdict)).inc()
    if ruling.verdict is not Verdict.CREATED:
        raise refusal_for_ruling(ruling)
    return True


def make_subject(claims: Claims, attempt: Attempt) -> Subject:
    """Build the subject of a claim; a request without a key uses its nonce."""
    opened = attempt.opened
    if not attempt.claim_token:
        attempt.claim_token = secrets.token_bytes(CLAIM_TOKEN_BYTES)
    return Subject(
        claims.service,
        opened.key or opened.nonce,
        opened.nonce,
        opened.window or 0,
        claims.address,
        opened.body_digest or b"",
        attempt.claim_token,
    )


def refusal_for_ruling(ruling: Ruling) -> RequestRefused:
    """Convert a ruling against the attempt into the refusal for the router."""
    if ruling.verdict is Verdict.TAKEN:
        return KeyTaken(ruling.claimed)
    if ruling.verdict is Verdict.CLAIMED:
        return MayHaveRun()
    if ruling.verdict is Verdict.KEY_REUSED:
        return RequestRefused(
            422, Reason.KEY_REUSED, "this key came with another body", step="claim"
        )
    if ruling.verdict is Verdict.WINDOW_PASSED:
        return RequestRefused(
            503, Reason.WINDOW_PASSED, "the claim window has passed", step="claim"
        )
    return RequestRefused(
        503, Reason.KEY_VOIDED, "this attempt was voided", step="claim"
    )


def make_store_down_refusal() -> RequestRefused:
    """Build the refusal for a store that did not answer within the deadline."""
    return RequestRefused(
        503,
        Reason.STORE_DOWN,
        "the key-value service did not answer within the deadline",
        retry_after_ms=1_000,
        step="claim",
    )


async def release_unused_claim(claims: Claims, attempt: Attempt) -> None:
    """Void a claim that may have been written and was never used.

    The first try is made at once, so that a resend finds the key free. If the store
    does not answer, retries continue in the background.
    """
    if not attempt.claim_may_exist or attempt.ran:
        return
    attempt.claim_may_exist = False
    subject = make_subject(claims, attempt)
    if not await release_claim(claims, subject, CLAIM_TIMEOUT_MS):
        release_in_background(claims, subject)


def release_in_background(claims: Claims, subject: Subject) -> None:
    """Keep releasing the claim in a task, limited in number and time."""
    if len(claims.release_tasks) >= MAX_PENDING_RELEASES:
        warn_event(logger, "release_dropped", key=subject.key.hex())
        RELEASES.labels("dropped").inc()
        return
    work = release_claim(claims, subject, RELEASE_TIMEOUT_MS)
    task = asyncio.get_running_loop().create_task(work)
    claims.release_tasks.add(task)
    task.add_done_callback(claims.release_tasks.discard)


async def release_claim(claims: Claims, subject: Subject, limit_ms: int) -> bool:
    """Void this agent's unused claim; return False if the store did not answer."""
    deadline_ms = claims.clock.deadline_ms(limit_ms)
    ruling = await execute_steps(
        claims.window.store, claims.clock, subject, release_steps(subject), deadline_ms
    )
    released = not isinstance(ruling, Sentinel)
    RELEASES.labels("released" if released else "unanswered").inc()
    if released:
        log_event(logger, "claim_released", verdict=ruling.verdict)
    return released


def needs_claim(opened: Open) -> bool:
    """Check whether an attempt must be claimed before it runs."""
    return not opened.idempotent
