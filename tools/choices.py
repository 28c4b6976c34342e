"""Time a router's choice of an endpoint at the fleet size it is designed for.

``python tools/choices.py`` prints the time of one choice for a prompt of three
parts, and the time to record one bad outcome, at a tenth of that size and at the
full size.
"""

import logging
import time
from collections.abc import Callable
from itertools import count
from types import SimpleNamespace

from pulley_base import Clock
from pulley_direct.endpoints.placing import choose_target
from pulley_direct.state.fleet_views import FleetView
from pulley_direct.state.loads import LoadTable, eject_outlier, record_outcome
from pulley_direct.state.models import Bounds, Endpoint, PromptPart
from pulley_direct.store.endpoint_words import list_endpoint

SIZES = (78 * 11, 1_200, 12_000)
N_SERVICES = 11
N_REPEATS = 50
SERVICE = "service-3"
PARTS = (PromptPart("shared", 1_000), PromptPart("subject", 200), PromptPart("own", 50))


def make_router(n_endpoints: int) -> SimpleNamespace:
    """Return the router state that a choice reads, endpoints spread over services."""
    clock = Clock()
    fleet_view = FleetView(clock)
    for number in range(n_endpoints):
        service = f"service-{number % N_SERVICES}"
        address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80"
        list_endpoint(fleet_view, Endpoint(f"endpoint-{number}", service, address, 8))
    settings = SimpleNamespace(bounds=Bounds())
    return SimpleNamespace(
        fleet_view=fleet_view, loads=LoadTable(clock), settings=settings
    )


def time_ms(function: Callable[[], object]) -> float:
    """Return the mean time of a call in ms, over ``N_REPEATS`` calls."""
    started_s = time.perf_counter()
    for _ in range(N_REPEATS):
        function()
    return (time.perf_counter() - started_s) * 1_000 / N_REPEATS


def time_choice_ms(router: SimpleNamespace, is_known: bool) -> float:
    """Return the time of one choice in ms, for a part that is in use or a new one."""
    numbers = count()

    def choose() -> None:
        subject = PARTS[1]
        if not is_known:
            subject = PromptPart(f"subject-{next(numbers)}", subject.tokens)
        call = SimpleNamespace(parts=(PARTS[0], subject, PARTS[2]))
        job = SimpleNamespace(service=SERVICE, excluded=set(), call=call)
        choose_target(router, job)

    return time_ms(choose)


def time_bad_outcome_ms(router: SimpleNamespace) -> float:
    """Return the time to record one bad outcome of an outlier, in ms."""
    endpoints = router.fleet_view.endpoints.values()
    names = [endpoint.name for endpoint in endpoints if endpoint.service == SERVICE]
    for name in names:
        record_outcome(router.loads, name, SERVICE, good=True)

    def record_bad_outcome() -> None:
        record_outcome(router.loads, names[0], SERVICE, good=False)
        eject_outlier(router.loads, names[0], SERVICE, names)

    return time_ms(record_bad_outcome)


def main() -> None:
    """Print one line of timings for each fleet size."""
    logging.disable(logging.CRITICAL)
    for n_endpoints in SIZES:
        router = make_router(n_endpoints)
        known_ms = time_choice_ms(router, is_known=True)
        new_ms = time_choice_ms(router, is_known=False)
        outcome_ms = time_bad_outcome_ms(router)
        print(
            f"{n_endpoints} endpoints of {N_SERVICES} services: "
            f"{known_ms:.3f} ms a choice for a part in use, {new_ms:.2f} ms for a new "
            f"one, {outcome_ms:.3f} ms a bad outcome"
        )


if __name__ == "__main__":
    main()
