"""Server-sent events: splits a stream into whole events and reads their ids."""

import re
from dataclasses import dataclass, field

from pulley_base import ProtocolError

MAX_EVENT_END_BYTES = len(b"\r\n\r\n")
# Hundreds of times the size of an event with some tokens.
MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = re.compile(rb"\r?\n\r?\n")
# Each line matches in one way alone, so that a line that does not ends the search.
BLANK_OR_COMMENT_LINES = re.compile(rb"(?::[^\n]*\n|\r?\n)*")
STATUS_LINE_START = b"HTTP/1."
EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
# As many as an unsigned integer of 64 bits has.
MAX_ID_DIGITS = 20


@dataclass(slots=True)
class EventBuffer:
    """Bytes of one streamed answer that don't yet make a whole event.

    ``last_id`` is the id of the last whole event of the stream, None before one;
    ``has_events`` says whether this answer brought one.
    """

    pending: bytearray = field(default_factory=bytearray)
    last_id: int | None = None
    has_events: bool = False


def take_events(buffer: EventBuffer, data: bytes) -> bytes:
    """Append bytes and return all whole events, empty if there are none.

    Raises ProtocolError if over ``MAX_EVENT_BYTES`` are pending and make no event, if
    another answer begins in place of an event, or if an id has over ``MAX_ID_DIGITS``
    digits.

    >>> buffer = EventBuffer()
    >>> take_events(buffer, b"id: 1\\n\\nid: 2")
    b'id: 1\\n\\n'
    >>> buffer.last_id, bytes(buffer.pending)
    (1, b'id: 2')
    """
    if len(buffer.pending) > MAX_EVENT_BYTES:
        raise ProtocolError("an event is too large", step="body")
    pending = buffer.pending
    # What was pending holds no end; one may begin in it.
    start = max(0, len(pending) - MAX_EVENT_END_BYTES + 1)
    pending += data
    end = 0
    for match in EVENT_END.finditer(pending, start):
        if pending.startswith(STATUS_LINE_START, end):
            break
        end = match.end()
    if not end and pending.startswith(STATUS_LINE_START):
        raise ProtocolError("another answer begins inside the stream", step="body")
    whole = bytes(pending[:end])
    del pending[:end]
    ids = EVENT_ID.findall(whole)
    if any(len(one) > MAX_ID_DIGITS for one in ids):
        raise ProtocolError("an event's id is too long", step="body")
    buffer.has_events = buffer.has_events or bool(whole)
    if ids:
        buffer.last_id = int(ids[-1])
    return whole


def is_inside_event(buffer: EventBuffer) -> bool:
    """Check whether the pending bytes begin an event.

    Whole comment lines and blank lines belong to none.

    >>> [is_inside_event(EventBuffer(rest)) for rest in (b"id: 2", b": end\\n")]
    [True, False]
    """
    return BLANK_OR_COMMENT_LINES.fullmatch(buffer.pending) is None


def take_rest(buffer: EventBuffer) -> bytes:
    """Return the pending bytes, and leave none."""
    rest = bytes(buffer.pending)
    buffer.pending.clear()
    return rest
