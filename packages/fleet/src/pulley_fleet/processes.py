"""Process lifecycle: background tasks, garbage collection and signals."""

import asyncio
import gc
import logging
import signal
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import TypeVar

from pulley_base import log_event, warn_event

GC_GENERATION_0_THRESHOLD = 20_000
GC_GENERATION_1_THRESHOLD = 20
GC_GENERATION_2_THRESHOLD = 50

Result = TypeVar("Result")

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class BackgroundTasks:
    """Tasks that run until the process stops."""

    tasks: set[asyncio.Task] = field(default_factory=set)


def start_task(background: BackgroundTasks, work: Coroutine, name: str) -> asyncio.Task:
    """Run ``work`` as a background task; an exception is logged."""
    task = asyncio.get_running_loop().create_task(work, name=name)
    background.tasks.add(task)
    task.add_done_callback(lambda done: finish_task(background, done))
    return task


def finish_task(background: BackgroundTasks, task: asyncio.Task) -> None:
    """Remove a task that ended, and log its exception if it failed."""
    background.tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        warn_event(
            logger, "task_failed", task=task.get_name(), error=repr(task.exception())
        )
        logger.debug("task_failed", exc_info=task.exception())


async def cancel_tasks(background: BackgroundTasks) -> None:
    """Cancel all background tasks and wait until they have ended."""
    tasks = list(background.tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def tune_garbage_collector() -> None:
    """Exclude startup objects from garbage collection and collect less often.

    Modules, classes and settings live as long as the process. A full collection that
    includes them takes tens of milliseconds, during which no stream advances.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GC_GENERATION_0_THRESHOLD, GC_GENERATION_1_THRESHOLD, GC_GENERATION_2_THRESHOLD
    )


def watch_signals() -> tuple[asyncio.Event, asyncio.Event]:
    """Return two events: set by the first SIGTERM or SIGINT, and by the second."""
    first, second = asyncio.Event(), asyncio.Event()

    def on_signal(name: str) -> None:
        log_event(logger, "signal", signal=name, again=first.is_set())
        (second if first.is_set() else first).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal, number.name)
    return first, second


async def finish_or_stop(
    work: Coroutine[None, None, Result], stop_now: asyncio.Event
) -> Result | None:
    """Return the result of ``work``; cancel it and return None on ``stop_now``."""
    working = asyncio.create_task(work)
    stopping = asyncio.create_task(stop_now.wait())
    await asyncio.wait({working, stopping}, return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if working.done():
        return working.result()
    working.cancel()
    return None
