"""Choose the endpoint for a request when any router may send to any endpoint."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

# An idle service's mean is near zero, so every bound allows this many requests.
BOUND_SLACK_REQUESTS = 2.0


@dataclass(frozen=True, slots=True)
class Option:
    """An endpoint that may be chosen.

    ``load`` is the router's estimate of the requests in flight there, ``share`` the
    endpoint's part of the service's capacity relative to the others.
    """

    name: str
    load: float
    share: float = 1.0


def choose_warm(options: Sequence[Option], factor: float) -> Option | None:
    """Return the first endpoint, in the order given, whose load is below its bound.

    The bound is ``factor`` times the endpoint's share of the mean, plus two requests.
    If no load is below its bound, the least loaded is returned; without options, None.

    >>> both = [Option("a", 9.0), Option("b", 0.0)]
    >>> choose_warm(both, 1.5).name
    'b'
    """
    bounds = load_bounds(options, factor)
    for option in options:
        if option.load < bounds[option.name]:
            return option
    return min(options, key=relative_load, default=None)


def choose_idle(options: Sequence[Option], draw: Callable[[], float]) -> Option | None:
    """Return the endpoint with the least load, a random one among equals.

    Returns None without options.
    """
    if not options:
        return None
    return min(options, key=lambda option: (relative_load(option), draw()))


def load_bounds(options: Sequence[Option], factor: float) -> dict[str, float]:
    """Return each endpoint's load bound in requests, by name.

    The bound is ``factor`` times its share of the mean, plus ``BOUND_SLACK_REQUESTS``.
    """
    total_load = sum(option.load for option in options)
    total_share = sum(option.share for option in options)
    bound_per_share = factor * total_load / total_share if total_share else 0.0
    return {
        option.name: bound_per_share * option.share + BOUND_SLACK_REQUESTS
        for option in options
    }


def relative_load(option: Option) -> float:
    """Return the load relative to the endpoint's share of the capacity."""
    return option.load / option.share
