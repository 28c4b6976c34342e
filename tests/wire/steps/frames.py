"""Steps for frames: arbitrary bytes, split streams, peers that send invalid bytes."""

import asyncio

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from pulley_base import Clock, ProtocolError
from pulley_wire import Frame, FrameStamp, PeerConnection, listen_peers
from pulley_wire.frames import LENGTH_PREFIX, FrameReader, encode_frame
from pulley_wire.messages import Data, Header, Heartbeat, Hello, Open

TEST_TIMEOUT_S = 30
MAX_FRAME_BYTES = 4_096
FIXED_EXAMPLES = settings(
    max_examples=1_000, derandomize=True, database=None, deadline=None
)

FRAMES = [
    Frame(revision=7, heartbeat=Heartbeat(sequence=3)),
    Frame(data=Data(request=1, attempt=2, offset=10, data=b"abc", last=True)),
    Frame(hello=Hello(sender="127.0.0.1:1", role="agent", capacity=9)),
    Frame(
        open=Open(
            request=5,
            nonce=b"n" * 16,
            method="POST",
            headers=[Header(name=b"a", value=b"b")] * 3,
            body=b"x" * 300,
        )
    ),
]


def feed_all(reader: FrameReader, data: bytes) -> bool:
    """Feed bytes to a reader; return False if it raised ProtocolError."""
    try:
        for frame in reader.feed(data):
            assert isinstance(frame, Frame)
    except ProtocolError:
        return False
    assert len(reader.buffer) < MAX_FRAME_BYTES + LENGTH_PREFIX.size
    return True


def add_length_prefix(message: bytes) -> bytes:
    """Prefix a message with its correct length."""
    return LENGTH_PREFIX.pack(len(message)) + message


@then("arbitrary bytes make the reader yield frames or raise ProtocolError")
def check_arbitrary_bytes(context):
    pieces = st.lists(
        st.binary(max_size=200) | st.binary().map(add_length_prefix), max_size=8
    )

    @FIXED_EXAMPLES
    @given(pieces)
    def check(found):
        reader = FrameReader(MAX_FRAME_BYTES)
        for piece in found:
            if not feed_all(reader, piece):
                return

    check()


@then("frames with altered bytes make the reader yield frames or raise ProtocolError")
def check_corrupted_frames(context):
    changes = st.lists(st.tuples(st.integers(4, 400), st.integers(0, 255)), min_size=1)

    @FIXED_EXAMPLES
    @given(st.sampled_from(FRAMES), changes)
    def check(frame, found):
        data = bytearray(encode_frame(frame))
        for position, value in found:
            data[4 + position % (len(data) - 4)] = value
        feed_all(FrameReader(MAX_FRAME_BYTES), bytes(data))

    check()


@then("frames split at any position arrive complete and in order")
def check_split_frames(context):
    @FIXED_EXAMPLES
    @given(st.lists(st.sampled_from(FRAMES)), st.lists(st.integers(0, 2_000)))
    def check(frames, split_positions):
        data = b"".join(map(encode_frame, frames))
        reader = FrameReader(MAX_FRAME_BYTES)
        edges = sorted(
            {
                0,
                len(data),
                *(position for position in split_positions if position < len(data)),
            }
        )
        received = []
        for start, end in zip(edges, edges[1:], strict=False):
            received += reader.feed(data[start:end])
        assert received == frames

    check()


JUNK = {
    "text": b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    "a length over the limit": LENGTH_PREFIX.pack(0xFFFF_FFFF) + b"x",
    "a frame of zeros and ones": add_length_prefix(b"\xff\x01" * 40),
    "a string longer than its frame": add_length_prefix(
        b"\x3c\x18\xff\xff\xff\xff\x07abc"
    ),
    "a list longer than its frame": add_length_prefix(
        b"\x4c\x89\xfc\xff\xff\xff\xff\x07"
    ),
    "a truncated frame and the end": encode_frame(FRAMES[0])[:-2],
}


@when("a peer sends {name}")
def send_junk(context, name):
    frames, closed = [], []

    def make_connection():
        return PeerConnection(
            lambda connection, frame: frames.append(frame),
            lambda connection, reason: closed.append(reason),
            stamp=FrameStamp(),
            clock=Clock(),
        )

    async def run():
        server = await listen_peers("127.0.0.1", 0, make_connection)
        address = server.sockets[0].getsockname()[:2]
        _reader, junk = await asyncio.open_connection(*address)
        _reader, good = await asyncio.open_connection(*address)
        junk.write(JUNK[name])
        if name.endswith("the end"):
            junk.close()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not closed:
                await asyncio.sleep(0.01)
            context.reasons = list(closed)
            n_frames_before = len(frames)
            good.write(encode_frame(FRAMES[1]))
            while len(frames) == n_frames_before:
                await asyncio.sleep(0.01)
        context.last = frames[-1]
        good.close()
        server.close()

    asyncio.run(run())


@then('its connection is closed for the reason "{reason}"')
def check_closed_reason(context, reason):
    assert context.reasons == [reason], context.reasons


@then("another peer's frame still arrives")
def check_frame_arrived(context):
    assert context.last == FRAMES[1]
