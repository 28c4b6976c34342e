"""Steps that simulate requests lost in crashes, each named alone in its report."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from behave import given, then, when

from pulley_policy.crashes import (
    MAX_BARE_REPORTS,
    add_clearance,
    add_report,
    find_quarantined,
    record_good,
)
from pulley_policy.losses import Evidence, LostRequest, Suspect, blame, score_request
from pulley_policy.probation import (
    Place,
    Sender,
    find_refused,
    find_restricted,
    start_probes,
)

DELAY_MS = 500
STEP_MS = 10
RUN_MS = 1_000
REPEAT_AFTER_MS = 100
MAX_TRIES = 4
MIN_DURATION_MS = 12_000
CRASH_EVERY_MS = 1_000
N_ENDPOINTS = 12
N_POPULAR = 20
REQUESTS_PER_S = 50
N_LOST_AT_ONCE = 4
LONG_MS = 20_000
DEADLY = "deadly-request"
SUBJECT = "request"
PART = "part"


@dataclass(slots=True)
class Run:
    """A request at an endpoint: its key, its scores when sent, and its tries so far."""

    key: str
    router: int
    endpoint: int
    scores: object
    n_tries: int


@dataclass(slots=True)
class Fleet:
    """The routers' evidence, and what is planned at which time in ms."""

    evidence: list[Evidence]
    now_ms: int = 0
    planned: dict[int, list[Callable]] = field(default_factory=dict)
    crashes_ms: list[int] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    n_refused: int = 0
    n_answers: int = 0
    admitted: list[tuple[int, bool]] = field(default_factory=list)

    def at(self, time_ms, step):
        """Plan a step."""
        self.planned.setdefault(time_ms, []).append(step)

    def play(self):
        """Take all planned steps in the order of their times."""
        while self.planned:
            self.now_ms = min(self.planned)
            for step in self.planned.pop(self.now_ms):
                step()

    def tell(self, router, add, *arguments):
        """Let the other routers know of a report or a clearance after the delay."""
        for other in self.evidence:
            if other is not self.evidence[router]:
                step = partial(add, other, *arguments)
                self.at(self.now_ms + DELAY_MS, step)

    def admit(self, router, key):
        """Return the scores of a request that a router may send, None if not."""
        evidence = self.evidence[router]
        restricted = find_restricted(evidence, (key,), self.now_ms)
        sender = Sender(Place(router, len(self.evidence)))
        if find_refused(evidence, restricted, sender, self.now_ms) is not None:
            return None
        probes = start_probes(evidence, restricted, self.now_ms)
        return replace(score_request(evidence, (key,)), probes=probes)

    def lose(self, router, scores, crash):
        """Report a request as lost in a crash."""
        lost = blame(crash, scores)
        add_report(self.evidence[router], lost, self.now_ms)
        self.tell(router, add_report, lost, self.now_ms + DELAY_MS)


@given("{n:d} router with evidence of its own")
@given("{n:d} routers with evidence of their own")
def make_fleet(context, n):
    context.sent = Fleet([Evidence() for _ in range(n)])


@when("one request comes in bursts of {n:d}, {gap:d} ms apart, one every {every:d} ms")
def send_bursts(context, n, gap, every):
    fleet = context.sent
    times_ms = [
        start_ms + number * gap
        for start_ms in range(0, max(10 * every, MIN_DURATION_MS), every)
        for number in range(n)
    ]
    for number, time_ms in enumerate(times_ms):
        fleet.at(time_ms, partial(send_deadly, fleet, number % len(fleet.evidence)))


def send_deadly(fleet, router):
    """Send the request that crashes endpoints, unless it is held back."""
    scores = fleet.admit(router, DEADLY)
    if scores is None:
        return
    fleet.crashes_ms.append(fleet.now_ms)
    crash = f"endpoint-{len(fleet.crashes_ms)}"
    fleet.at(fleet.now_ms + STEP_MS, partial(fleet.lose, router, scores, crash))


@then("at most {n:d} of its arrivals come later than {late:d} ms after the third crash")
def check_late(context, n, late):
    fleet = context.sent
    fleet.play()
    assert len(fleet.crashes_ms) >= 3, fleet.crashes_ms
    late += fleet.crashes_ms[2] + STEP_MS
    found = [time_ms for time_ms in fleet.crashes_ms if time_ms > late]
    assert len(found) <= n, fleet.crashes_ms


@then("at most {n:d} of its arrivals crash endpoints")
def check_crashes(context, n):
    assert len(context.sent.crashes_ms) <= n, context.sent.crashes_ms


@when("one request is lost in {n:d} crashes, one after the other")
@when("one request is lost in {n:d} crash more")
def lose_in_turn(context, n):
    fleet = context.sent
    for _ in range(n):
        fleet.now_ms += RUN_MS
        scores = score_request(fleet.evidence[0], (SUBJECT,))
        fleet.lose(0, scores, f"endpoint-{fleet.now_ms}")


@when("one request is lost in {n:d} crashes at once")
def lose_at_once(context, n):
    fleet = context.sent
    scores = score_request(fleet.evidence[0], (SUBJECT,))
    for number in range(n):
        fleet.lose(0, scores, f"endpoint-{number}")


@when("it has a good answer")
def answer(context):
    evidence = context.sent.evidence[0]
    scores = score_request(evidence, (SUBJECT,))
    assert record_good(evidence, scores, context.sent.now_ms)


@then("that request may be sent")
def check_free(context):
    assert find_subject(context) is None


@then("that request is quarantined")
def check_quarantined(context):
    assert find_subject(context) == SUBJECT


def find_subject(context):
    """Return the key for which the request is quarantined, if it is."""
    fleet = context.sent
    quarantined = find_quarantined(fleet.evidence[0], (SUBJECT,), fleet.now_ms)
    return next(iter(quarantined), None)


@given("a part that is quarantined")
def quarantine_part(context):
    evidence = context.sent.evidence[0]
    for depth in (1, 2):
        suspects = Suspect(PART, depth), Suspect(f"prompt-{depth}", 1)
        add_report(evidence, LostRequest(f"endpoint-{depth}", suspects), 0)


@when("{n:d} different requests are lost, each in a crash of its own")
def lose_different(context, n):
    fleet = context.sent
    for number in range(n):
        scores = score_request(fleet.evidence[0], (f"different-{number}",))
        add_report(fleet.evidence[0], blame(f"crash-{number}", scores), fleet.now_ms)


@then("that part is still quarantined")
def check_part(context):
    fleet = context.sent
    assert find_quarantined(fleet.evidence[0], (PART,), fleet.now_ms) == [PART]


@then("at most {n:d} reports that name a request alone are held")
def check_bare(context, n):
    evidence = context.sent.evidence[0]
    n_bare = sum(held.lost.bare for held in evidence.reports.values())
    assert n_bare == evidence.n_bare <= n == MAX_BARE_REPORTS, n_bare


@when("requests of a second each come for {duration:d} s, popular and different ones")
def send_sound(context, duration):
    fleet = context.sent
    rng = random.Random(1)
    for number in range(duration * REQUESTS_PER_S):
        key = f"different-{number}"
        if number % 2:
            key = f"popular-{rng.randrange(N_POPULAR)}"
        time_ms = number * 1_000 // REQUESTS_PER_S
        fleet.at(time_ms, partial(send_one, fleet, rng, key, 0))
    for time_ms in range(CRASH_EVERY_MS, duration * 1_000, CRASH_EVERY_MS):
        fleet.at(time_ms + 1, partial(crash_one, fleet, rng))
    fleet.play()


def send_one(fleet, rng, key, n_tries):
    """Send a sound request from some router to some endpoint."""
    router = rng.randrange(len(fleet.evidence))
    scores = fleet.admit(router, key)
    if scores is None:
        fleet.n_refused += 1
        return
    run = Run(key, router, rng.randrange(N_ENDPOINTS), scores, n_tries + 1)
    fleet.runs.append(run)
    fleet.at(fleet.now_ms + RUN_MS, partial(end_run, fleet, run))


def end_run(fleet, run):
    """Answer a request that no crash has taken, and clear its key."""
    if run not in fleet.runs:
        return
    fleet.runs.remove(run)
    fleet.n_answers += 1
    for clearance in record_good(fleet.evidence[run.router], run.scores, fleet.now_ms):
        fleet.tell(run.router, add_clearance, clearance)


def crash_one(fleet, rng):
    """Crash some endpoint; callers repeat what it had, at other routers."""
    endpoint = rng.randrange(N_ENDPOINTS)
    crash = f"endpoint-{endpoint}-{fleet.now_ms}"
    fleet.crashes_ms.append(fleet.now_ms)
    for run in [one for one in fleet.runs if one.endpoint == endpoint]:
        fleet.runs.remove(run)
        fleet.lose(run.router, run.scores, crash)
        if run.n_tries < MAX_TRIES:
            step = partial(send_one, fleet, rng, run.key, run.n_tries)
            fleet.at(fleet.now_ms + REPEAT_AFTER_MS, step)


@then("none of them is refused")
def check_none_refused(context):
    fleet = context.sent
    assert len(fleet.crashes_ms) > 30 and fleet.n_answers > 1_000, fleet.n_answers
    assert fleet.n_refused == 0, fleet.n_refused


@when(
    "one sound request is lost by all routers, and comes every {every:d} ms from {s:d} "
    "s on"
)
def lose_everywhere(context, every, s):
    fleet = context.sent
    for router, evidence in enumerate(fleet.evidence):
        scores = score_request(evidence, (SUBJECT,))
        for number in range(N_LOST_AT_ONCE):
            fleet.lose(router, scores, f"endpoint-{number}")
    start_ms = s * 1_000
    for number, time_ms in enumerate(range(start_ms, start_ms + LONG_MS, every)):
        router = number % len(fleet.evidence)
        fleet.at(time_ms, partial(send_sound_once, fleet, router))
    context.start_ms = start_ms


def send_sound_once(fleet, router):
    """Send the sound request, unless it is held back, and have it answered at once."""
    scores = fleet.admit(router, SUBJECT)
    fleet.admitted.append((fleet.now_ms, scores is not None))
    if scores is not None:
        run = Run(SUBJECT, router, 0, scores, 1)
        fleet.runs.append(run)
        fleet.at(fleet.now_ms + STEP_MS, partial(end_run, fleet, run))


@then("it is answered within {ms:d} ms, and everywhere after {later:d} ms more")
def check_answered(context, ms, later):
    fleet = context.sent
    fleet.play()
    first_ms = next(time_ms for time_ms, admitted in fleet.admitted if admitted)
    assert first_ms <= context.start_ms + ms, first_ms
    after_ms = first_ms + later
    refused = [one for one, ok in fleet.admitted if one > after_ms and not ok]
    assert not refused, refused
