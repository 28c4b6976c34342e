"""Where the shared parts of a prompt belong, and where they were before.

Every router ranks the endpoints in the same way from the list alone, so that
routers agree without talking, also just after a start. A part whose home has
changed is copied from its home before, where that still runs.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .placement import rank_endpoints


@dataclass(frozen=True, slots=True)
class Place:
    """An endpoint that holds, held or may come to hold parts.

    ``usable`` says that it takes new work, ``joined`` that it came lately and
    holds little yet.
    """

    name: str
    usable: bool = True
    joined: bool = False


def order_places(key: bytes, places: Iterable[Place]) -> list[str]:
    """Order the usable endpoints for a prompt, its home first."""
    return rank_endpoints(key, [place.name for place in places if place.usable])


def order_sources(key: bytes, places: Sequence[Place], chosen: str) -> list[str]:
    """Order the endpoints that may hold more of a prompt than the chosen one.

    Those that were there before rank first. The list is empty where the chosen
    endpoint was the prompt's home before.

    >>> places = [Place("a"), Place("b", joined=True)]
    >>> order_sources(b"part", places, "b"), order_sources(b"part", places, "a")
    (['a'], [])
    """
    settled = [place.name for place in places if not place.joined]
    ranked = rank_endpoints(key, settled)
    if ranked and ranked[0] == chosen:
        return []
    others = [place.name for place in places if place.joined]
    ranked += rank_endpoints(key, others)
    return [name for name in ranked if name != chosen]
