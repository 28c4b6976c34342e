"""An engine's current state, without the lag of its load report."""

from .batches import Batch, Job
from .caches import count_tokens


def remaining_tokens(job: Job) -> float:
    """Return how many tokens a job still has to prefill and decode."""
    return max(0, job.n_tokens_to_prefill) + job.n_tokens_to_decode - len(job.generated)


def job_tokens(job: Job) -> float:
    """Return how many tokens a job prefills and decodes in all.

    Excludes the cached part of its prompt.
    """
    return count_tokens(job.prompt) - job.n_cached_tokens + job.n_tokens_to_decode


def describe_state(batch: Batch) -> dict:
    """Return the engine's state as a JSON document.

    ``n_tokens`` is the work left in all jobs and ``n_largest`` the work of the
    largest job, both in tokens; the other fields count jobs.
    """
    running = sum(remaining_tokens(job) for job in batch.running)
    waiting = sum(job_tokens(job) for job in batch.waiting)
    jobs = batch.running + batch.waiting
    return {
        "n_tokens": running + waiting,
        "n_largest": max((job_tokens(job) for job in jobs), default=0),
        "n_running": len(batch.running),
        "n_waiting": len(batch.waiting),
        "n_started": batch.n_started,
        "n_cancelled": batch.n_cancelled,
    }
