"""Steps for the router's choice of an endpoint."""

from types import SimpleNamespace

from behave import given, then, when

from pulley_base import Clock
from pulley_fleet.followers import Follower
from pulley_fleet.members import Members, mark_leaving, start_backoff
from pulley_policy.members import Listed
from pulley_policy.placement import digest_chat
from pulley_router.dispatchers import Dispatcher, choose_endpoint
from pulley_router.models import Call
from pulley_rules.models import DrainRule, Rules, Subject
from pulley_wire import FrameStamp

ADDRESSES = {"a": "10.0.0.1:1", "b": "10.0.0.2:1", "c": "10.1.0.1:1"}
N_CHATS = 40


@given("the endpoints a and b in catania and c in enna")
def set_up_endpoints(context):
    context.clock = Clock(lambda: 1_000)
    context.members = Members(context.clock)
    places = {"a": "catania", "b": "catania", "c": "enna"}
    listed = [
        Listed(ADDRESSES[name], "consiglio", place) for name, place in places.items()
    ]
    context.members.table.update_from_list(listed, 1_000)
    context.tried = []


@given("a router in catania")
def set_up_router(context):
    context.dispatcher = Dispatcher(
        peers=None,
        members=context.members,
        clock=context.clock,
        follower=Follower(FrameStamp()),
        window=None,
        data_centre="catania",
    )


@when("connections to {names} fail")
def fail_connections(context, names):
    for name in names.split(","):
        start_backoff(context.members, ADDRESSES[name])


@when("{names} report that they drain")
def report_drain(context, names):
    for name in names.split(","):
        mark_leaving(context.members, ADDRESSES[name])


@when("{names} have been tried")
def mark_tried(context, names):
    context.tried = [ADDRESSES[name] for name in names.split(",")]


@when("a rule drains {name}")
def add_drain_rule(context, name):
    rule = DrainRule(Subject.ENDPOINT, ADDRESSES[name])
    rules = Rules(revision=2, drains=frozenset({rule}))
    context.dispatcher.follower = SimpleNamespace(rules=rules)


def choose_for_chat(context, chat_number):
    chat = digest_chat("consiglio", f"chat {chat_number}")
    call = Call("consiglio", "orto", "POST", "/", [], chat, 0, 60_000, True)
    call.route.tried += context.tried
    return choose_endpoint(context.dispatcher, call)


@then("it chooses among {names}")
def check_choice(context, names):
    chosen = {choose_for_chat(context, chat_number) for chat_number in range(N_CHATS)}
    assert chosen == {ADDRESSES[name] for name in names.split(",")}, chosen


@then("it chooses nothing")
def check_no_choice(context):
    assert {
        choose_for_chat(context, chat_number) for chat_number in range(N_CHATS)
    } == {None}
