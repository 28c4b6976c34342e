"""Check the queue against an oracle that tracks the work served to each team."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from pulley_base import Reason
from pulley_policy.queues import FairQueue, WaitingRequest

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 5.0}
EPSILON = 1e-6


class FairnessMachine(RuleBasedStateMachine):
    """Checks shares within a class, the order of classes, and cancelled requests."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(max_waiting=200)
        self.waiting: dict[int, WaitingRequest] = {}
        self.next_key = 0
        self.limited = ""
        self.batch_blocked = False
        self.served = {}
        self.sizes = dict.fromkeys(WEIGHTS, 0)

    def teams(self, priority):
        return {
            waiting_item.team
            for waiting_item in self.waiting.values()
            if waiting_item.priority == priority
        }

    @rule(
        team=st.sampled_from(sorted(WEIGHTS)),
        priority=st.integers(0, 2),
        works=st.lists(st.integers(1, 500), min_size=1, max_size=12),
    )
    def put(self, team, priority, works):
        for work in works:
            self.next_key += 1
            self.sizes[team] = max(self.sizes[team], work)
            item = WaitingRequest(self.next_key, team, priority, work, 0, WEIGHTS[team])
            if self.queue.put(item):
                self.waiting[item.key] = item
        self.reset_pairs(priority, team)

    def reset_pairs(self, priority, team):
        """Reset the served work of a team that had nothing waiting before."""
        for pair in list(self.served):
            if pair[0] == priority and not set(pair[1:]) <= self.teams(priority):
                del self.served[pair]

    @rule(team=st.sampled_from(["", "a", "b"]))
    def limit_team(self, team):
        self.limited = team
        self.served.clear()

    @rule(blocked=st.booleans())
    def block_batch(self, blocked):
        self.batch_blocked = blocked

    @rule(n_requests=st.integers(1, 10))
    def take(self, n_requests):
        for _ in range(n_requests):
            before = {priority: self.teams(priority) for priority in range(3)}
            item = self.queue.take(self.find_blocking_reason)
            free = [
                waiting_item
                for waiting_item in self.waiting.values()
                if self.find_blocking_reason(waiting_item) is None
            ]
            if not item:
                assert not free, "a request that could run was not returned"
                return
            del self.waiting[item.key]
            assert self.find_blocking_reason(item) is None, (
                "a blocked request was returned"
            )
            assert item.priority == min(waiting_item.priority for waiting_item in free)
            self.check_shares(item, before[item.priority])

    def find_blocking_reason(self, item):
        if item.team == self.limited:
            return Reason.TEAM_LIMIT
        if item.priority == 2 and self.batch_blocked:
            return Reason.BATCH_SHARE
        return None

    def check_shares(self, item, backlogged):
        """Compare the served work of any two teams that both wait throughout."""
        for first in WEIGHTS:
            for second in WEIGHTS:
                if first >= second:
                    continue
                pair = (item.priority, first, second)
                if not {first, second} <= backlogged or self.limited in (first, second):
                    self.served.pop(pair, None)
                    continue
                served_work = self.served.setdefault(pair, {first: 0.0, second: 0.0})
                if item.team in served_work:
                    served_work[item.team] += item.work
                self.check_pair(served_work)
                if not {first, second} <= self.teams(item.priority):
                    self.served.pop(pair, None)

    def check_pair(self, served_work):
        """Check that two teams' shares differ by at most one request of each."""
        shares = {team: total / WEIGHTS[team] for team, total in served_work.items()}
        max_difference = sum(self.sizes[team] / WEIGHTS[team] for team in served_work)
        difference = max(shares.values()) - min(shares.values())
        assert difference <= max_difference + EPSILON, (
            f"{shares} differ by more than {max_difference}"
        )

    @rule(which=st.integers(0, 200))
    def cancel(self, which):
        if self.waiting:
            key = sorted(self.waiting)[which % len(self.waiting)]
            item = self.waiting.pop(key)
            assert self.queue.remove(key).key == key
            if item.team not in self.teams(item.priority):
                self.reset_pairs(item.priority, item.team)
