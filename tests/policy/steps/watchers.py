"""Steps in which routers choose the watchers that they follow."""

from collections import Counter
from dataclasses import replace

from behave import then, when

from pulley_direct.peers.relays import ANSWER_GRACE_SHARE
from pulley_policy.watchers import (
    MAX_WATCHERS_TRIED,
    Member,
    choose_watcher,
    derive_times,
    order_watchers,
)

NOW_MS = 1_000_000


def make_members(n_routers, n_centres):
    """Return routers that are spread evenly over data centres."""
    return [Member(f"router-{n}", f"centre-{n % n_centres}") for n in range(n_routers)]


def choose_all(members, failed=()):
    """Return whom each router follows, None for one that watches the store."""
    failed_until_ms = dict.fromkeys(failed, NOW_MS + 1)
    return {
        own.name: choose_watcher(
            own.name, order_watchers(own, members), failed_until_ms, NOW_MS
        )
        for own in members
    }


@when("{n_routers:d} routers in {n_centres:d} data centres choose whom to follow")
def choose(context, n_routers, n_centres):
    context.chosen = choose_all(make_members(n_routers, n_centres))


@when(
    "{n_routers:d} routers choose whom to follow, {n_wide:d} in each of {n_centres:d}"
    " data centres on a link of {wide:d} Mbit/s, the others of {narrow:d}"
)
def choose_by_links(context, n_routers, n_wide, n_centres, wide, narrow):
    members = [
        replace(member, link_mbps=wide if n < n_wide * n_centres else narrow)
        for n, member in enumerate(make_members(n_routers, n_centres))
    ]
    context.wide = {one.name for one in members if one.link_mbps == wide}
    context.chosen = choose_all(members)


@then("every router on a narrow link follows one on a wide link")
def check_wide(context):
    chosen = context.chosen
    found = {chosen[name] for name in chosen.keys() - context.wide}
    assert found <= context.wide, found - context.wide


@then("at most {n_watchers:d} of them watch the store")
def check_watchers(context, n_watchers):
    watching = [name for name, watcher in context.chosen.items() if watcher is None]
    assert 1 <= len(watching) <= n_watchers, len(watching)


@then("no watcher has more than {n_followers:d} followers")
def check_followers(context, n_followers):
    counts = Counter(context.chosen.values())
    del counts[None]
    assert max(counts.values(), default=0) <= n_followers, counts


@then("everybody follows a router that watches")
def check_watching(context):
    for watcher in context.chosen.values():
        assert watcher is None or context.chosen[watcher] is None, watcher


@when(
    "{n_routers:d} routers in {n_centres:d} data centres find that "
    "the first watcher has failed"
)
def lose_first(context, n_routers, n_centres):
    members = make_members(n_routers, n_centres)
    first = next(name for name, one in choose_all(members).items() if one is None)
    context.lost = [first]
    context.chosen = choose_all(members, context.lost)


@when(
    "{n_routers:d} routers in {n_centres:d} data centres find that "
    "the first two watchers have failed"
)
def lose_two(context, n_routers, n_centres):
    lose_first(context, n_routers, n_centres)
    others = Counter(context.chosen.values())
    del others[None]
    context.lost += [others.most_common(1)[0][0]]
    context.chosen = choose_all(make_members(n_routers, n_centres), context.lost)


@then("they follow one other router, which watches the store")
def check_next(context):
    found = {one for name, one in context.chosen.items() if name not in context.lost}
    found.discard(None)
    assert len(found) == 1 and found.isdisjoint(context.lost), found
    assert context.chosen[found.pop()] is None


@then("each of the others watches the store")
def check_all_watch(context):
    found = {one for name, one in context.chosen.items() if name not in context.lost}
    assert found == {None}, context.chosen


@then("the two that failed follow one of those")
def check_lost(context):
    followed = {context.chosen[name] for name in context.lost}
    assert None not in followed and followed.isdisjoint(context.lost), context.chosen


@when("a router joins {n_routers:d} others in {n_centres:d} data centres")
def join(context, n_routers, n_centres):
    members = make_members(n_routers, n_centres)
    before = choose_all(members)
    after = choose_all([*members, Member("router-new", "centre-0")])
    context.n_moved = sum(after[name] != one for name, one in before.items())


@then("at most {n_routers:d} routers change whom they follow")
def check_moved(context, n_routers):
    assert context.n_moved <= n_routers, context.n_moved


@when("changes must be in force within {in_force_ms:d} ms")
def derive(context, in_force_ms):
    context.in_force_ms, context.times = in_force_ms, derive_times(in_force_ms)


@then("two watchers that do not answer are given up within {share:g} of that time")
def check_given_up(context, share):
    timeout_ms = context.times.answer_wait_ms * (1 + ANSWER_GRACE_SHARE)
    assert MAX_WATCHERS_TRIED * timeout_ms <= share * context.in_force_ms


@then("a follower's word is confirmed again within {share:g} of that time")
def check_confirmed(context, share):
    assert context.times.check_ms <= share * context.in_force_ms
    assert context.times.check_ms < context.times.answer_wait_ms
    assert context.times.check_ms < context.times.stale_ms
