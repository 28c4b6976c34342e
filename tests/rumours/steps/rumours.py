"""Steps for crash reports sent among agents; datagrams are queued in a list."""

from collections import Counter, deque
from random import Random
from types import SimpleNamespace

from behave import given, then, when

from pulley_agent.crashes import (
    READS_PER_S,
    CrashWatch,
    merge_reports,
    suspects_prefix,
)
from pulley_agent.rumours import (
    N_FORWARD_PEERS,
    CrashGossip,
    announce_crash,
    attach_crash_gossip,
    handle_suspects,
)
from pulley_base import Clock
from pulley_platform import KeyValue
from pulley_policy.suspects import Suspects, count_crashes, record_crash
from pulley_wire import Frame, decode_message, encode_message, messages

SEED = 11
CRASH = "c0ffee"
SERVICE = "consiglio"
MAX_DATAGRAM_BYTES = 1_400


def make_agent(context, number):
    """Return an agent's address and crash gossip; its datagrams go to the context."""
    names = {f"10.0.0.{other}:1" for other in range(context.n_agents)}
    own = f"10.0.0.{number}:1"
    gate = SimpleNamespace(peers=frozenset(names - {own}), local=names - {own})
    admission = SimpleNamespace(gate=gate, random=Random(SEED + number))
    clock = Clock(lambda: 1_000)
    watch = CrashWatch(None, clock, SERVICE, "", Suspects(60_000))
    port = SimpleNamespace(
        send=lambda peer, frame: context.sent.append((own, peer, encode_message(frame)))
    )
    crash_gossip = CrashGossip(watch, SimpleNamespace(admission=admission), port)
    attach_crash_gossip(crash_gossip)
    return own, crash_gossip


@given("{n:d} agents of one service")
def make_agents(context, n):
    context.n_agents = n
    context.sent = deque()
    context.agents = dict(make_agent(context, number) for number in range(n))
    context.n_forwarded = Counter()


@when("one of them reports a crash with {n:d} requests in flight, no datagrams lost")
def report_crash(context, n):
    run_report(context, n, 0)


@when(
    "one of them reports a crash with {n:d} requests in flight, "
    "{loss:d} in 100 datagrams lost"
)
def report_with_loss(context, n, loss):
    run_report(context, n, loss)


def run_report(context, n, loss):
    """Report a crash and deliver datagrams until the queue is empty."""
    context.digests = [bytes([number]) * 16 for number in range(n)]
    random = Random(SEED)
    first = next(iter(context.agents.values()))
    record_crash(first.watch.suspects, CRASH, context.digests, 1_000)
    announce_crash(first, CRASH, context.digests)
    while context.sent:
        sender, peer, data = context.sent.popleft()
        assert len(data) <= MAX_DATAGRAM_BYTES, len(data)
        context.n_forwarded[sender, data] += 1
        if random.randrange(100) >= loss:
            handle_suspects(context.agents[peer], sender, decode_message(data), None)


def stored_reports(context):
    """Return the report as the store holds it."""
    prefix = suspects_prefix(SERVICE)
    return [
        KeyValue(f"{prefix}{digest.hex()}/{CRASH}", b"crashed", 1, 1)
        for digest in context.digests
    ]


@when("every agent reads the report from the store")
def read_reports(context):
    for crash_gossip in context.agents.values():
        merge_reports(crash_gossip.watch, stored_reports(context))


@when("a report of another service arrives")
def receive_other_service(context):
    message = messages.Suspects(service_name="bottega", crash="x", digests=b"d" * 16)
    context.digests = [b"d" * 16]
    for crash_gossip in context.agents.values():
        handle_suspects(crash_gossip, "10.0.0.9:1", Frame(suspects=message), None)


def count_knowing(context):
    """Return the number of agents that know each suspect, with one crash each."""
    return sum(
        all(
            count_crashes(crash_gossip.watch.suspects, digest, 1_000) == 1
            for digest in context.digests
        )
        for crash_gossip in context.agents.values()
    )


@then("{share:d} in 100 agents know every suspect")
def share_knows(context, share):
    n_knowing = count_knowing(context)
    assert n_knowing * 100 >= share * context.n_agents, n_knowing


@then("no agent forwarded any message twice")
def forwarded_once(context):
    max_forwarded = max(context.n_forwarded.values())
    assert max_forwarded <= N_FORWARD_PEERS, max_forwarded


@then("no agent knows a suspect")
def none_know(context):
    assert count_knowing(context) == 0


@then("all of them together read the store at most once a second")
def reads_shared(context):
    per_agent = [
        READS_PER_S / crash_gossip.watch.count_agents()
        for crash_gossip in context.agents.values()
    ]
    assert sum(per_agent) <= 1.0 + 1e-9, sum(per_agent)
