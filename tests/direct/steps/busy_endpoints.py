"""Endpoints that look busy to the router of a scenario."""

from contextlib import contextmanager

from pulley_direct.state.loads import get_state

BUSY_REQUESTS = 5


@contextmanager
def busy(fixture, name):
    """Make an endpoint look busy, so that another one is chosen."""
    state = get_state(fixture.router.loads, name)
    state.in_flight += BUSY_REQUESTS
    yield
    state.in_flight -= BUSY_REQUESTS
