"""The bytes of an attempt's request."""

import h11

from pulley_http import Headers

from ..endpoints.placing import Target
from ..state.jobs import Job
from ..state.models import AttemptParameters
from ..state.routers import Router


def build_request_headers(
    router: Router,
    job: Job,
    target: Target,
    left_ms: int,
    last_event_id: int | None,
) -> Headers:
    """Build the headers of one attempt, with the content length of its body."""
    parameters = AttemptParameters(
        endpoint=target.endpoint.name,
        left_ms=left_ms,
        team=None if job.team is None else job.team.name,
        last_event_id=last_event_id,
        context_source=target.context_source,
    )
    headers = router.header_codec.attempt_headers(job.call, parameters)
    headers = [pair for pair in headers if pair[0] != b"content-length"]
    if job.body or job.call.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", b"%d" % len(job.body)))
    return headers


def encode_request(parser: h11.Connection, request: h11.Request, body: bytes) -> bytes:
    """Return a whole request as bytes."""
    data = [parser.send(request)]
    if body:
        data.append(parser.send(h11.Data(data=body)))
    data.append(parser.send(h11.EndOfMessage()))
    return b"".join(data)
