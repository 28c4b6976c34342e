"""The end of an answer with neither a length nor chunks: its connection's end.

The connections of a process that crashes are closed in the same way as one whose
answer is complete. Such an answer counts as whole only if its endpoint lives on.
"""

import logging

from pulley_base import ConnectionLost, log_event, time_limit

from ..crashes.crash_probes import ProbeResult, probe_endpoint
from ..state.counters import COMPLETE, RESTARTED
from ..state.jobs import Job
from ..transport.exchanges import Exchange
from ..transport.rotation import time_left_ms
from ..transport.waits import AnswerTimeout

logger = logging.getLogger(__name__)

# A lost packet makes a sound endpoint look unreachable once.
MAX_PROBES = 2


async def confirm_end(exchange: Exchange, job: Job) -> None:
    """Check that the endpoint of an answer that ended with its connection lives on.

    Raises ConnectionLost, and marks the exchange as unfinished, if the endpoint accepts
    no connections or can't be reached, or may be another start of it than the one that
    answered, and AnswerTimeout if that is not known by the deadline.
    """
    exchange.finished = False
    result = await probe_before_deadline(exchange, job)
    is_whole = result is ProbeResult.UP and is_same_start(exchange, job)
    end = str(result)
    if result is ProbeResult.UP:
        end = COMPLETE if is_whole else RESTARTED
    exchange.router.counters.unframed_ends[end] += 1
    log_event(
        logger,
        "unframed_answer_ended",
        request=job.call.request_id,
        endpoint=exchange.endpoint.name,
        status=exchange.status,
        end=end,
    )
    if not is_whole:
        detail = f"closed without its end, and the endpoint is {end}"
        peer = exchange.channel.address
        raise ConnectionLost(detail, step="body", peer=peer)
    exchange.finished = True


def is_same_start(exchange: Exchange, job: Job) -> bool:
    """Check that the endpoint that accepts connections is the one that answered.

    If the router stood still while it waited, that can't be told: the endpoint may have
    ended and started again at its address before its new entry is known.
    """
    if job.has_paused:
        return False
    asked = exchange.endpoint
    listed = exchange.router.fleet_view.endpoints.get(asked.name)
    return listed is None or listed.started_ms == asked.started_ms


async def probe_before_deadline(exchange: Exchange, job: Job) -> ProbeResult:
    """Probe an endpoint, once more if it can't be reached.

    Raises AnswerTimeout at the job's deadline.
    """
    left_ms = max(0, time_left_ms(exchange.router, job))
    result = ProbeResult.UNREACHABLE
    try:
        async with time_limit(left_ms, 0):
            for _ in range(MAX_PROBES):
                result = await probe_endpoint(exchange.channel.address)
                if result is not ProbeResult.UNREACHABLE:
                    break
    except TimeoutError as error:
        raise AnswerTimeout(
            "the deadline has passed", step="body", before_deadline=False
        ) from error
    return result
