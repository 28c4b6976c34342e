"""Steps for single decisions on claims, answers and suspects."""

from dataclasses import replace

from behave import given, then, when
from claims.machines.fake_stores import FakeStore, StepRunner
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from pulley_policy import answers, claims, suspects
from pulley_policy.claims import ClaimedAttempt, Record, Subject

PROPERTY_SETTINGS = settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
DIGESTS = st.binary(min_size=1, max_size=16)
MAX_STEPS = 10


@given("attempts 1 and 2 of one key")
def make_attempts(context):
    context.store = FakeStore()
    context.attempts = {
        number: Subject("bottega", b"key", b"n%d" % number, 1, "agent", b"body", b"t")
        for number in (1, 2)
    }


def run_steps(context, steps):
    runner = StepRunner(steps, b"key")
    for _step in range(MAX_STEPS):
        if runner.ruling is None:
            runner.step(context.store)
    context.ruling = runner.ruling


@when("attempt {number:d} is claimed")
def claim(context, number):
    run_steps(context, claims.claim_steps(context.attempts[number]))


@when("attempt {number:d} is claimed by another delivery")
def claim_again(context, number):
    subject = replace(context.attempts[number], token=b"other")
    run_steps(context, claims.claim_steps(subject))


@when("attempt {number:d} is claimed with another body")
def claim_with_other_body(context, number):
    subject = replace(context.attempts[number], body_digest=b"other")
    run_steps(context, claims.claim_steps(subject))


@when("attempt {number:d} is claimed in the current window")
def claim_in_current_window(context, number):
    subject = replace(context.attempts[number], window=context.store.window)
    run_steps(context, claims.claim_steps(subject))


@when("attempt {number:d} is voided")
def void(context, number):
    run_steps(context, claims.void_steps(replace(context.attempts[number], token=b"")))


@when("attempt {number:d} is voided with another body")
def void_with_other_body(context, number):
    subject = replace(context.attempts[number], token=b"", body_digest=b"other")
    run_steps(context, claims.void_steps(subject))


@when("the window advances {n_times:d} times")
def advance(context, n_times):
    for _time in range(n_times):
        context.store.advance()


@when("the next reply is lost")
def lose_reply(context):
    context.store.fault = "lost reply"


@then('the verdict is "{verdict}"')
def check_verdict(context, verdict):
    assert context.ruling.verdict == verdict, context.ruling


@then("a key of window 1 is expired in window 3 but not in window 2")
def check_expiry(context):
    assert claims.is_expired(1, 3)
    assert not claims.is_expired(1, 2)


@then("every encoded record decodes to the same record")
def check_record_encoding(context):
    attempt = st.builds(ClaimedAttempt, DIGESTS, st.text(), DIGESTS, DIGESTS)
    records = st.builds(Record, st.none() | attempt, st.lists(DIGESTS).map(tuple))

    @PROPERTY_SETTINGS
    @given_examples(records)
    def check(record):
        assert claims.decode_record(claims.encode_record(record)) == record

    check()


@then("an answer is complete only when all its bytes have arrived")
def check_assembly(context):
    whole = b"0123456789"
    spans = st.tuples(st.integers(0, 9), st.integers(1, 10), st.integers(1, 2))

    @PROPERTY_SETTINGS
    @given_examples(st.lists(spans, max_size=12))
    def check(pieces):
        assembly = answers.Assembly(attempt=2, length=len(whole))
        received = b""
        for start, size, attempt in pieces:
            data = whole[start : start + size]
            last = start + size >= len(whole)
            data = data if attempt == 2 else b"?" * len(data)
            taken = answers.take_piece(assembly, attempt, start, data, last)
            received += taken if isinstance(taken, bytes) else b""
        assert received == whole[: len(received)]
        assert answers.is_whole(assembly) == (received == whole)

    check()


@then("held answers never exceed {max_bytes:d} bytes or {hold_ms:d} ms")
def check_held_answers(context, max_bytes, hold_ms):
    operations = st.tuples(st.integers(0, 5), st.integers(0, 60), st.integers(0, 20))

    @PROPERTY_SETTINGS
    @given_examples(st.lists(operations, max_size=30))
    def check(steps):
        held = answers.HeldAnswers(max_bytes, hold_ms)
        now_ms = 0
        for name, size, passed_ms in steps:
            now_ms += passed_ms
            answers.hold_answer(held, b"%d" % name, size, now_ms)
            answers.evict_answers(held, now_ms)
            sizes = [each.n_bytes for each in held.by_nonce.values()]
            assert sum(sizes) == held.n_bytes <= max_bytes
            assert all(each.expires_ms > now_ms for each in held.by_nonce.values())

    check()


@given("suspects that expire after {expiry_ms:d} ms")
def start_suspects(context, expiry_ms):
    context.suspects = suspects.Suspects(expiry_ms)


@when('"{first}" and "{second}" are in flight at crash "{crash}"')
@when('the report of crash "{crash}" with "{first}" and "{second}" is received again')
def crash(context, first, second, crash):
    digests = (first.encode(), second.encode())
    suspects.record_crash(context.suspects, crash, digests, 0)


@then('only "{name}" is quarantined')
def check_quarantined(context, name):
    assert suspects.list_quarantined(context.suspects, 0) == [name.encode()]


@then("nothing is quarantined {later_ms:d} ms later")
def check_none_quarantined(context, later_ms):
    assert suspects.list_quarantined(context.suspects, later_ms) == []
