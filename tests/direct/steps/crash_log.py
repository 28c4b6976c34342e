"""Steps that apply other routers' crash reports to a router's own log."""

from unittest.mock import patch

from behave import given, then, when

from pulley_direct.state import crash_log
from pulley_direct.state.crash_log import (
    CrashLog,
    apply_reports,
    note_if_sound,
    record_own_loss,
    record_sound_request,
)
from pulley_direct.state.models import CrashReports
from pulley_policy.crashes import list_quarantined, record_good
from pulley_policy.losses import LostRequest, Suspect, score_request

PART = "model/part/dead"
REQUEST = "model/request/00"
HASH = 1


def lose(crash, part, request, depth):
    """Return the report of a request with one shared part."""
    return LostRequest(crash, (Suspect(part, depth), Suspect(request, 1)))


@given("a part that is quarantined by a report")
def quarantine(context):
    lost = lose("one", PART, "request-1", 1), lose("two", PART, "request-2", 2)
    context.report = CrashReports("router-1", lost, ())
    context.log, context.now_ms = CrashLog(), 0
    apply_reports(context.log, context.report, context.now_ms)
    assert list_quarantined(context.log.evidence, 0) == [PART]


@when("{s:d} s pass and the same report is read again")
def read_again(context, s):
    context.now_ms += s * 1_000
    assert not list_quarantined(context.log.evidence, context.now_ms)
    apply_reports(context.log, context.report, context.now_ms)


@when("{n:d} routers report {m:d} losses each")
def report_many(context, n, m):
    if not hasattr(context, "log"):
        context.log, context.now_ms = CrashLog(), 0
    look = crash_log.log_quarantines
    with patch.object(crash_log, "log_quarantines", wraps=look) as looked:
        for number in range(n):
            ids = [f"{number}-{loss}" for loss in range(m)]
            lost = [lose(one, f"part-{one}", f"request-{one}", 1) for one in ids]
            entry = CrashReports(f"other-{number}", tuple(lost), ())
            apply_reports(context.log, entry, context.now_ms)
    context.n_looked = looked.call_count


@then("quarantines are looked for at most {n:d} times")
def check_looked(context, n):
    assert context.n_looked <= n, context.n_looked


@then("that part is not quarantined")
def check_released(context):
    found = list_quarantined(context.log.evidence, context.now_ms)
    assert found == [], found


@then("that part is quarantined")
def check_quarantined(context):
    found = list_quarantined(context.log.evidence, context.now_ms)
    assert found == [PART], found


@given("a router that lost two prompts with one part and a request at depth 2")
def lose_own(context):
    context.log = CrashLog()
    deep = LostRequest("four", (Suspect("request-3", 2),))
    context.first = [
        lose("one", PART, "request-1", 1),
        lose("two", PART, "request-2", 2),
        deep,
    ]
    for lost in context.first:
        record_own_loss(context.log, lost, 0)


@when("it loses {n:d} other requests")
def lose_others(context, n):
    for number in range(n):
        lost = LostRequest(f"crash-{number}", (Suspect(f"other-{number}", 1),))
        record_own_loss(context.log, lost, 0)


@then("it still shares these {n:d} reports, and at most {most:d} in all")
def check_shared(context, n, most):
    shared = context.log.own_lost + context.log.own_bare
    assert len(context.first) == n and len(shared) <= most, len(shared)
    assert all(lost in shared for lost in context.first), shared


@given("a request that was cleared of a crash {s:d} s ago")
def clear_request(context, s):
    context.log, context.now_ms = CrashLog(), s * 1_000
    record_own_loss(context.log, LostRequest("first", (Suspect(REQUEST, 1),)), 0)
    evidence = context.log.evidence
    assert record_good(evidence, score_request(evidence, (REQUEST,)), 0)


@when("it has a good answer, and is lost in {n:d} crashes, one after the other")
def answer_and_lose(context, n):
    record_sound_request(context.log, HASH, context.now_ms)
    for depth in range(1, n + 1):
        lost = LostRequest(f"crash-{depth}", (Suspect(REQUEST, depth),))
        record_own_loss(context.log, lost, context.now_ms)
        note_if_sound(context.log, REQUEST, HASH)


@then("that request is not quarantined")
def check_sound(context):
    check_released(context)
