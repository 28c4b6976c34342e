"""Steps about words of the store that come late."""

from dataclasses import replace

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from pulley_base import Clock
from pulley_direct.endpoints.departures import record_leaving, usable_endpoints
from pulley_direct.state.fleet_views import FleetView, LeavingSource
from pulley_direct.state.models import Endpoint, EndpointRemoved
from pulley_direct.store.beliefs import apply_entries, replace_entries

READY = Endpoint("e", "shop", "127.0.0.1:9", slots=4, started_ms=100, revision=10)
BEHIND = 9
OLDER = 11
LEFT = 12
NEWER = 13


def list_as(endpoint, revision):
    return lambda view: apply_entries(view, [replace(endpoint, revision=revision)])


def read_as(endpoint, revision):
    return lambda view: replace_entries(
        view, [replace(endpoint, revision=min(revision, LEFT - 1))], revision
    )


DRAINING = replace(READY, draining=True)
RESTARTED = replace(READY, started_ms=200)
LEAVES = {
    "is listed draining": list_as(DRAINING, LEFT),
    "is removed": lambda view: apply_entries(view, [EndpointRemoved("e", LEFT)]),
    "says that it leaves": lambda view: record_leaving(
        view, READY, LeavingSource.ANSWER
    ),
}
WORDS = {
    "a read that is behind": read_as(READY, OLDER),
    "an event that is older": list_as(READY, OLDER),
    "an event that is newer": list_as(READY, NEWER),
    "a newer read": lambda view: replace_entries(
        view, [replace(READY, revision=NEWER)], NEWER
    ),
}


def is_usable(view):
    return bool(usable_endpoints(view, "shop"))


@given("an endpoint that was listed as ready")
def list_ready(context):
    context.view = FleetView(Clock())
    apply_entries(context.view, [READY])
    assert is_usable(context.view)


@when("it {leaves} and its later start is listed as ready")
def leave_and_restart(context, leaves):
    LEAVES[leaves](context.view)
    apply_entries(context.view, [replace(RESTARTED, revision=NEWER)])


@when("it {leaves} and {word} lists it as ready")
def leave_and_list(context, leaves, word):
    LEAVES[leaves](context.view)
    WORDS[word](context.view)


@when("a read that is behind does not list it")
def read_without(context):
    replace_entries(context.view, [], BEHIND)


@then("it is not usable")
def check_not_usable(context):
    assert not is_usable(context.view), context.view


@then("it is usable")
def check_usable(context):
    assert is_usable(context.view), context.view


WORD_LISTS = st.lists(
    st.tuples(st.sampled_from(["ready", "draining", "removed", "says"]), st.booleans()),
    min_size=1,
    max_size=12,
)


def make_words(kinds):
    """Return the words of the store in its order: one revision each."""
    words = []
    for revision, (kind, starts_again) in enumerate(kinds, start=1):
        started_ms = (words[-1][1] if words else 100) + 100 * starts_again
        word = replace(
            READY,
            started_ms=started_ms,
            revision=revision,
            draining=kind == "draining",
        )
        words.append((kind, started_ms, revision, word))
    return words


def apply_word(view, word):
    kind, _started_ms, revision, endpoint = word
    if kind == "removed":
        apply_entries(view, [EndpointRemoved("e", revision)])
    elif kind == "says":
        record_leaving(view, endpoint, LeavingSource.ANSWER)
    else:
        apply_entries(view, [endpoint])


def should_be_usable(heard):
    """Return what the newest of the words that were heard, and any leaving, say."""
    listed = [word for word in heard if word[0] != "says"]
    if not listed:
        return False
    newest = max(listed, key=lambda word: word[2])
    left_ms = [word[1] for word in heard if word[0] in ("draining", "says")]
    return newest[0] == "ready" and newest[1] > max(left_ms, default=0)


@when("words about one endpoint come late, twice and in any order")
def apply_in_any_order(context):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @any_of(WORD_LISTS, st.randoms(use_true_random=False))
    def check(kinds, random):
        words = make_words(kinds)
        deliveries = words + random.sample(words, len(words) // 2)
        random.shuffle(deliveries)
        view, heard = FleetView(Clock()), []
        for word in deliveries:
            apply_word(view, word)
            heard.append(word)
            assert is_usable(view) == should_be_usable(heard), heard

    context.check = check


@then("it is never usable after it left, and usable if its newest word says so")
def check_any_order(context):
    context.check()
