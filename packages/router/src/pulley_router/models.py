"""A caller's request as the router processes it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from pulley_http import Headers, RequestRefused
from pulley_policy.routes import Route


@dataclass(slots=True)
class Call:
    """A request with its service, its team and the settings from the rules.

    ``body_start`` is the start of the body, or all of it if ``body_rest`` is None.
    ``deadline_ms`` is a time of the router's clock. ``work`` is in tokens for a model
    service, 1 for a plain one. ``key_window`` is the claim window that the caller
    named, 0 if none. ``route`` and the fields from ``window`` on hold the state of its
    attempts so far.
    """

    service: str
    team: str
    method: str
    target: str
    headers: Headers
    chat: bytes
    priority: int
    deadline_ms: int
    idempotent: bool
    key: bytes | None = None
    body_digest: bytes | None = None
    body_start: bytes = b""
    body_rest: AsyncIterator[bytes] | None = None
    work: int = 1
    route: Route = field(default_factory=Route)
    key_window: int = 0
    window: int = 0
    n_attempts: int = 0
    n_crashes: int = 0
    may_have_run: bool = False
    n_retries: int = 0
    refusal: RequestRefused | None = None
