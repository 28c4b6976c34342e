"""Steps for the ceiling of context reuse."""

from behave import given, then, when
from ceilings import (
    EngineChange,
    Event,
    ServedTurn,
    find_reuse_opportunities,
    measure_reuse,
)
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

N_CACHE_TOKENS = 2_000
RETURNING_TURN_MS = 100


@given("engine a has served a chat of {n_tokens:d} tokens")
def set_served_turns(context, n_tokens):
    context.served = [ServedTurn("chat", "a", 0, 10, n_tokens - 100, 100, 0)]
    context.changes = []


@when("nothing happens")
def check_no_changes(context):
    assert not context.changes


@when("a is {first} and back")
def change_engine_a_and_restore(context, first):
    change_engine_a(context, first)
    context.changes.append(EngineChange(60, "a", Event.BACK))


@when("a is {event:w}")
def change_engine_a(context, event):
    context.changes.append(EngineChange(50, "a", Event[event.upper()]))


@when("another chat evicts it from a")
def serve_other_chat_on_a(context):
    context.served.append(ServedTurn("other", "a", 20, 30, 1_000, 0, 0))


@when("b also serves it and a is lost")
def serve_on_b_and_lose_a(context):
    context.served.append(ServedTurn("chat", "b", 20, 30, 1_500, 100, 0))
    change_engine_a(context, "lost")


@when("b also serves it, both are lost")
def serve_on_b_and_lose_both(context):
    serve_on_b_and_lose_a(context)
    context.changes.append(EngineChange(55, "b", Event.LOST))


@then("the returning chat could reuse {n_tokens:d} tokens")
def check_reusable_tokens(context, n_tokens):
    returning_turn = ServedTurn("chat", "c", RETURNING_TURN_MS, 110, 1_700, 10, 0)
    opportunities = find_reuse_opportunities(
        [*context.served, returning_turn], context.changes, N_CACHE_TOKENS
    )
    *_previous, last = opportunities
    assert last.turn is returning_turn
    assert last.n_reusable_tokens == n_tokens, last


@when("the chat returns and {n_cached:d} of its {n_prompt:d} tokens are cached")
def serve_returning_turn(context, n_cached, n_prompt):
    returning_turn = ServedTurn(
        "chat", "a", RETURNING_TURN_MS, 110, n_prompt, 10, n_cached
    )
    context.reuse = measure_reuse([*context.served, returning_turn], (), N_CACHE_TOKENS)


@then("the reuse is {over:g} of the ceiling and {share:g} of the prompt tokens")
def check_reuse(context, over, share):
    assert abs(context.reuse.over_ceiling - over) < 1e-9
    assert abs(context.reuse.share - share) < 1e-3


TURNS = st.lists(st.tuples(st.integers(0, 4), st.sampled_from("ab")), max_size=30)


@then("placing every turn on the engine with its context reaches the ceiling exactly")
def check_ideal_placement(context):
    @settings(derandomize=True, database=None, max_examples=60)
    @for_all(TURNS, st.booleans())
    def check(turns, a_leaves):
        served, held, lengths = [], {}, {}
        changes = []
        for step, (chat, wanted) in enumerate(turns):
            at_ms = step * 10
            if a_leaves and step == 15:
                changes.append(EngineChange(at_ms - 1, "a", Event.LOST))
                held = {key: cached for key, cached in held.items() if cached[0] != "a"}
            engine, n_held = held.get(chat, (wanted, 0))
            n_prompt = lengths.get(chat, 0) + 32
            lengths[chat] = n_prompt + 16
            served.append(
                ServedTurn(str(chat), engine, at_ms, at_ms + 5, n_prompt, 16, n_held)
            )
            held[chat] = (engine, lengths[chat])
        reuse = measure_reuse(served, changes, 10**9)
        assert reuse.n_reused_tokens == reuse.n_reusable_tokens

    check()
