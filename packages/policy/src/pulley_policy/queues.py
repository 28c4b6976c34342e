"""The queue in front of one engine: priority classes, with fair shares for teams.

Classes are served in strict order of priority. Within a class, teams share by
weight, in units of work, by start-time fair queueing: a team's first request is
tagged with the class's virtual time or the team's own finish tag, whichever is
later, and the smallest tag is served first. For two teams that both have work
waiting, the served work divided by weight never differs by more than one request
of each.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from pulley_base import ABSENT, Reason, Sentinel

N_CLASSES = 3
MAX_WAITING = 512


@dataclass(slots=True)
class WaitingRequest:
    """One request that waits; times are readings of the agent's own clock.

    ``redirect_ms`` is the time from which it may be redirected, None for never.
    ``max_running`` is the limit of the team's running requests, 0 for none.
    """

    key: object
    team: str
    priority: int
    work: float
    deadline_ms: int
    weight: float = 1.0
    max_running: int = 0
    chat: bytes = b""
    n_hops: int = 0
    redirect_ms: int | None = None


StartCheck = Callable[[WaitingRequest], Reason | None]


@dataclass(slots=True)
class TeamQueue:
    """One team's requests in one class, oldest first."""

    waiting: deque[WaitingRequest] = field(default_factory=deque)
    finish_tag: float = 0.0


@dataclass(slots=True)
class ClassQueue:
    """One priority class; ``virtual_time`` is the start tag served last."""

    teams: dict[str, TeamQueue] = field(default_factory=dict)
    virtual_time: float = 0.0

    def order_teams(self) -> Iterator[tuple[float, str, TeamQueue]]:
        """Yield start tag, team and queue of each team that waits, by start tag."""
        backlogged = [
            (max(self.virtual_time, team_queue.finish_tag), team, team_queue)
            for team, team_queue in self.teams.items()
            if team_queue.waiting
        ]
        return iter(sorted(backlogged, key=lambda entry: entry[:2]))

    def remove_idle_teams(self) -> None:
        """Remove teams that have nothing waiting and whose finish tag has passed.

        They would start at the class's virtual time in any case.
        """
        for team, team_queue in list(self.teams.items()):
            if not team_queue.waiting and team_queue.finish_tag <= self.virtual_time:
                del self.teams[team]


@dataclass(slots=True)
class FairQueue:
    """Requests that wait for one engine, at most ``max_waiting`` of them."""

    max_waiting: int = MAX_WAITING
    classes: list[ClassQueue] = field(
        default_factory=lambda: [ClassQueue() for _ in range(N_CLASSES)]
    )
    n_waiting: int = 0

    def put(self, item: WaitingRequest) -> bool:
        """Add a request, or return False if the queue is full."""
        if self.n_waiting >= self.max_waiting:
            return False
        team_queues = self.classes[item.priority].teams
        team_queues.setdefault(item.team, TeamQueue()).waiting.append(item)
        self.n_waiting += 1
        return True

    def take(self, check_start: StartCheck) -> WaitingRequest | Sentinel:
        """Remove and return the next request that may run, or ABSENT.

        ``check_start`` returns why a request can't run now, or None if it can. A team
        at its limit and a batch class at its share are skipped. An engine at its
        bound stops the whole queue, so that small requests don't overtake a large one
        indefinitely.
        """
        for class_queue in self.classes:
            for start_tag, _team, team_queue in class_queue.order_teams():
                item = team_queue.waiting[0]
                reason = check_start(item)
                if reason is None:
                    return self.serve_head(class_queue, team_queue, start_tag)
                if reason is Reason.AT_BOUND:
                    return ABSENT.because(reason)
        return ABSENT

    def serve_head(
        self, class_queue: ClassQueue, team_queue: TeamQueue, start_tag: float
    ) -> WaitingRequest:
        """Remove and return the first request of a team and charge the team for it."""
        item = team_queue.waiting.popleft()
        self.n_waiting -= 1
        class_queue.virtual_time = max(class_queue.virtual_time, start_tag)
        team_queue.finish_tag = start_tag + item.work / item.weight
        class_queue.remove_idle_teams()
        return item

    def correct_charge(self, item: WaitingRequest, actual_work: float) -> None:
        """Charge the team for the actual work of a finished request, not the estimate.

        ``actual_work`` is in units of work.
        """
        team_queue = self.classes[item.priority].teams.get(item.team)
        if team_queue is not None:
            team_queue.finish_tag = max(
                0.0, team_queue.finish_tag + (actual_work - item.work) / item.weight
            )

    def remove(self, key: object) -> WaitingRequest | Sentinel:
        """Remove and return a waiting request, such as a cancelled one.

        Returns ABSENT if no request with this key waits.
        """
        for item in self.items():
            if item.key == key:
                team_queue = self.classes[item.priority].teams[item.team]
                team_queue.waiting = deque(
                    other for other in team_queue.waiting if other is not item
                )
                self.n_waiting -= 1
                return item
        return ABSENT

    def items(self) -> Iterator[WaitingRequest]:
        """Yield every waiting request."""
        for class_queue in self.classes:
            for team_queue in list(class_queue.teams.values()):
                yield from list(team_queue.waiting)

    def work_ahead(self, priority: int) -> float:
        """Return the waiting work of a class and of all classes before it."""
        return sum(item.work for item in self.items() if item.priority <= priority)
