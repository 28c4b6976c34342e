"""Steps for frames between processes of the same or of different fleets."""

import asyncio

from behave import given, then, when

from pulley_base import Clock
from pulley_wire import (
    DatagramPort,
    Frame,
    FrameStamp,
    PeerConnection,
    connect_peer,
    encode_message,
    listen_peers,
)
from pulley_wire.messages import RulesAsk

TEST_TIMEOUT_S = 20


@given("a process of fleet {fleet:d} with rules of revision {revision:d}")
def set_up_process(context, fleet, revision):
    context.frames, context.reasons, context.newer_revisions = [], [], []
    context.stamp = FrameStamp(revision=revision, fleet=fleet)
    context.stamp.on_newer_revision = lambda peer, revision, reply: (
        context.newer_revisions.append(revision)
    )


@when(
    "a process of fleet {fleet:d} sends it a frame of revision {revision:d} "
    "on a connection"
)
def send_on_connection(context, fleet, revision):
    sender = FrameStamp(revision=revision, fleet=fleet)

    def make_receiver():
        return PeerConnection(
            lambda connection, frame: context.frames.append(frame),
            lambda connection, reason: context.reasons.append(reason),
            stamp=context.stamp,
            clock=Clock(),
        )

    def make_sender():
        return PeerConnection(
            lambda connection, frame: None,
            lambda connection, reason: None,
            stamp=sender,
            clock=Clock(),
        )

    async def run():
        server = await listen_peers("127.0.0.1", 0, make_receiver)
        address = "%s:%s" % server.sockets[0].getsockname()[:2]
        connection = await connect_peer(address, make_sender)
        connection.send(Frame(rules_ask=RulesAsk(have=revision)))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not context.frames and not context.reasons:
                await asyncio.sleep(0.01)
        connection.close("done")
        server.close()

    asyncio.run(run())


@when(
    "a process of fleet {fleet:d} sends it a frame of revision {revision:d} "
    "in a datagram"
)
def send_datagram(context, fleet, revision):
    sent = []

    class Recorder:
        def sendto(self, data, address):
            sent.append(data)

    sender = DatagramPort(
        None, stamp=FrameStamp(revision=revision, fleet=fleet), sender="127.0.0.1:9"
    )
    sender.transport = Recorder()
    sender.send("127.0.0.1:8", Frame(rules_ask=RulesAsk(have=revision)))
    receiver = DatagramPort(
        lambda peer, frame: context.frames.append(frame),
        stamp=context.stamp,
        sender="127.0.0.1:8",
    )
    assert sent == [
        encode_message(
            Frame(
                rules_ask=RulesAsk(have=revision),
                revision=revision,
                fleet=fleet,
                sender="127.0.0.1:9",
            )
        )
    ]
    receiver.datagram_received(sent[0], ("127.0.0.1", 9))


@then('it ignores the frame, requests no newer rules and closes for "{reason}"')
def check_ignored_and_closed(context, reason):
    assert (context.frames, context.newer_revisions) == ([], [])
    assert context.reasons == [reason], context.reasons


@then("it ignores the frame and requests no newer rules")
def check_ignored(context):
    assert (context.frames, context.newer_revisions) == ([], [])


@then("it accepts the frame and requests newer rules")
def check_accepted(context):
    assert len(context.frames) == 1
    assert context.newer_revisions == [9], context.newer_revisions
