"""Choose the endpoint for a request when any router may send to any endpoint."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import chain, islice

# An idle service's mean is near zero, so every bound allows this many requests.
BOUND_SLACK_REQUESTS = 2.0
# A context of this size is read in less than a tenth of the shortest targets.
SHORT_CONTEXT_TOKENS = 1_500
# A home is busier than most with this multiple of the mean load.
BUSY_FACTOR = 1.25
# A short context is kept at this many endpoints beside its home.
MAX_SHORT_RANK = 1


@dataclass(frozen=True, slots=True)
class Option:
    """An endpoint that may be chosen.

    ``load`` is the router's estimate of the requests in flight there, ``share`` the
    endpoint's part of the service's capacity relative to the others, ``duration`` how
    long work takes there now, 1 for as long as usual.
    """

    name: str
    load: float
    share: float = 1.0
    duration: float = 1.0


@dataclass(frozen=True, slots=True)
class Spread:
    """How much load there is: the mean of the options, and the bound on each.

    ``bound_per_share`` is the load in requests that an endpoint may have for each unit
    of its share of the capacity, beside ``BOUND_SLACK_REQUESTS``.
    """

    mean: float
    bound_per_share: float


def measure_spread(options: Sequence[Option], factor: float) -> Spread:
    """Measure the load of all options; an endpoint may have ``factor`` times its share.

    >>> measure_spread([Option("a", 9.0), Option("b", 0.0, share=2.0)], 2.0)
    Spread(mean=4.5, bound_per_share=6.0)
    """
    total_load = sum(option.load for option in options)
    total_share = sum(option.share for option in options)
    return spread_totals(total_load, total_share, len(options), factor)


def spread_totals(
    total_load: float, total_share: float, n_options: int, factor: float
) -> Spread:
    """Return the spread of so many options with these sums."""
    if not n_options:
        return Spread(0.0, 0.0)
    bound_per_share = factor * total_load / total_share if total_share else 0.0
    return Spread(total_load / n_options, bound_per_share)


def load_bound(option: Option, spread: Spread) -> float:
    """Return an endpoint's load bound in requests."""
    return spread.bound_per_share * option.share + BOUND_SLACK_REQUESTS


def choose_warm(options: Iterable[Option], spread: Spread) -> Option | None:
    """Return the first endpoint, in the order given, whose load is below its bound.

    If no load is below its bound, the least loaded is returned; without options, None.

    >>> both = [Option("a", 9.0), Option("b", 0.0)]
    >>> choose_warm(both, measure_spread(both, 1.5)).name
    'b'
    """
    least = None
    for option in options:
        if option.load < load_bound(option, spread):
            return option
        if least is None or relative_load(option) < relative_load(least):
            least = option
    return least


def choose_home(
    options: Iterable[Option], spread: Spread, context_tokens: int
) -> Option | None:
    """Return the first endpoint, in the order given, that a prompt should go to.

    ``context_tokens`` is the size of what it may share with others. A short context is
    read again in less time than its prompt waits beside long ones, at a home that is
    busier than most: such a prompt leaves sooner, if one of the next
    ``MAX_SHORT_RANK`` endpoints is less busy, and makes room for long ones.
    """
    options = iter(options)
    first = []
    if is_short_context(context_tokens):
        first = list(islice(options, MAX_SHORT_RANK + 1))
    most = spread.mean * BUSY_FACTOR + BOUND_SLACK_REQUESTS
    for option in first:
        if option.load <= most:
            return option
    return choose_warm(chain(first, options), spread)


def is_short_context(n_tokens: int) -> bool:
    """Check whether a context is read again in as little time as it is copied."""
    return n_tokens < SHORT_CONTEXT_TOKENS


def choose_idle(options: Sequence[Option], draw: Callable[[], float]) -> Option | None:
    """Return the endpoint with the least load, a random one among equals.

    Returns None without options.
    """
    if not options:
        return None
    return min(options, key=lambda option: (relative_load(option), draw()))


def choose_of_two(
    options: Sequence[Option], draw: Callable[[], float]
) -> Option | None:
    """Return the better one of two random endpoints, None without options.

    That is the one at which one more request is done sooner. Routers that have heard
    the same would all send to the best of all.
    """
    if len(options) < 2:
        return options[0] if options else None
    first = int(draw() * len(options))
    second = (first + 1 + int(draw() * (len(options) - 1))) % len(options)
    return min(options[first], options[second], key=expected_wait)


def expected_wait(option: Option) -> float:
    """Return when one more request is done, relative to that at other endpoints."""
    return (option.load + 1.0) * option.duration / option.share


def relative_load(option: Option) -> float:
    """Return the load relative to the endpoint's share of the capacity."""
    return option.load / option.share
