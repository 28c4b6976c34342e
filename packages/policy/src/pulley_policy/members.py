"""Which endpoints may be given new work.

The platform's list proposes, and what connections show disposes. The list lags
and differs between readers, so an endpoint that misses from it stays while its
connection lives and for a grace time after; one that refuses connections or
falls silent is held off for an exponentially growing time; one that says on a
frame that it drains gets nothing new, whatever the list says.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from .placement import Candidate
from .retries import draw_hold_ms

HOLD_BASE_MS = 250
HOLD_MAX_MS = 30_000
STEADY_MS = 10_000
LIST_GRACE_MS = 5_000
MAX_FAILURES = 16


@dataclass(frozen=True, slots=True)
class Listed:
    """One endpoint in the platform's list."""

    name: str
    service: str = ""
    data_centre: str = ""
    leaving: bool = False


@dataclass(slots=True)
class Member:
    """What is known of one endpoint.

    ``missing_ms`` is when the list last began to lack it, None while listed.
    """

    name: str
    service: str = ""
    data_centre: str = ""
    leaving: bool = False
    draining: bool = False
    incarnation: str = ""
    connected: bool = False
    n_failures: int = 0
    held_until_ms: int = 0
    steady_since_ms: int | None = None
    missing_ms: int | None = None


@dataclass(slots=True)
class MemberTable:
    """The endpoints of every service as one process sees them.

    ``places`` lists them by service and data centre, so that a request looks at
    those near it only. ``version`` grows with every change that may matter to
    placement, but for holds that end.
    """

    members: dict[str, Member] = field(default_factory=dict)
    places: dict[str, dict[str, list[Member]]] = field(default_factory=dict)
    version: int = 0

    def take_list(
        self, listed: Iterable[Listed], now_ms: int, data_centre: str = ""
    ) -> None:
        """Weigh in a new reading of the platform's list.

        ``data_centre`` names the only one that the reading covers; empty when
        it covers all.
        """
        seen = set()
        for entry in listed:
            seen.add(entry.name)
            member = self.members.setdefault(entry.name, Member(entry.name))
            member.service = entry.service
            member.data_centre = entry.data_centre
            member.leaving = entry.leaving
            member.missing_ms = None
        for member in self.members.values():
            covered = data_centre in ("", member.data_centre)
            if covered and member.name not in seen and member.missing_ms is None:
                member.missing_ms = now_ms
        self.prune(now_ms)
        self.index()

    def index(self) -> None:
        """List the members by place anew."""
        self.version += 1
        self.places = {}
        for member in self.members.values():
            service = self.places.setdefault(member.service, {})
            service.setdefault(member.data_centre, []).append(member)

    def prune(self, now_ms: int) -> None:
        """Drop the members that the list has lacked for the grace time."""
        gone = [
            member.name
            for member in self.members.values()
            if member.missing_ms is not None
            and not member.connected
            and now_ms - member.missing_ms > LIST_GRACE_MS
        ]
        for name in gone:
            del self.members[name]
        if gone:
            self.index()

    def note_hello(self, name: str, incarnation: str, now_ms: int) -> None:
        """Note a connection that came up; a restart ends an earlier drain."""
        member = self.members.get(name)
        if member is None:
            return
        if incarnation != member.incarnation:
            member.incarnation = incarnation
            member.draining = False
            self.version += 1
        member.connected = True
        member.steady_since_ms = now_ms

    def note_drain(self, name: str) -> None:
        """Note a frame that says its sender drains."""
        member = self.members.get(name)
        if member is not None and not member.draining:
            member.draining = True
            self.version += 1

    def note_open(self, name: str) -> None:
        """Note a later frame that says its sender takes work."""
        member = self.members.get(name)
        if member is not None and member.draining:
            member.draining = False
            self.version += 1

    def note_failure(self, name: str, now_ms: int, draw: Callable[[], float]) -> int:
        """Note a connection that was refused or timed out; give the hold in ms.

        The hold doubles with each failure until the endpoint has been steady
        for ``STEADY_MS``; half of it is jitter.
        """
        member = self.members.get(name)
        if member is None:
            return 0
        member.connected = False
        member.draining = False
        if is_steady(member, now_ms):
            member.n_failures = 0
        member.steady_since_ms = None
        hold_ms = int(draw_hold_ms(HOLD_BASE_MS, HOLD_MAX_MS, member.n_failures, draw))
        member.n_failures = min(MAX_FAILURES, member.n_failures + 1)
        member.held_until_ms = now_ms + hold_ms
        self.version += 1
        return hold_ms

    def note_lost(self, name: str, now_ms: int, draw: Callable[[], float]) -> int:
        """Note a connection that ended; give the hold in ms, 0 for none.

        An endpoint that was steady is tried again at once, by a new
        connection; one that flaps or drained is held off.
        """
        member = self.members.get(name)
        if member is None:
            return 0
        if is_steady(member, now_ms) and not member.draining:
            member.connected = False
            return 0
        return self.note_failure(name, now_ms, draw)

    def usable(
        self,
        service: str,
        now_ms: int,
        data_centre: str | None = None,
        with_held: bool = False,
    ) -> Iterator[Candidate]:
        """Yield a service's endpoints that may be given new work now.

        With ``data_centre`` only those of that one, ``with_held`` those that are
        held off as well. A hold further off than the longest one comes from a
        clock that stepped back, and is over.
        """
        places = self.places.get(service, {})
        named = places if data_centre is None else {data_centre}
        for place in named:
            for member in places.get(place, ()):
                left_ms = member.held_until_ms - now_ms
                held = 0 < left_ms <= HOLD_MAX_MS and not with_held
                if not (member.leaving or member.draining or held):
                    yield Candidate(member.name, member.data_centre)


def is_steady(member: Member, now_ms: int) -> bool:
    """Tell whether a connection has stood for ``STEADY_MS``."""
    since_ms = member.steady_since_ms
    return since_ms is not None and now_ms - since_ms >= STEADY_MS
