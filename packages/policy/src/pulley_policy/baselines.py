"""Baseline placements for comparison; each is a ``placement.PlacementFunction``."""

from collections.abc import Mapping, Sequence

from .placement import Draw, PlacementFunction, choose_two, place_home, rank_endpoints

RING_LOAD_MULTIPLE = 1.25


def place_random(
    chat: bytes, names: Sequence[str], loads: Mapping[str, float], draw: Draw
) -> list[str]:
    """Return the endpoints in random order."""
    return sorted(names, key=lambda _name: draw())


def place_two_choices(
    chat: bytes, names: Sequence[str], loads: Mapping[str, float], draw: Draw
) -> list[str]:
    """Return two random endpoints, the less loaded first, then the rest at random."""
    pair = choose_two(names, loads, draw)
    rest = [name for name in names if name not in pair]
    return pair + place_random(chat, rest, loads, draw)


def place_rendezvous(
    chat: bytes, names: Sequence[str], loads: Mapping[str, float], draw: Draw
) -> list[str]:
    """Return the endpoints ordered by rendezvous rank, ignoring their load."""
    return rank_endpoints(chat, names)


def place_bounded(
    chat: bytes, names: Sequence[str], loads: Mapping[str, float], draw: Draw
) -> list[str]:
    """Return the endpoints ordered by rank, those over the bound last.

    This is consistent hashing with bounded loads by what one router knows: the load
    that it has itself in flight at each endpoint.
    """
    ranked = rank_endpoints(chat, names)
    total = sum(loads.get(name, 0.0) for name in names) + 1
    bound = RING_LOAD_MULTIPLE * total / max(1, len(names))
    return sorted(ranked, key=lambda name: loads.get(name, 0.0) >= bound)


PLACEMENTS: dict[str, PlacementFunction] = {
    "home": place_home,
    "random": place_random,
    "two-choices": place_two_choices,
    "rendezvous": place_rendezvous,
    "bounded": place_bounded,
}
