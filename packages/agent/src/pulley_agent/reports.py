"""Polling of the engine's metrics: reachability, and load from other clients."""

import asyncio
import logging
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from pulley_base import ConnectionLost, PulleyError, to_seconds
from pulley_http import Client, fetch

from .admission import Admission, set_engine_state

METRICS_PATH = "/metrics"
POLL_INTERVAL_MS = 500
POLL_TIMEOUT_MS = 1_000
N_COUNTS_KEPT = 5
MAX_TIMEOUTS = 3
LOAD_METRICS = ("vllm:num_requests_running", "vllm:num_requests_waiting")

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class EngineWatch:
    """State of polling the engine's metrics.

    ``running_counts`` are the numbers of running attempts at the latest polls. The
    engine's metrics lag, so they are compared with the largest of these.
    """

    admission: Admission
    client: Client
    engine: str
    running_counts: deque[int] = field(
        default_factory=lambda: deque(maxlen=N_COUNTS_KEPT)
    )
    n_timeouts: int = 0


async def watch_engine(watch: EngineWatch) -> None:
    """Poll the engine's metrics until cancelled."""
    while True:
        await poll_metrics(watch)
        await asyncio.sleep(to_seconds(POLL_INTERVAL_MS))


async def poll_metrics(watch: EngineWatch) -> None:
    """Poll the metrics once; an engine that can't be reached gets no work.

    A refused connection counts at once, other failures after ``MAX_TIMEOUTS`` in a row.
    """
    watch.running_counts.append(watch.admission.n_running)
    try:
        answer = await fetch(
            watch.client, watch.engine, "GET", METRICS_PATH, timeout_ms=POLL_TIMEOUT_MS
        )
    except PulleyError as error:
        refused = isinstance(error, ConnectionLost) and error.step == "connect"
        watch.n_timeouts += 1
        if refused or watch.n_timeouts >= MAX_TIMEOUTS:
            set_engine_state(watch.admission, up=False)
        return
    watch.n_timeouts = 0
    set_engine_state(watch.admission, up=True)
    n_reported = sum(parse_request_counts(answer.body.decode("utf-8", "replace")))
    correct_load(watch, n_reported)


def parse_request_counts(text: str) -> Iterator[float]:
    """Yield the numbers of running and waiting requests in a Prometheus text."""
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        if name.partition("{")[0] in LOAD_METRICS:
            yield float(value)


def correct_load(watch: EngineWatch, n_reported: float) -> None:
    """Add the load of requests in the engine that did not come through this agent."""
    load = watch.admission.gate.load
    n_hidden = max(0.0, n_reported - max(watch.running_counts))
    remaining_work = [attempt.remaining for attempt in load.running.values()]
    mean_work = sum(remaining_work) / len(remaining_work) if remaining_work else 1.0
    load.correct(n_hidden * mean_work, 0.0)
