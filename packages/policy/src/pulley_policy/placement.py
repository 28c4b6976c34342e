"""Rank a service's endpoints for a chat by rendezvous hashing."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nlargest

DIGEST_BYTES = 16
N_HOMES = 2

Draw = Callable[[], float]
PlacementFunction = Callable[
    [bytes, Sequence[str], Mapping[str, float], Draw], list[str]
]


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that can be given work, and the data centre it is in."""

    name: str
    data_centre: str = ""


def digest_chat(service: str, text: str | bytes) -> bytes:
    """Return the 16-byte digest that identifies a chat of one service."""
    data = text.encode() if isinstance(text, str) else text
    return blake2b(
        data, digest_size=DIGEST_BYTES, person=service.encode()[:16]
    ).digest()


def score_endpoint(chat: bytes, endpoint: str) -> bytes:
    """Return the endpoint's rendezvous score for a chat; the highest score is home."""
    return blake2b(endpoint.encode(), digest_size=8, key=chat).digest()


def rank_endpoints(chat: bytes, endpoints: Iterable[str]) -> list[str]:
    """Return the endpoints ordered by rendezvous score, the chat's home first.

    When an endpoint joins or leaves, only the chats that it gains or loses change
    their home.
    """
    scored = [(score_endpoint(chat, name), name) for name in endpoints]
    scored.sort(reverse=True)
    return [name for _, name in scored]


def find_home(chat: bytes, endpoints: Iterable[str]) -> str:
    """Return the chat's home, or an empty string when there are no endpoints."""
    return max(
        endpoints, key=lambda name: (score_endpoint(chat, name), name), default=""
    )


def find_homes(chat: bytes, endpoints: Iterable[str]) -> tuple[str, ...]:
    """Return the chat's home and the endpoint ranked second.

    The second was the home before the first one joined, and becomes the home again
    when the first one leaves.
    """
    scored = ((score_endpoint(chat, name), name) for name in endpoints)
    return tuple(name for _score, name in nlargest(N_HOMES, scored))


def select_local(
    candidates: Iterable[Candidate], data_centre: str, excluded: Collection[str] = ()
) -> list[str]:
    """Return the names of the local candidates, or the remote ones if none is local.

    Endpoints in ``excluded`` are left out. Endpoints of other data centres are
    returned only when no local one is left.

    >>> both = [Candidate("10.0.0.1:1", "enna"), Candidate("10.1.0.1:1", "ragusa")]
    >>> select_local(both, "enna"), select_local(both, "enna", {"10.0.0.1:1"})
    (['10.0.0.1:1'], ['10.1.0.1:1'])
    """
    allowed = [candidate for candidate in candidates if candidate.name not in excluded]
    local = [
        candidate.name for candidate in allowed if candidate.data_centre == data_centre
    ]
    return local or [candidate.name for candidate in allowed]


def choose_two(
    names: Sequence[str], loads: Mapping[str, float], draw: Draw
) -> list[str]:
    """Return two distinct endpoints drawn at random, the less loaded first.

    An endpoint whose load is unknown counts as idle. With fewer than two names, all
    of them are returned. ``draw`` returns numbers in ``[0, 1)``.
    """
    if len(names) < 2:
        return list(names)
    first = int(draw() * len(names))
    second = int(draw() * (len(names) - 1))
    second += second >= first
    pair = [names[first], names[second]]
    return sorted(pair, key=lambda name: loads.get(name, 0.0))


def place_home(
    chat: bytes, names: Sequence[str], loads: Mapping[str, float], draw: Draw
) -> list[str]:
    """Return the endpoints ordered by rendezvous rank.

    The agents redirect requests from there when the home is too loaded.
    """
    return rank_endpoints(chat, names)
