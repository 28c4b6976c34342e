"""Steps that simulate crashes and the routers' evidence, without a connection."""

import heapq
from dataclasses import dataclass, field, replace

from behave import given, then, when

from pulley_policy.crashes import (
    MAX_CLEARED_KEYS,
    MAX_PROBED_KEYS,
    MAX_REPORTS,
    MAX_SOUND_KEYS,
    add_clearance,
    add_report,
    list_quarantined,
    record_good,
    remove_expired,
)
from pulley_policy.losses import Clearance, Evidence, LostRequest, blame, score_request
from pulley_policy.probation import (
    Place,
    Restricted,
    Sender,
    find_refused,
    find_restricted,
    may_probe,
    probation_left_ms,
    start_probes,
)

FIRST = "first"
SUBJECT = "subject"
DEADLY = "deadly"
OTHER_DEADLY = "other-deadly"
TEAM = "team"
OTHER_TEAM = "other-team"
CRASH_AFTER_MS = 200
ANSWER_AFTER_MS = 300
SOUND_EVERY_MS = 50
MAX_SOUND = 15_000


@dataclass
class Fleet:
    """The routers' evidence, and what happens at which time in ms.

    Endpoints crash until ``repaired_ms``. ``refused`` and ``answered`` have the times
    and keys of such requests.
    """

    delay_ms: int
    evidence: list[Evidence]
    events: dict[int, list] = field(default_factory=dict)
    times: list[int] = field(default_factory=list)
    now_ms: int = 0
    crashes_ms: list[int] = field(default_factory=list)
    deadly_sent_ms: list[int] = field(default_factory=list)
    n_requests: int = 0
    repaired_ms: int | None = None
    refused: list[tuple[int, tuple]] = field(default_factory=list)
    answered: list[tuple[int, tuple]] = field(default_factory=list)

    def at(self, time_ms, step, *arguments):
        """Plan a step."""
        if time_ms not in self.events:
            heapq.heappush(self.times, time_ms)
        self.events.setdefault(time_ms, []).append((step, arguments))

    def run(self):
        """Take all planned steps in the order of their times."""
        while self.times:
            self.now_ms = heapq.heappop(self.times)
            for step, arguments in self.events.pop(self.now_ms):
                step(*arguments)

    def send(self, number, keys, deadly, team=TEAM):
        """Send a request, unless it is quarantined; it crashes or is answered.

        Requests with successive numbers come at the routers in turn.
        """
        router = number % len(self.evidence)
        evidence = self.evidence[router]
        sender = Sender(Place(router, len(self.evidence)), team)
        restricted = find_restricted(evidence, keys, self.now_ms)
        if find_refused(evidence, restricted, sender, self.now_ms) is not None:
            self.refused.append((self.now_ms, keys))
            return
        probes = start_probes(evidence, restricted, self.now_ms)
        scores = score_request(evidence, keys)
        scores = replace(scores, team=team, probes=probes)
        if deadly and (self.repaired_ms is None or self.now_ms < self.repaired_ms):
            self.deadly_sent_ms.append(self.now_ms)
            after_ms, step = CRASH_AFTER_MS, self.crash
        else:
            after_ms, step = ANSWER_AFTER_MS, self.answer
        self.at(self.now_ms + after_ms, step, router, keys, scores)

    def crash(self, router, keys, scores):
        """Lose a request in a crash of its own."""
        self.crashes_ms.append(self.now_ms)
        self.lose(router, f"endpoint-{len(self.crashes_ms)}", scores)

    def lose(self, router, crash, scores):
        """Report a request as lost; the other routers learn of it after the delay."""
        self.share(router, add_report, blame(crash, scores))

    def answer(self, router, keys, scores):
        """Answer a request and clear its keys, at the other routers after the delay."""
        self.answered.append((self.now_ms, keys))
        evidence = self.evidence[router]
        for clearance in record_good(evidence, scores, self.now_ms):
            for other in self.evidence:
                self.at(self.now_ms + self.delay_ms, add_clearance, other, clearance)

    def share(self, router, add, report):
        """Add a report at one router now, and at the others after the delay."""
        add(self.evidence[router], report, self.now_ms)
        learnt_ms = self.now_ms + self.delay_ms
        for other in self.evidence:
            self.at(learnt_ms, add, other, report, learnt_ms)

    def new_keys(self, *parts):
        """Return the keys of a request that differs from all others."""
        self.n_requests += 1
        return (*parts, f"request-{self.n_requests}")

    def plan(self, every_ms, duration_s, make_keys, deadly, team=TEAM, start_s=0):
        """Plan requests at a fixed rate, at the routers in turn."""
        times = range(start_s * 1_000, duration_s * 1_000, every_ms)
        for number, time_ms in enumerate(times):
            self.at(time_ms, self.send, number, make_keys(), deadly, team)

    def plan_sound(self, duration_s):
        """Plan answers to prompts that share the first part."""
        every_ms = max(SOUND_EVERY_MS, duration_s * 1_000 // MAX_SOUND)
        self.plan(every_ms, duration_s, lambda: self.new_keys(FIRST), False)

    def start_router(self):
        """Start a router, which reads the reports of the first one."""
        evidence = Evidence()
        for held in self.evidence[0].reports.values():
            lost = replace(held.lost, age_ms=self.now_ms - held.lost_ms)
            add_report(evidence, lost, self.now_ms)
        self.evidence.append(evidence)

    def quarantined(self):
        """Return the quarantined keys of each router."""
        return [set(list_quarantined(one, self.now_ms)) for one in self.evidence]


@given("{n:d} routers that learn of reports after {delay:d} ms")
@given("{n:d} router that learns of reports after {delay:d} ms")
def make_fleet(context, n, delay):
    context.fleet = Fleet(delay, [Evidence() for _ in range(n)])


@when("prompts with one deadly part come every {every:d} ms for {duration:d} s")
def plan_deadly(context, every, duration):
    fleet = context.fleet
    fleet.plan_sound(duration)
    fleet.plan(every, duration, lambda: fleet.new_keys(FIRST, SUBJECT, DEADLY), True)


@when(
    "{n:d} prompts with one deadly part come at once, every {every:d} ms for "
    "{duration:d} s"
)
def plan_deadly_at_once(context, n, every, duration):
    fleet = context.fleet
    make_keys = lambda: fleet.new_keys(FIRST, SUBJECT, DEADLY)
    for time_ms in range(0, duration * 1_000, every):
        for number in range(n):
            fleet.at(time_ms, fleet.send, number, make_keys(), True)


@when("prompts with another deadly part come every {every:d} ms for {duration:d} s")
def plan_other_deadly(context, every, duration):
    fleet = context.fleet
    make_keys = lambda: fleet.new_keys(FIRST, SUBJECT, OTHER_DEADLY)
    fleet.plan(every, duration, make_keys, True)


@when("one request that crashes endpoints comes every {every:d} ms for {duration:d} s")
def plan_deadly_request(context, every, duration):
    fleet = context.fleet
    fleet.plan_sound(duration)
    fleet.plan(every, duration, lambda: (FIRST, SUBJECT, "deadly-request"), True)


@when("two prompts with one deadly part are each sent again every {every:d} ms")
def plan_repeats(context, every):
    fleet = context.fleet
    first = fleet.new_keys(FIRST, SUBJECT, DEADLY)
    second = fleet.new_keys(FIRST, SUBJECT, DEADLY)
    for number in range(2):
        fleet.at(number * every, fleet.send, number, first, True)
        fleet.at(number * every, fleet.send, number + 2, second, True)


@when("prompts that share its other parts come every {every:d} ms for {duration:d} s")
@when("prompts that share its parts come every {every:d} ms for {duration:d} s")
def plan_sharing(context, every, duration):
    fleet = context.fleet
    fleet.plan(every, duration, lambda: fleet.new_keys(FIRST, SUBJECT), False)


@when("{n:d} endpoints crash at once, each with prompts of every router")
def crash_at_once(context, n):
    fleet = context.fleet
    for number in range(n):
        for router, evidence in enumerate(fleet.evidence):
            scores = score_request(evidence, fleet.new_keys(FIRST, SUBJECT))
            fleet.at(CRASH_AFTER_MS, fleet.lose, router, f"endpoint-{number}", scores)


@when(
    "an endpoint crashes every {every:d} ms for {duration:d} s while prompts are "
    "answered"
)
def crash_in_turn(context, every, duration):
    fleet = context.fleet
    fleet.plan_sound(duration)

    def lose_one(router):
        keys = fleet.new_keys(FIRST, f"subject-{router}")
        scores = score_request(fleet.evidence[router], keys)
        fleet.lose(router, f"endpoint-{fleet.now_ms}", scores)

    for time_ms in range(0, duration * 1_000, every):
        for router in range(len(fleet.evidence)):
            fleet.at(time_ms, lose_one, router)


@when("a router starts every {every:d} s for {duration:d} s")
def plan_starts(context, every, duration):
    fleet = context.fleet
    for time_ms in range(every * 1_000, duration * 1_000, every * 1_000):
        fleet.at(time_ms, fleet.start_router)


@when("the endpoints are repaired after {seconds:d} s")
def plan_repair(context, seconds):
    context.fleet.repaired_ms = seconds * 1_000


@when(
    "a team sends {prompts} that crash endpoints every {every:d} ms for {duration:d} s"
)
def plan_attack(context, prompts, every, duration):
    fleet = context.fleet
    fleet.plan_sound(duration)
    parts = (DEADLY, SUBJECT) if "behind" in prompts else (SUBJECT,)
    fleet.plan(every, duration, lambda: fleet.new_keys(FIRST, *parts), True)


@when(
    "another team sends sound prompts with that part every {every:d} ms from {start:d} "
    "s to {end:d} s"
)
def plan_other_team(context, every, start, end):
    fleet = context.fleet
    make_keys = lambda: fleet.new_keys(SUBJECT)
    fleet.plan(every, end, make_keys, False, team=OTHER_TEAM, start_s=start)


@then("the other team's prompts are answered later than {seconds:d} s")
def check_other_team(context, seconds):
    fleet = context.fleet
    fleet.run()
    refused = [one for one in fleet.refused if one[1][0] == SUBJECT]
    assert refused, "the part was never refused"
    late = [one for one in refused if one[0] > seconds * 1_000]
    assert not late, late
    assert any(keys[0] == SUBJECT for _, keys in fleet.answered)


@then("prompts with the part are answered {seconds:d} s later, and none refused then")
def check_repaired(context, seconds):
    fleet = context.fleet
    fleet.run()
    start_ms = fleet.repaired_ms + seconds * 1_000
    refused = [one for one in fleet.refused if one[0] > start_ms]
    assert not refused, refused[:4]
    assert any(ms > start_ms and DEADLY in keys for ms, keys in fleet.answered)


@then("one refused later is told a time in which none may be sent, and then one may")
def check_told(context):
    fleet = context.fleet
    fleet.run()
    evidence = fleet.evidence[0]
    sender = Sender(team=OTHER_TEAM)
    may_send = lambda time_ms: may_probe(evidence, DEADLY, sender, time_ms)
    refused = [ms for ms in range(20_000, 320_000, 700) if not may_send(ms)]
    assert len(refused) > 100, len(refused)
    for time_ms in refused:
        end_ms = time_ms + probation_left_ms(evidence, DEADLY, time_ms)
        assert not any(map(may_send, range(time_ms, end_ms, 100))), time_ms
        assert may_send(end_ms), time_ms


@then("no prompt without the part is refused")
def check_sound(context):
    refused = [keys for _, keys in context.fleet.refused if DEADLY not in keys]
    assert not refused, refused[:4]


@when("{seconds:d} s pass")
def wait(context, seconds):
    context.fleet.run()
    context.fleet.now_ms += seconds * 1_000


@when("{n:d} different requests are lost, cleared and answered")
def fill(context, n):
    evidence = context.fleet.evidence[0]
    for number in range(n):
        keys = (FIRST, f"part-{number}", f"request-{number}")
        scores = score_request(evidence, keys)
        add_report(evidence, blame(f"endpoint-{number}", scores), number)
        if number % 2:
            add_clearance(evidence, Clearance(keys[1], (f"endpoint-{number}",)))
        record_good(evidence, scores, number)
        start_probes(evidence, Restricted(quarantined=keys), number)


@then("at most {n:d} of them are sent later than {late:d} ms after the fifth crash")
def check_late(context, n, late):
    check_late_after(context, n, late, 5)


@then("at most {n:d} of them are sent later than {late:d} ms after the third crash")
def check_late_after_third(context, n, late):
    check_late_after(context, n, late, 3)


def check_late_after(context, n, late_ms, n_crashes):
    """Check how many deadly prompts are sent later than a time after some crash."""
    fleet = context.fleet
    fleet.run()
    assert fleet.crashes_ms
    late_ms += fleet.crashes_ms[:n_crashes][-1]
    sent = [time_ms for time_ms in fleet.deadly_sent_ms if time_ms > late_ms]
    assert len(sent) <= n, sent


@then("the deadly part alone is quarantined at every router")
def check_deadly(context):
    found = context.fleet.quarantined()
    assert all(keys == {DEADLY} for keys in found), found


@then("both deadly parts are quarantined at every router, and no other part")
def check_both(context):
    context.fleet.run()
    found = context.fleet.quarantined()
    assert all(keys == {DEADLY, OTHER_DEADLY} for keys in found), found


@then("the deadly part is quarantined at every router, and no other part")
def check_deadly_part(context):
    context.fleet.run()
    found = context.fleet.quarantined()
    parts = [{key for key in keys if "request" not in key} for keys in found]
    assert all(keys == {DEADLY} for keys in parts), found


@then("that request alone is quarantined")
def check_request(context):
    context.fleet.run()
    found = context.fleet.quarantined()
    assert all(keys == {"deadly-request"} for keys in found), found


@then("no part is quarantined")
def check_none(context):
    context.fleet.run()
    assert not any(context.fleet.quarantined()), context.fleet.quarantined()


@then("no shared first part is quarantined")
def check_first(context):
    context.fleet.run()
    found = context.fleet.quarantined()
    assert not any(FIRST in keys for keys in found), found


@then("nothing is held any more")
def check_empty(context):
    for evidence in context.fleet.evidence:
        remove_expired(evidence, context.fleet.now_ms)
        assert not evidence.reports and not evidence.depths


@then("at most {r:d} reports, {c:d} cleared keys and {s:d} sound keys are held")
def check_bounds(context, r, c, s):
    assert (r, c, s) == (MAX_REPORTS, MAX_CLEARED_KEYS, MAX_SOUND_KEYS)
    evidence = context.fleet.evidence[0]
    assert len(evidence.reports) <= r, len(evidence.reports)
    assert len(evidence.cleared) <= c, len(evidence.cleared)
    assert len(evidence.sound_ms) <= s, len(evidence.sound_ms)
    assert len(evidence.depths) <= 3 * r, len(evidence.depths)
    assert len(evidence.probed_ms) <= MAX_PROBED_KEYS, len(evidence.probed_ms)
    assert isinstance(next(iter(evidence.reports.values())).lost, LostRequest)


@then("a key that all of them share is cleared of at most {n:d} crashes")
def check_cleared_crashes(context, n):
    cleared = context.fleet.evidence[0].cleared[FIRST]
    assert 0 < len(cleared) <= n, len(cleared)
