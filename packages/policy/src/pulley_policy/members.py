"""Decide which endpoints may be given new work.

The platform's list is corrected by what connections show, because the list lags and
differs between readers. An endpoint missing from the list stays while its connection
is up and for a grace period after. One that refuses connections or stops answering
is in backoff for an exponentially growing time. One that reports in a frame that it
drains gets no new work, whatever the list says.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from .placement import Candidate
from .retries import draw_half_jitter_ms

BACKOFF_BASE_MS = 250
BACKOFF_MAX_MS = 30_000
STABLE_AFTER_MS = 10_000
LIST_GRACE_MS = 5_000
MAX_COUNTED_FAILURES = 16


@dataclass(frozen=True, slots=True)
class Listed:
    """One endpoint in the platform's list."""

    name: str
    service: str = ""
    data_centre: str = ""
    leaving: bool = False


@dataclass(slots=True)
class Member:
    """What is known about one endpoint.

    ``missing_since_ms`` is when the list stopped naming it, None while it is listed.
    ``backoff_until_ms`` is when its backoff ends. ``stable_since_ms`` is when its last
    connection came up, None before the first one and after a failure.
    """

    name: str
    service: str = ""
    data_centre: str = ""
    leaving: bool = False
    draining: bool = False
    incarnation: str = ""
    connected: bool = False
    n_failures: int = 0
    backoff_until_ms: int = 0
    stable_since_ms: int | None = None
    missing_since_ms: int | None = None


@dataclass(slots=True)
class MemberTable:
    """The endpoints of every service as one process sees them.

    ``places`` lists them by service and data centre, so that a request only considers
    those near it. ``version`` grows with every change that may affect placement, except
    when a backoff ends.
    """

    members: dict[str, Member] = field(default_factory=dict)
    places: dict[str, dict[str, list[Member]]] = field(default_factory=dict)
    version: int = 0

    def update_from_list(
        self, listed: Iterable[Listed], now_ms: int, data_centre: str = ""
    ) -> None:
        """Update the members from a new reading of the platform's list.

        ``data_centre`` is the only data centre that the reading covers, or empty if it
        covers all.
        """
        seen = set()
        for entry in listed:
            seen.add(entry.name)
            member = self.members.setdefault(entry.name, Member(entry.name))
            member.service = entry.service
            member.data_centre = entry.data_centre
            member.leaving = entry.leaving
            member.missing_since_ms = None
        for member in self.members.values():
            covered = data_centre in ("", member.data_centre)
            if covered and member.name not in seen and member.missing_since_ms is None:
                member.missing_since_ms = now_ms
        self.prune(now_ms)
        self.rebuild_index()

    def rebuild_index(self) -> None:
        """Rebuild the lists of members by service and data centre."""
        self.version += 1
        self.places = {}
        for member in self.members.values():
            service = self.places.setdefault(member.service, {})
            service.setdefault(member.data_centre, []).append(member)

    def prune(self, now_ms: int) -> None:
        """Remove members that have been missing from the list for ``LIST_GRACE_MS``.

        A member with a connection is kept.
        """
        removed = [
            member.name
            for member in self.members.values()
            if member.missing_since_ms is not None
            and not member.connected
            and now_ms - member.missing_since_ms > LIST_GRACE_MS
        ]
        for name in removed:
            del self.members[name]
        if removed:
            self.rebuild_index()

    def record_hello(self, name: str, incarnation: str, now_ms: int) -> None:
        """Record a connection that came up; a restart ends an earlier drain."""
        member = self.members.get(name)
        if member is None:
            return
        if incarnation != member.incarnation:
            member.incarnation = incarnation
            member.draining = False
            self.version += 1
        member.connected = True
        member.stable_since_ms = now_ms

    def mark_draining(self, name: str) -> None:
        """Record that a frame from this endpoint reports that it drains."""
        member = self.members.get(name)
        if member is not None and not member.draining:
            member.draining = True
            self.version += 1

    def mark_open(self, name: str) -> None:
        """Record that a later frame reports that the endpoint takes work again."""
        member = self.members.get(name)
        if member is not None and member.draining:
            member.draining = False
            self.version += 1

    def record_failure(self, name: str, now_ms: int, draw: Callable[[], float]) -> int:
        """Record a connection that was refused or timed out; return the backoff in ms.

        The backoff doubles with each failure until the endpoint has been stable for
        ``STABLE_AFTER_MS``; half of it is jitter. An unknown endpoint returns 0.
        """
        member = self.members.get(name)
        if member is None:
            return 0
        member.connected = False
        member.draining = False
        if is_stable(member, now_ms):
            member.n_failures = 0
        member.stable_since_ms = None
        backoff_ms = int(
            draw_half_jitter_ms(
                BACKOFF_BASE_MS, BACKOFF_MAX_MS, member.n_failures, draw
            )
        )
        member.n_failures = min(MAX_COUNTED_FAILURES, member.n_failures + 1)
        member.backoff_until_ms = now_ms + backoff_ms
        self.version += 1
        return backoff_ms

    def record_disconnect(
        self, name: str, now_ms: int, draw: Callable[[], float]
    ) -> int:
        """Record a connection that ended; return the backoff in ms, 0 for none.

        An endpoint that was stable is retried at once over a new connection. One whose
        connections are short-lived, or that drained, is put into backoff.
        """
        member = self.members.get(name)
        if member is None:
            return 0
        if is_stable(member, now_ms) and not member.draining:
            member.connected = False
            return 0
        return self.record_failure(name, now_ms, draw)

    def usable(
        self,
        service: str,
        now_ms: int,
        data_centre: str | None = None,
        include_backoff: bool = False,
    ) -> Iterator[Candidate]:
        """Yield a service's endpoints that may be given new work now.

        ``data_centre`` limits them to that data centre; ``include_backoff`` includes
        those in backoff. A backoff that ends later than the longest one could is left
        over from before the clock stepped back, and is ignored.
        """
        by_data_centre = self.places.get(service, {})
        data_centres = by_data_centre if data_centre is None else {data_centre}
        for place in data_centres:
            for member in by_data_centre.get(place, ()):
                left_ms = member.backoff_until_ms - now_ms
                backing_off = 0 < left_ms <= BACKOFF_MAX_MS and not include_backoff
                if not (member.leaving or member.draining or backing_off):
                    yield Candidate(member.name, member.data_centre)


def is_stable(member: Member, now_ms: int) -> bool:
    """Check whether a connection has been up for ``STABLE_AFTER_MS``."""
    since_ms = member.stable_since_ms
    return since_ms is not None and now_ms - since_ms >= STABLE_AFTER_MS
