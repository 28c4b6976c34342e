"""Steps for the seeded workloads."""

from behave import given, then
from workloads import (
    CallFlow,
    ChatFlow,
    History,
    Kind,
    Turn,
    append_answer,
    call_turns,
    chat_turns,
    make_messages,
    make_teams,
    merge_flows,
)

PAUSE_MS = 400


def make_flow(seed, duration_ms):
    teams = make_teams()
    chats = ChatFlow(
        seed, 40, 60, duration_ms, PAUSE_MS, teams=teams, n_opening_tokens=9
    )
    quick = CallFlow(seed, Kind.QUICK, 20, duration_ms, 9, 4, teams, prefix="q")
    reviews = CallFlow(seed, Kind.REVIEW, 5, duration_ms, 9, 4, teams, prefix="r")
    flows = chat_turns(chats), call_turns(quick), call_turns(reviews)
    return list(merge_flows(*flows))


@given("flows of chats, quick calls and reviews for {duration_ms:d} ms")
def set_flows(context, duration_ms):
    context.make = lambda seed: make_flow(seed, duration_ms)
    context.turns = context.make(1)
    assert {turn.kind for turn in context.turns} == set(Kind)


@then("two runs of one seed are equal and two seeds differ")
def check_seeds(context):
    assert context.turns == context.make(1) != context.make(2)


@then("turns are sorted by time and none is after {duration_ms:d} ms")
def check_order(context, duration_ms):
    times = [turn.at_ms for turn in context.turns]
    assert times == sorted(times) and times[-1] < duration_ms


@then("no chat has two turns within its pause")
def check_pauses(context):
    last_turn_ms = {}
    n_returns = 0
    for turn in context.turns:
        if turn.kind is Kind.CHAT:
            n_returns += turn.chat in last_turn_ms
            assert turn.at_ms - last_turn_ms.get(turn.chat, -PAUSE_MS) >= PAUSE_MS
            last_turn_ms[turn.chat] = turn.at_ms
    assert n_returns > 10


@given("a chat of three turns")
def set_three_turns(context):
    history = History()
    context.request_messages = []
    for text in "abc":
        turn = Turn(0, "chat", "team", Kind.CHAT, text, 1)
        context.request_messages.append(make_messages(history, turn))
        append_answer(history, turn, f"answer {text}")


@then("each request starts with the messages of the previous one and its answer")
def check_messages(context):
    first, second, third = context.request_messages
    assert [len(messages) for messages in context.request_messages] == [1, 3, 5]
    assert second[:1] == first and third[:3] == second
    assert third[3] == {"role": "assistant", "content": "answer b"}


@then("three of ten teams have over two thirds of the shares, which sum to 1")
def check_team_shares(context):
    shares = sorted((team.share for team in make_teams()), reverse=True)
    assert len(shares) == 10 and sum(shares[:3]) > 2 / 3
    assert abs(sum(shares) - 1) < 1e-9
