"""Requests that were lost in crashes: their reports, keys and scores.

A key's depth in a report is one more than the key's score when the request was sent,
so requests that were in flight at the same time, such as at a total outage, have the
same depth.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace


@dataclass(frozen=True, slots=True)
class Suspect:
    """A key of a lost request, and the key's depth in succession of crashes.

    ``n_probes`` is set if the request was a probe of the key: the number of probes of
    it that were lost up to this one.
    """

    key: str
    depth: int
    n_probes: int = 0


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request that was lost in a crash; ``crash`` names the endpoint's incarnation.

    ``suspects`` are its prompt's shared parts, the widest first, and last, in any case,
    the key of the request itself. ``team`` sent it. ``age_ms`` is how long its reporter
    had known it when it was shared. ``parts_cleared`` is set if its reporter left out
    all of its parts, as they were cleared.
    """

    crash: str
    suspects: tuple[Suspect, ...]
    team: str = ""
    age_ms: int = 0
    parts_cleared: bool = False

    @property
    def id(self) -> tuple[str, str]:
        """Return what tells this report from others: the crash and the request."""
        return self.crash, self.request

    @property
    def request(self) -> str:
        """Return the key of the request itself."""
        return self.suspects[-1].key

    @property
    def bare(self) -> bool:
        """Return whether the report never named more than the request's own key."""
        return len(self.suspects) == 1 and not self.parts_cleared


@dataclass(frozen=True, slots=True)
class Clearance:
    """A key that had a good answer after these crashes."""

    key: str
    crashes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Scores:
    """The keys of one request and their scores when it was sent.

    ``crashes`` are, for each key, those that a good answer clears it of. ``probes``
    has the keys that the request probes, with the number of each one's probe.
    """

    keys: tuple[str, ...] = ()
    scores: tuple[int, ...] = ()
    crashes: tuple[tuple[str, ...], ...] = ()
    team: str = ""
    probes: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Held:
    """A report, and the clock readings in ms of the loss and of its next review."""

    lost: LostRequest
    lost_ms: int
    review_ms: int


@dataclass(slots=True)
class Evidence:
    """The crash reports that a router knows, and which keys they incriminate.

    ``reports`` holds them by id, ``n_bare`` of them bare, ``expired`` the ids of those
    whose time is over, as they may be read again. ``depths`` has, for each key, its
    depth at each crash that it is not cleared of; ``cleared`` the crashes that it is
    cleared of; ``sound_ms`` the clock reading of its last good answer; ``probed_ms``
    that at which this router last sent a probe of it. The oldest entries of each come
    first.
    """

    reports: dict[tuple[str, str], Held] = field(default_factory=dict)
    n_bare: int = 0
    expired: dict[tuple[str, str], None] = field(default_factory=dict)
    depths: dict[str, dict[str, int]] = field(default_factory=dict)
    cleared: dict[str, dict[str, None]] = field(default_factory=dict)
    sound_ms: dict[str, int] = field(default_factory=dict)
    probed_ms: dict[str, int] = field(default_factory=dict)


def score_key(evidence: Evidence, key: str) -> int:
    """Return how many crashes in succession a key is incriminated by.

    >>> score_key(Evidence(depths={"part": {"one": 1, "two": 1}}), "part")
    1
    >>> score_key(Evidence(depths={"part": {"one": 1, "two": 2}}), "part")
    2
    """
    depths = evidence.depths.get(key)
    return min(max(depths.values()), len(depths)) if depths else 0


def count_crashes(evidence: Evidence, key: str) -> int:
    """Return how many crashes a key is not cleared of, in succession or at once."""
    return len(evidence.depths.get(key, ()))


def score_request(evidence: Evidence, keys: Sequence[str]) -> Scores:
    """Return the scores of a request's keys, to be kept during its next attempt."""
    if evidence.depths.keys().isdisjoint(keys):
        return Scores(tuple(keys), (0,) * len(keys), ((),) * len(keys))
    return Scores(
        tuple(keys),
        tuple(score_key(evidence, key) for key in keys),
        tuple(tuple(evidence.depths.get(key, ())) for key in keys),
    )


def blame(crash: str, scores: Scores) -> LostRequest:
    """Return the report of a request that was lost in a crash.

    >>> blame("one", Scores(("wide", "narrow"), (2, 0))).suspects[1]
    Suspect(key='narrow', depth=1, n_probes=0)
    """
    probes = dict(scores.probes)
    suspects = tuple(
        Suspect(key, score + 1, probes.get(key, 0))
        for key, score in zip(scores.keys, scores.scores, strict=True)
    )
    return LostRequest(crash, suspects, scores.team)


def last_key(scores: Scores) -> Scores:
    """Return the last of the keys alone, that of the request itself."""
    return select_keys(scores, scores.keys[-1:])


def probed_keys(scores: Scores) -> Scores:
    """Return the keys that the request probed, and its own."""
    probed = dict(scores.probes)
    return select_keys(
        scores, [*(key for key in scores.keys[:-1] if key in probed), scores.keys[-1]]
    )


def select_keys(scores: Scores, keys: Sequence[str]) -> Scores:
    """Return the scores of some of the keys."""
    places = [scores.keys.index(key) for key in keys]
    return replace(
        scores,
        keys=tuple(keys),
        scores=tuple(scores.scores[place] for place in places),
        crashes=tuple(scores.crashes[place] for place in places),
    )
