"""Rank the endpoints for the shared parts of a prompt: their homes and sources.

Every router ranks the endpoints in the same way from the list alone, so routers agree
without communication, also just after a start. A part whose home has changed is
copied from its previous home, if that still runs.
"""

from collections.abc import Iterable, Iterator
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


@dataclass(frozen=True, slots=True)
class Ranking:
    """The endpoints in the order of one part.

    ``usable`` are those that take new work, the part's home first; ``holders`` all that
    may hold it, those that did not join recently first, of which ``settled_home`` is
    the first one, None if all joined recently.
    """

    usable: list[str]
    holders: list[str]
    settled_home: str | None


def rank_places(key: bytes, places: Iterable[Place]) -> Ranking:
    """Rank the places of a part.

    >>> rank_places(b"part", [Place("a"), Place("b", joined=True)])
    Ranking(usable=['a', 'b'], holders=['a', 'b'], settled_home='a')
    """
    by_name = {place.name: place for place in places}
    ranked = [by_name[name] for name in rank_endpoints(key, by_name)]
    settled = [place.name for place in ranked if not place.joined]
    new = [place.name for place in ranked if place.joined]
    return Ranking(
        [place.name for place in ranked if place.usable],
        settled + new,
        settled[0] if settled else None,
    )


def find_sources(ranking: Ranking, chosen: str) -> Iterator[str]:
    """Yield, in order, the endpoints that may hold more of a part than ``chosen``.

    None if ``chosen`` was already the part's home before.
    """
    if ranking.settled_home != chosen:
        yield from (name for name in ranking.holders if name != chosen)


def order_places(key: bytes, places: Iterable[Place]) -> list[str]:
    """Return the usable endpoints ordered for a part, its home first."""
    return rank_places(key, places).usable


def order_sources(key: bytes, places: Iterable[Place], chosen: str) -> list[str]:
    """Return, in order, the endpoints that may hold more of a part than ``chosen``.

    The list is empty if ``chosen`` was already the part's home before.

    >>> places = [Place("a"), Place("b", joined=True)]
    >>> order_sources(b"part", places, "b"), order_sources(b"part", places, "a")
    (['a'], [])
    """
    return list(find_sources(rank_places(key, places), chosen))
