"""Steps with what is left of a stream at its end: comments, blank lines, others."""

import time

from behave import then, when
from hypothesis import given as any_of
from hypothesis import settings
from hypothesis import strategies as st

from pulley_direct.requests.events import EventBuffer, is_inside_event

LINES = {
    "a comment with CRLF": b": waiting\r\n",
    "a comment with LF": b": waiting\n",
    "a comment of returns": b":\r\r\r\r\r\n",
    "an empty comment with CRLF": b":\r\n",
    "a blank line with CRLF": b"\r\n",
    "a blank line with LF": b"\n",
}
EVENT_START = b"data: cu"
N_FEW_LINES = 16
N_MEASURES = 20
# Bytes that the lines of a stream are made of, in any order.
PIECES = st.sampled_from([b":", b"\r", b"\n", b"\r\n", b" ", b"a"])


def measure(pending: bytes) -> float:
    """Return the shortest of some times in s that it takes to look at what is left."""
    times_s = []
    for _ in range(N_MEASURES):
        started_s = time.perf_counter()
        assert is_inside_event(EventBuffer(bytearray(pending)))
        times_s.append(time.perf_counter() - started_s)
    return min(times_s)


def is_unfinished(pending: bytes) -> bool:
    """Tell line by line whether what is left of a stream begins an event."""
    *lines, rest = pending.split(b"\n")
    return bool(rest) or not all(
        line in (b"", b"\r") or line.startswith(b":") for line in lines
    )


@when("what is left of a stream is {n:d} lines of {line} and the beginning of an event")
def leave_lines(context, n, line):
    context.few_s = measure(LINES[line] * N_FEW_LINES + EVENT_START)
    context.many_s = measure(LINES[line] * n + EVENT_START)


@then(
    "it counts as inside an event, at less than {n:d} times the cost of 16 such lines"
)
def check_cost(context, n):
    assert context.many_s < n * context.few_s, (context.few_s, context.many_s)


@when("any bytes of comments, line ends and others are what is left of a stream")
def leave_any(context):
    context.n_seen = 0

    # Few pieces, so that no bytes take long whatever the parser.
    @settings(derandomize=True, deadline=None, database=None, max_examples=500)
    @any_of(st.lists(PIECES, max_size=12))
    def check(pieces):
        context.n_seen += 1
        pending = b"".join(pieces)
        found = is_inside_event(EventBuffer(bytearray(pending)))
        assert found is is_unfinished(pending), pending

    check()


@then("they count as inside an event unless each line is blank or a comment, and ended")
def check_seen(context):
    assert context.n_seen >= 500, context.n_seen
