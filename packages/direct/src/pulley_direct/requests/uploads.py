"""Bodies of callers' requests: read within the memory that the process has for them."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from pulley_base import Reason, interruptible, log_event, time_limit
from pulley_http import Request, RequestRefused, find_header
from pulley_policy.holdings import (
    Holder,
    record_received,
    release,
    reserve,
    reserve_answer,
)

from ..state.models import Call
from ..state.routers import Router

logger = logging.getLogger(__name__)

# A body without a length reserves room in steps of this size.
STEP_BYTES = 64 * 1024
# What one line of a head, and one part of a prompt, take as objects.
LINE_BYTES = 320
PART_BYTES = 200
# Heads that take no more than this have room beside their connection.
SMALL_HEAD_BYTES = 16 * 1024
# Room for a body comes as others are sent on or refused.
RETRY_AFTER_MS = 500


@dataclass(slots=True, eq=False)
class Upload(Holder):
    """A request's reservation, its body as far as it has come, and how to interrupt it.

    ``n_head`` are the bytes of the reservation that are for its head. ``tail`` joins
    the last small pieces. ``has_yielded`` is set once another body needs the room of
    this one.
    """

    has_yielded: bool = False
    n_head: int = 0
    interrupt: Callable[[], None] = lambda: None
    pieces: list[bytes] = field(default_factory=list)
    tail: bytearray = field(default_factory=bytearray)


async def receive_body(
    router: Router, request: Request, call: Call, upload: Upload, timeout_ms: int
) -> bytes:
    """Return a request's whole body.

    The room for its head stays reserved beside that for the body. Raises RequestRefused
    with 503 if there is no room for either, or if the body has stalled and another one
    needs its room, and with 408 if it is not whole within ``timeout_ms``.
    """
    upload.n_head = measure_head(request, call)
    reserve_room(router, upload, upload.n_head + announced_bytes(request))
    try:
        async with time_limit(timeout_ms), interruptible() as upload.interrupt:
            async for piece in request.body:
                keep_piece(router, upload, piece)
    except TimeoutError as error:
        raise interrupted_refusal(upload) from error
    upload.is_incoming = False
    upload.pieces.append(bytes(upload.tail))
    body = b"".join(upload.pieces)
    upload.pieces.clear()
    upload.tail.clear()
    return body


def measure_head(request: Request, call: Call) -> int:
    """Return what a large head takes as objects, in bytes; 0 for any other."""
    n_bytes = len(request.headers) * LINE_BYTES + len(call.parts) * PART_BYTES
    return n_bytes if n_bytes > SMALL_HEAD_BYTES else 0


def announced_bytes(request: Request) -> int:
    """Return the length that a request's head announces for its body, 0 for none."""
    length = find_header(request.headers, b"content-length")
    return 0 if length is None else int(length)


def keep_piece(router: Router, upload: Upload, piece: bytes) -> None:
    """Keep a piece of a body; small pieces are joined, as each has an overhead.

    Raises RequestRefused if there is no room for it.
    """
    lacking = upload.n_head + upload.n_received + len(piece) - upload.n_bytes
    if lacking > 0:
        reserve_room(router, upload, max(lacking, STEP_BYTES))
    record_received(upload, len(piece), router.clock.now_ms())
    upload.tail += piece
    if len(upload.tail) >= STEP_BYTES:
        upload.pieces.append(bytes(upload.tail))
        upload.tail.clear()


def reserve_room(router: Router, upload: Upload, n_bytes: int) -> None:
    """Reserve room for a body; raises RequestRefused if there is none."""
    if not n_bytes:
        return
    yielding = reserve(router.account, upload, n_bytes, router.clock.now_ms())
    if yielding is None:
        raise no_room(f"no room for {n_bytes} more bytes of the request")
    interrupt_all(router, yielding)


def interrupt_all(router: Router, uploads: list[Upload]) -> None:
    """Interrupt the bodies that yield their room to another one."""
    for one in uploads:
        router.counters.yielded += 1
        log_event(logger, "body_yields", n_received=one.n_received)
        one.has_yielded = True
        one.interrupt()


def interrupted_refusal(upload: Upload) -> RequestRefused:
    """Return the refusal of a body that had to yield its room, or took too long."""
    if upload.has_yielded:
        return no_room("the body stalled while others needed its room")
    detail = "the body was not whole when its caller's time was over"
    return RequestRefused(408, Reason.BODY_TOO_SLOW, detail, step="body")


def no_room(detail: str) -> RequestRefused:
    """Return the refusal of a request that has not run, for lack of memory."""
    return RequestRefused(
        503, Reason.NO_MEMORY, detail, retry_after_ms=RETRY_AFTER_MS, step="body"
    )


def hold_answer(router: Router, holder: Holder, n_bytes: int) -> bool:
    """Reserve room for more of an answer; return False if there is none."""
    yielding = reserve_answer(router.account, holder, n_bytes, router.clock.now_ms())
    if yielding is None:
        return False
    interrupt_all(router, yielding)
    return True


def release_upload(router: Router, upload: Upload) -> None:
    """Give back the room of a request that has ended."""
    upload.pieces.clear()
    release(router.account, upload)
