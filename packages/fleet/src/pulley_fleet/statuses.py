"""The status page of a process, requested over its peer port."""

import asyncio
import json
from collections.abc import Callable

from pulley_base import (
    UNAVAILABLE,
    Clock,
    PulleyError,
    Sentinel,
    time_limit,
)
from pulley_wire import Frame, FrameStamp, PeerConnection, connect_peer
from pulley_wire.messages import Status, StatusAsk

STATUS_TIMEOUT_MS = 1_500


def answer_status(
    describe: Callable[[], dict], frame: Frame, reply: Callable[[Frame], bool]
) -> None:
    """Reply with the status page if the frame requests it."""
    if frame.status_ask is not None:
        document = json.dumps(describe())
        reply(Frame(status=Status(frame.status_ask.sequence, document)))


async def ask_status(peer: str, clock: Clock, fleet: int) -> dict | Sentinel:
    """Request a process's status page; return UNAVAILABLE if none arrives in time."""
    answer = asyncio.get_running_loop().create_future()

    def on_frame(connection: PeerConnection, frame: Frame) -> None:
        if frame.status is not None and not answer.done():
            answer.set_result(json.loads(frame.status.document))

    def on_closed(connection: PeerConnection, reason: str) -> None:
        if not answer.done():
            answer.set_result(UNAVAILABLE.because(reason))

    def make_connection() -> PeerConnection:
        stamp = FrameStamp(fleet=fleet)
        return PeerConnection(on_frame, on_closed, stamp=stamp, clock=clock, peer=peer)

    try:
        connection = await connect_peer(peer, make_connection)
    except PulleyError as error:
        return UNAVAILABLE.because(str(error))
    connection.send(Frame(status_ask=StatusAsk(sequence=1)))
    try:
        async with time_limit(STATUS_TIMEOUT_MS):
            return await answer
    except TimeoutError:
        return UNAVAILABLE.because("no answer in time")
    finally:
        connection.close("answered")
