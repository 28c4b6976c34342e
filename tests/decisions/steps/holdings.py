"""Steps about the account of what requests hold."""

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from pulley_policy.holdings import (
    Account,
    Holder,
    record_received,
    release,
    reserve,
    reserve_answer,
)

KB = 1024
MB = 1024 * KB
CAPACITY = 4 * MB
N_HOLDERS = 6
ACTIONS = ("reserve", "receive", "end", "answer", "release")
STEPS = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.integers(0, N_HOLDERS - 1),
        st.integers(1, 3 * MB),
        st.integers(0, 1_500),
    ),
    max_size=60,
)


@when("any requests reserve, grow, stall, end and are answered")
def play_any(context):
    context.problems = []

    @settings(max_examples=300, deadline=None, database=None, derandomize=True)
    @any_of(STEPS)
    def play(steps):
        account, now_ms = Account(CAPACITY), 0
        holders = [Holder() for _ in range(N_HOLDERS)]
        for action, number, n_bytes, wait_ms in steps:
            now_ms += wait_ms
            holder = holders[number]
            incoming = {one for one in holders if one.is_incoming}
            yielding = act(account, holder, action, n_bytes, now_ms)
            check_account(context, account, incoming, yielding)

    play()


def act(account, holder, action, n_bytes, now_ms):
    """Let a holder do something; return the holders that yielded for it."""
    if action == "reserve" and holder.is_incoming:
        return reserve(account, holder, n_bytes, now_ms)
    if action == "receive":
        record_received(holder, n_bytes, now_ms)
    elif action == "end":
        holder.is_incoming = False
    elif action == "answer" and not holder.is_incoming:
        return reserve_answer(account, holder, n_bytes, now_ms)
    elif action == "release":
        release(account, holder)
    return []


def check_account(context, account, incoming, yielding):
    reserved = sum(one.n_bytes for one in account.holders)
    if account.n_bytes != reserved or reserved > account.capacity_bytes:
        context.problems.append((account.n_bytes, reserved))
    if not set(yielding or ()) <= incoming:
        context.problems.append(yielding)


@then("no more than the capacity was ever reserved")
@then("only incoming bodies had to yield")
def check_no_problems(context):
    assert not context.problems, context.problems[:3]


@given("a capacity of {capacity:d} MB that bodies of {size:d} MB have filled")
def fill(context, capacity, size):
    context.account = Account(capacity * MB)
    context.bodies = []
    for number in range(capacity // size):
        body = Holder()
        if reserve(context.account, body, size * MB, 10 * number) is not None:
            context.bodies.append(body)


@when("these have stalled for {stalled_ms:d} ms and a body of {size:d} MB comes")
def come_after_stall(context, stalled_ms, size):
    context.found = reserve(context.account, Holder(), size * MB, stalled_ms)


@when("these go on and a body of {size:d} {unit} comes")
def come_beside(context, size, unit):
    n_bytes = size * (MB if unit == "MB" else KB)
    context.found = reserve(context.account, Holder(), n_bytes, 100)


@when("these go on and an answer of {size:d} MB comes")
def answer_beside(context, size):
    made = Holder(is_incoming=False)
    context.found = reserve_answer(context.account, made, size * MB, 100)


@then("it is taken, and the body that stalled first has yielded")
def check_first_yielded(context):
    assert context.found == context.bodies[:1], context.found


@then("it is refused, and no body has yielded")
def check_refused(context):
    assert context.found is None, context.found


@then("it is taken, and no body has yielded")
def check_taken(context):
    assert context.found == [], context.found


@then("it is taken, and the largest bodies have yielded")
def check_largest_yielded(context):
    assert context.found and set(context.found) <= set(context.bodies)
