"""Which endpoint gets a request when any router may send to any endpoint."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .placement import score_endpoint


@dataclass(frozen=True, slots=True)
class Option:
    """An endpoint that may be chosen.

    ``load`` is the router's estimate of the requests that it holds, ``share``
    its part of the service's capacity against that of the others.
    """

    name: str
    load: float
    share: float = 1.0


def choose_warm(key: bytes, options: Sequence[Option], factor: float) -> Option | None:
    """Give the endpoint that most likely holds a prompt, within the load bound.

    The first by rendezvous rank whose load is under ``factor`` times its share
    of the mean plus one; the least loaded where all are over it.

    >>> both = [Option("a", 9.0), Option("b", 0.0)]
    >>> choose_warm(b"key", both, 1.5).name
    'b'
    """
    if not options:
        return None
    bounds = load_bounds(options, factor)
    within = [one for one in options if one.load < bounds[one.name]]
    if not within:
        return min(options, key=relative_load)
    return max(within, key=lambda one: (score_endpoint(key, one.name), one.name))


def choose_idle(
    options: Sequence[Option], draw: Callable[[], float]
) -> Option | None:
    """Give the endpoint with the least load, a random one among equals."""
    if not options:
        return None
    return min(options, key=lambda one: (relative_load(one), draw()))


def load_bounds(options: Sequence[Option], factor: float) -> dict[str, float]:
    """Give each endpoint's bound: its share of the mean, times ``factor``, plus 1."""
    total = sum(one.load for one in options)
    shares = sum(one.share for one in options)
    return {one.name: factor * total * one.share / shares + 1.0 for one in options}


def relative_load(option: Option) -> float:
    """Give the load against the endpoint's share of the capacity."""
    return option.load / option.share
