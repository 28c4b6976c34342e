"""Continuous batching over a fixed number of slots, one token per job and step."""

import asyncio
import logging
import os
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field
from itertools import count

from pulley_base import Clock, to_seconds, warn_event

from .caches import PrefixCache, cache_text, count_tokens, match_prefix

CRASH_EXIT_CODE = 70

logger = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class Job:
    """One completion: its prompt, its progress and the tokens to be sent.

    A lower ``priority`` number runs first, then a lower ``arrival_number``.
    ``token_queue`` ends with None.
    """

    chat: str
    prompt: str
    tokens: Iterator[str]
    n_tokens_to_decode: int
    priority: int = 0
    arrival_number: int = 0
    n_cached_tokens: int = 0
    n_tokens_to_prefill: int = 0
    generated: list[str] = field(default_factory=list)
    token_queue: asyncio.Queue = field(default_factory=asyncio.Queue)


@dataclass(slots=True, eq=False)
class Batch:
    """The jobs of one engine and its speed.

    A step takes ``step_ms``. A prompt that contains ``poison`` crashes the
    process. While ``responsive`` is not set, the batch makes no progress.
    """

    cache: PrefixCache
    n_slots: int
    prefill_tokens_per_s: float
    step_ms: float
    poison: str = ""
    clock: Clock = field(default_factory=Clock)
    waiting: list[Job] = field(default_factory=list)
    running: list[Job] = field(default_factory=list)
    arrival_numbers: Iterator[int] = field(default_factory=count)
    job_added: asyncio.Event = field(default_factory=asyncio.Event)
    responsive: asyncio.Event = field(default_factory=asyncio.Event)
    n_started: int = 0
    n_finished: int = 0
    n_cancelled: int = 0


async def generate(batch: Batch, job: Job) -> AsyncIterator[str]:
    """Run a job and yield its tokens; closing the iterator frees its slot."""
    job.arrival_number = next(batch.arrival_numbers)
    batch.waiting.append(job)
    batch.job_added.set()
    try:
        while (token := await job.token_queue.get()) is not None:
            yield token
    finally:
        remove_job(batch, job)


def remove_job(batch: Batch, job: Job):
    """Remove a job and count it as cancelled if it has not finished.

    The text that it has generated stays cached.
    """
    for jobs in (batch.waiting, batch.running):
        if job in jobs:
            jobs.remove(job)
            batch.n_cancelled += 1
    if job.generated:
        cache_text(batch.cache, job.chat, job.prompt + "".join(job.generated))


async def run_batch(batch: Batch):
    """Run a step whenever there are jobs; make no progress while silent.

    Runs until cancelled.
    """
    while True:
        if not batch.waiting and not batch.running:
            batch.job_added.clear()
            await batch.job_added.wait()
            step_end_ms = batch.clock.now_ms()
        await batch.responsive.wait()
        admit_jobs(batch)
        step_end_ms = max(step_end_ms + batch.step_ms, batch.clock.now_ms())
        await asyncio.sleep(to_seconds(step_end_ms - batch.clock.now_ms()))
        if batch.responsive.is_set():
            prefill_jobs(batch)
            decode_jobs(batch)


def admit_jobs(batch: Batch):
    """Move waiting jobs into free slots, lowest priority number first."""
    batch.waiting.sort(key=lambda job: (job.priority, job.arrival_number))
    while batch.waiting and len(batch.running) < batch.n_slots:
        start_job(batch, batch.waiting.pop(0))


def start_job(batch: Batch, job: Job):
    """Start a job in a free slot; look up its prompt in the cache.

    A prompt that contains ``poison`` ends the process, as a crash would.
    """
    batch.n_started += 1
    if batch.poison and batch.poison in job.prompt:
        warn_event(logger, "engine_crashed", chat=job.chat)
        os._exit(CRASH_EXIT_CODE)
    job.n_cached_tokens = match_prefix(batch.cache, job.prompt)
    job.n_tokens_to_prefill = count_tokens(job.prompt) - job.n_cached_tokens
    batch.running.append(job)


def prefill_jobs(batch: Batch):
    """Spend one step's prefill budget on the jobs that need it, in priority order."""
    n_budget_tokens = batch.prefill_tokens_per_s * batch.step_ms / 1000
    for job in sorted(
        batch.running, key=lambda job: (job.priority, job.arrival_number)
    ):
        if job.n_tokens_to_prefill <= 0:
            continue
        n_prefilled_tokens = min(job.n_tokens_to_prefill, n_budget_tokens)
        job.n_tokens_to_prefill -= n_prefilled_tokens
        n_budget_tokens -= n_prefilled_tokens
        if job.n_tokens_to_prefill <= 0:
            cache_text(batch.cache, job.chat, job.prompt)


def decode_jobs(batch: Batch):
    """Generate one token for each job whose prefill is complete."""
    ready = [job for job in batch.running if job.n_tokens_to_prefill <= 0]
    for job in ready:
        if len(job.generated) < job.n_tokens_to_decode:
            token = next(job.tokens)
            job.generated.append(token)
            job.token_queue.put_nowait(token)
        if len(job.generated) >= job.n_tokens_to_decode:
            batch.running.remove(job)
            batch.n_finished += 1
            job.token_queue.put_nowait(None)
