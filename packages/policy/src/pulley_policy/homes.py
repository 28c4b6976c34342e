"""Rank the endpoints for the shared parts of a prompt: their homes and sources.

Every router ranks the endpoints in the same way from the list alone, so routers agree
without communication, also just after a start. A part whose home has changed is
copied from its previous home, if that still runs.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .placement import rank_endpoints


@dataclass(frozen=True, slots=True)
class Place:
    """An endpoint that holds, held or may come to hold parts of prompts.

    ``usable`` means that it takes new work, ``joined`` that it joined recently and
    holds little yet.
    """

    name: str
    usable: bool = True
    joined: bool = False


def order_places(key: bytes, places: Iterable[Place]) -> list[str]:
    """Return the usable endpoints ordered for a prompt, its home first."""
    return rank_endpoints(key, [place.name for place in places if place.usable])


def order_sources(key: bytes, places: Sequence[Place], chosen: str) -> list[str]:
    """Return, in order, the endpoints that may hold more of a prompt than ``chosen``.

    Those that did not join recently come first. The list is empty if ``chosen`` was
    already the prompt's home before.

    >>> places = [Place("a"), Place("b", joined=True)]
    >>> order_sources(b"part", places, "b"), order_sources(b"part", places, "a")
    (['a'], [])
    """
    settled = [place.name for place in places if not place.joined]
    ranked = rank_endpoints(key, settled)
    if ranked and ranked[0] == chosen:
        return []
    new = [place.name for place in places if place.joined]
    ranked += rank_endpoints(key, new)
    return [name for name in ranked if name != chosen]
