"""Which endpoint gets a request when any router may send to any endpoint."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

# An idle service's mean is near zero; this many requests are within every bound.
FREE_REQUESTS = 2.0


@dataclass(frozen=True, slots=True)
class Option:
    """An endpoint that may be chosen.

    ``load`` is the router's estimate of the requests that it holds, ``share``
    its part of the service's capacity against that of the others.
    """

    name: str
    load: float
    share: float = 1.0


def choose_warm(options: Sequence[Option], factor: float) -> Option | None:
    """Give the first endpoint, in the order given, that is within the load bound.

    The bound is ``factor`` times an endpoint's share of the mean plus two; where
    all are over it, the least loaded is chosen.

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
    """Give the endpoint with the least load, a random one among equals."""
    if not options:
        return None
    return min(options, key=lambda one: (relative_load(one), draw()))


def load_bounds(options: Sequence[Option], factor: float) -> dict[str, float]:
    """Give each endpoint's bound: ``factor`` times its share of the mean, plus some."""
    total = sum(one.load for one in options)
    shares = sum(one.share for one in options)
    each = factor * total / shares if shares else 0.0
    return {one.name: each * one.share + FREE_REQUESTS for one in options}


def relative_load(option: Option) -> float:
    """Give the load against the endpoint's share of the capacity."""
    return option.load / option.share
