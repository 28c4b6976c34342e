"""Bodies of answers that are passed on whole."""

from pulley_base import ConnectionLost, PulleyError

from ..state.jobs import Job
from ..transport.exchanges import (
    MAX_BODY_BYTES,
    Exchange,
    attempt_failure,
    is_framed,
    read_chunk,
)
from .answer_ends import confirm_end
from .deliveries import SMALL_BYTES
from .uploads import hold_answer


async def read_whole_body(exchange: Exchange, job: Job) -> bytes:
    """Read an answer's body to its end, and check that it is whole.

    Raises the errors of ``read_body``, and AttemptFailed if ``confirm_end`` fails.
    """
    body = await read_body(exchange, job)
    if not is_framed(exchange, job):
        try:
            await confirm_end(exchange, job)
        except PulleyError as error:
            raise attempt_failure(exchange, error) from error
    return body


async def read_body(exchange: Exchange, job: Job) -> bytes:
    """Read an answer's body to the end of its framing, or of its connection.

    Raises AttemptFailed if the body is cut, late or larger than ``MAX_BODY_BYTES``, or
    if there is no room to hold it.
    """
    chunks = []
    n_bytes = n_held = 0
    try:
        while not exchange.finished:
            chunk = await read_chunk(exchange, job)
            if chunk is not None:
                chunks.append(chunk)
                n_bytes += len(chunk)
            if n_bytes - n_held > SMALL_BYTES:
                if not hold_answer(exchange.router, job.holder, n_bytes - n_held):
                    raise ConnectionLost("no room for the answer", step="body")
                n_held = n_bytes
            if n_bytes > MAX_BODY_BYTES:
                raise ConnectionLost("the answer is too large", step="body")
    except PulleyError as error:
        raise attempt_failure(exchange, error) from error
    return b"".join(chunks)
