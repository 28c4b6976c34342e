"""Answers that can't be passed on, first of all rejections of the request."""

from pulley_base import Reason

from ..state.jobs import AttemptFailed, Job
from ..transport.exchanges import Exchange
from .bodies import read_body

MISDIRECTED_STATUS = 421
FIRST_ERROR_STATUS = 400


async def check_answer(exchange: Exchange, job: Job) -> None:
    """Raise AttemptFailed for an answer that can't be passed on.

    That is a rejection of the request, a body with a content encoding, or an answer
    that is no error and has no signature, as no endpoint vouches for it.
    """
    if exchange.metadata.not_run or exchange.status == MISDIRECTED_STATUS:
        await raise_rejection(exchange, job)
    if exchange.metadata.encoded:
        text = "an encoded body"
        raise AttemptFailed(Reason.ENGINE_ERROR, text, exchange.endpoint)
    if exchange.status < FIRST_ERROR_STATUS and not exchange.metadata.signed:
        text = f"status {exchange.status} without a signature"
        raise AttemptFailed(Reason.ENGINE_ERROR, text, exchange.endpoint)


async def raise_rejection(exchange: Exchange, job: Job) -> None:
    """Raise AttemptFailed for a request that the endpoint did not run.

    Reads the answer to its end first. Its text is not passed on, so that a part of it
    will do.
    """
    await read_body(exchange, job)
    reason = Reason.ENDPOINT_BUSY
    if exchange.status == MISDIRECTED_STATUS:
        reason = Reason.WRONG_ENDPOINT
    raise AttemptFailed(
        reason, f"status {exchange.status}", exchange.endpoint, may_have_run=False
    )
