"""An event loop whose time passes at once, so that long runs take no time."""

import asyncio
import selectors

from pulley_direct.state.signals import Signal


class OrderedSignal(Signal):
    """A signal that wakes its tasks in the order in which they began to wait.

    So that a day is the same each time that it is played.
    """

    def __init__(self):
        self.waiters: dict[asyncio.Future, None] = {}

    def notify(self) -> None:
        waiters, self.waiters = self.waiters, {}
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self.waiters[waiter] = None
        try:
            await waiter
        finally:
            self.waiters.pop(waiter, None)


class InstantSelector(selectors.DefaultSelector):
    """A selector that does not wait, but tells for how long it would have waited."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left to happen")
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on the time of its selector."""

    def __init__(self):
        self.virtual = InstantSelector()
        super().__init__(self.virtual)
        # Timers are due at their very time.
        self._clock_resolution = 1e-9

    def time(self):
        return self.virtual.now_s


def run_virtually(coroutine):
    """Run a coroutine to its end on a loop of its own, and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
