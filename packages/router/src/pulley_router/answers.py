"""The response to the caller, streamed from an attempt and visibly cut if it fails."""

import logging
from collections.abc import AsyncIterator
from functools import partial

from pulley_base import PulleyError, Reason, log_event
from pulley_http import Response
from pulley_wire.messages import Head

from .calls import WINDOW_HEADER
from .dispatchers import Dispatcher, close_attempt
from .models import Call
from .recovery import resume_attempt
from .streams import AttemptStream, acknowledge, cancel, read_answer

logger = logging.getLogger(__name__)


def build_response(
    dispatcher: Dispatcher, call: Call, stream: AttemptStream, head: Head
) -> Response:
    """Build the caller's response; its body streams from the attempt."""
    headers = [(header.name, header.value) for header in head.headers or ()]
    if call.window:
        headers.append((WINDOW_HEADER, b"%d" % call.window))
    return Response(head.status, headers, relay_answer(dispatcher, call, stream, head))


async def relay_answer(
    dispatcher: Dispatcher, call: Call, stream: AttemptStream, head: Head
) -> AsyncIterator[bytes]:
    """Yield the answer's body, then acknowledge the attempt to the agent.

    If the answer stays incomplete, the attempt is cancelled, and an event stream ends
    with an error event before the error is raised.
    """
    complete = False
    try:
        recovery_context = dispatcher.recovery_context
        resume = partial(resume_attempt, recovery_context, stream)
        async for chunk in read_answer(stream, head, resume):
            yield chunk
        complete = True
    except PulleyError as error:
        log_event(
            logger,
            "answer_incomplete",
            step=error.step,
            peer=error.peer,
            error=str(error),
        )
        if is_event_stream(head):
            yield error_event(error)
        raise
    finally:
        if complete:
            acknowledge(stream)
        else:
            cancel(stream, Reason.CALLER_GONE)
        close_attempt(dispatcher, call, stream)


def is_event_stream(head: Head) -> bool:
    """Check whether the answer is a stream of server-sent events."""
    return any(
        header.name.lower() == b"content-type"
        and header.value.startswith(b"text/event-stream")
        for header in head.headers or ()
    )


def error_event(error: PulleyError) -> bytes:
    """Build the server-sent event that marks a stream as incomplete."""
    reason = getattr(error, "reason", Reason.CONNECTION_LOST)
    return (
        b'\n\nevent: error\ndata: {"error": {"type": "partial", "reason": "%s"}}\n\n'
        % str(reason).encode()
    )
