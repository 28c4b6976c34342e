"""Timeouts that take into account that the event loop may be busy."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from .clock import to_seconds

# Timers on an idle loop fire a few milliseconds late at most.
MAX_PUNCTUAL_S = 0.01


@asynccontextmanager
async def time_limit(
    timeout_ms: int | float | None, max_extra_ms: int | float | None = None
) -> AsyncIterator[None]:
    """Raise TimeoutError in a block that takes longer than ``timeout_ms``.

    While the event loop is busy, nobody reads what arrives. So if the timeout is
    noticed late, the block gets that much time again, at most ``timeout_ms`` in all
    and at most ``max_extra_ms`` if that is given. What has arrived in the turn of the
    loop in which the timeout expires counts as in time. None sets no limit.

    >>> async def wait(timeout_ms):
    ...     async with time_limit(timeout_ms):
    ...         await asyncio.sleep(10)
    >>> asyncio.run(wait(1))
    Traceback (most recent call last):
    TimeoutError
    """
    async with asyncio.timeout(None) as scope:
        timer = None
        if timeout_ms is not None:
            extra_ms = timeout_ms if max_extra_ms is None else max_extra_ms
            timer = ExpiryTimer(scope, timeout_ms, min(timeout_ms, extra_ms))
        try:
            yield
        finally:
            if timer is not None:
                timer.handle.cancel()


@asynccontextmanager
async def interruptible() -> AsyncIterator[Callable[[], None]]:
    """Yield a function that makes the block raise TimeoutError, wherever it waits.

    It does nothing once the block has ended.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        is_open = True

        def interrupt() -> None:
            if is_open and not scope.expired():
                scope.reschedule(loop.time())

        try:
            yield interrupt
        finally:
            is_open = False


class ExpiryTimer:
    """Expires a timeout scope, later if the loop was busy when it was due.

    ``extra_s`` is the time that may still be granted.
    """

    def __init__(
        self,
        scope: asyncio.Timeout,
        timeout_ms: int | float,
        extra_ms: int | float,
    ):
        self.scope = scope
        self.loop = asyncio.get_running_loop()
        self.extra_s = to_seconds(extra_ms)
        self.start(to_seconds(timeout_ms))

    def start(self, delay_s: float) -> None:
        """Start the timer."""
        self.due_s = self.loop.time() + delay_s
        self.handle = self.loop.call_at(self.due_s, self.expire)

    def expire(self) -> None:
        """Expire the scope, or wait as long again as the loop was late."""
        late_s = min(self.loop.time() - self.due_s, self.extra_s)
        if late_s > MAX_PUNCTUAL_S:
            self.extra_s -= late_s
            self.start(late_s)
        else:
            self.scope.reschedule(self.loop.time())


async def wait_for_event(event: asyncio.Event, timeout_ms: int | float) -> bool:
    """Wait until an event is set; return False if it is not within ``timeout_ms``.

    The loop looks for bytes once more before this returns False, as it may have been
    busy since the timeout expired.
    """
    try:
        async with time_limit(timeout_ms):
            await event.wait()
    except TimeoutError:
        await asyncio.sleep(0)
    return event.is_set()
