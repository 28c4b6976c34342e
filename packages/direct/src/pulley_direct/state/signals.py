"""A notification that any number of tasks can wait for."""

import asyncio
from collections.abc import Callable

from pulley_base import time_limit


class Signal:
    """Wakes all waiting tasks at each call of ``notify``."""

    def __init__(self):
        self.waiters: set[asyncio.Future] = set()

    def notify(self) -> None:
        """Wake all tasks that wait now."""
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        """Wait for the next call of ``notify``."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await waiter
        finally:
            self.waiters.discard(waiter)


async def wait_until(
    signal: Signal, condition: Callable[[], bool], timeout_ms: int
) -> bool:
    """Wait until a condition holds, and check it again at each signal.

    Returns the condition's value at the end: False if it did not hold within
    ``timeout_ms``.
    """
    try:
        async with time_limit(timeout_ms):
            while not condition():
                await signal.wait()
    except TimeoutError:
        return condition()
    return True
