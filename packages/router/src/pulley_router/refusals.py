"""The refusals that a caller gets when no attempt gave an answer."""

from pulley_base import Outcome, PulleyError, Reason
from pulley_http import RequestRefused
from pulley_wire.messages import Failed, Refused

from .models import Call
from .streams import Lost

KEY_REASONS = frozenset({Reason.KEY_IN_FLIGHT, Reason.KEY_SPENT})


def build_refusal(
    call: Call, event: Refused | Failed | Lost, peer: str
) -> RequestRefused:
    """Build the refusal for the caller from the end of an attempt."""
    if isinstance(event, Refused):
        return RequestRefused(
            event.status or 503,
            event.reason,
            event.detail or "the endpoint did not take the request",
            retry_after_ms=event.retry_after_ms or 1_000,
            step=event.step or "admission",
            peer=peer,
        )
    if isinstance(event, Failed):
        return RequestRefused(
            409 if event.reason in KEY_REASONS else 502,
            event.reason,
            event.detail or "the endpoint gave no answer",
            outcome=Outcome(event.outcome),
            step=event.step or "engine",
            peer=peer,
        )
    return RequestRefused(
        502,
        Reason.CONNECTION_LOST,
        f"the connection to the endpoint ended: {event.reason}",
        outcome=Outcome.UNKNOWN,
        step="answer",
        peer=peer,
    )


def no_endpoint_refusal(call: Call) -> RequestRefused:
    """Build the refusal when no endpoint of the service can be tried."""
    return RequestRefused(
        503,
        Reason.NO_ENDPOINT,
        f"no endpoint of {call.service} can take the request",
        retry_after_ms=1_000,
        step="placement",
    )


def unreachable_refusal(error: PulleyError) -> RequestRefused:
    """Build the refusal when no connection to an agent opened; nothing was sent."""
    return RequestRefused(
        503,
        Reason.ENGINE_UNREACHABLE,
        str(error),
        retry_after_ms=1_000,
        step="connect",
        peer=error.peer,
    )
