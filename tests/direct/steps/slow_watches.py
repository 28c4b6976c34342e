"""Steps with a router whose store's changes take long to arrive."""

import asyncio

from behave import given, then, when

from pulley_base import Clock
from pulley_direct.state.fleet_views import FleetView, configuration_age_ms
from pulley_direct.state.models import Configuration
from pulley_direct.store.followers import follow_store
from pulley_direct.store.store_calls import Changes
from pulley_http import Limits
from pulley_policy.watchers import derive_times

IN_FORCE_MS = 3_000
# Long after the first configuration.
FIRST_CHANGE_S = 1.3


def configuration(version: int) -> Configuration:
    """Return a configuration without routes."""
    return Configuration(version, (), {}, Limits(), {}, False)


class SlowStore:
    """A store whose configuration changes, each ``every_s`` or once.

    Answers with a configuration take ``takes_s`` to arrive.
    """

    def __init__(self, takes_s: float, every_s: float | None):
        self.takes_s, self.every_s = takes_s, every_s
        self.n_reads = 0
        self.started_s = asyncio.get_running_loop().time()

    @property
    def revision(self) -> int:
        """The store's revision now."""
        passed_s = asyncio.get_running_loop().time() - self.started_s - FIRST_CHANGE_S
        if passed_s < 0:
            return 1
        return 2 if self.every_s is None else 2 + int(passed_s / self.every_s)

    def changes(self, revision: int) -> Changes:
        """Return the configuration of a revision as a change."""
        return Changes((configuration(revision),), revision)

    async def read_all(self) -> Changes:
        """Return everything, at once for the first time."""
        self.n_reads += 1
        found = self.changes(self.revision)
        await asyncio.sleep(self.takes_s if self.n_reads > 1 else 0)
        return found

    async def watch(self, revision: int, wait_ms: int, hear_answer) -> Changes:
        """Return the changes since a revision, once there are some."""
        while self.revision <= revision:
            await asyncio.sleep(0.02)
        found = self.changes(self.revision)
        hear_answer()
        await asyncio.sleep(self.takes_s)
        return found

    async def read_revision(self) -> Changes:
        """Return the store's revision."""
        return Changes((), self.revision)

    async def read_endpoints(self) -> Changes:
        """Return that there are no endpoints."""
        return Changes((), self.revision)


async def follow(takes_s: float, every_s: float | None, for_s: float):
    """Follow a store for a while; return it, the view and the word's age at changes."""
    store, clock = SlowStore(takes_s, every_s), Clock()
    view = FleetView(clock)
    following = asyncio.create_task(follow_store(store, view, clock, IN_FORCE_MS))
    ages_ms = {}
    for _ in range(int(for_s / 0.02)):
        await asyncio.sleep(0.02)
        if view.configuration is not None:
            ages_ms.setdefault(view.configuration.version, configuration_age_ms(view))
    following.cancel()
    return store, view, ages_ms


@when("the store's watch answers, and its answer takes {ms:d} ms to arrive")
def watch_slowly(context, ms):
    context.followed = asyncio.run(follow(ms / 1_000, None, 3.4))


@when("configurations change all the time, and each answer takes {ms:d} ms to arrive")
def change_all_the_time(context, ms):
    context.followed = asyncio.run(follow(ms / 1_000, 0.3, 6.5))


@then("everything was read once, and the change is in force")
def check_read_once(context):
    store, view, _ = context.followed
    assert (store.n_reads, view.configuration.version) == (1, 2), store.n_reads


@then("the store's word was young enough to be told to others as it arrived")
def check_young(context):
    ages_ms = context.followed[2]
    assert ages_ms[2] < derive_times(IN_FORCE_MS).stale_ms, ages_ms


@then("after the second one everything was read anew")
def check_read_anew(context):
    assert context.followed[0].n_reads > 1, context.followed[0].n_reads


@given("a store that fails the first {n:d} reads of the endpoints alone")
def fail_reads(context, n):
    context.n_failing_reads = n


@given("a router whose store fails for {share:g} of the time that changes may take")
def fail_for_a_while(context, share):
    context.failing_since_ms = 1
    context.failing_share = share
