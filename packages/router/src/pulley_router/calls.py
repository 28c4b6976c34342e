"""Build a Call from an HTTP request: service, team, chat, priority, idempotence."""

import json
from collections.abc import AsyncIterator
from hashlib import blake2b

from pulley_base import Clock, Reason
from pulley_http import Request, RequestRefused, drop_hop_by_hop_headers, find_header
from pulley_policy.placement import digest_chat
from pulley_rules import Rules, ServiceRule, find_call, find_team, is_held

from .models import Call

BUFFERED_BODY_BYTES = 256 * 1024
BYTES_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 256
COMPLETIONS_SUFFIX = "/chat/completions"
WINDOW_HEADER = b"pulley-window"
MAX_WINDOW_DIGITS = 12
HOLD_RETRY_AFTER_MS = 60_000
FENCING_HEADER = b"fencing-number"
NOT_FORWARDED_HEADERS = frozenset(
    {
        b"authorization",
        b"pulley-team",
        b"pulley-chat",
        WINDOW_HEADER,
        FENCING_HEADER,
        b"host",
    }
)


async def read_call(request: Request, rules: Rules, clock: Clock) -> Call:
    """Build the call of a request according to the rules.

    Raises RequestRefused with 404 for an unknown service, 401 or 403 for a missing or
    bad token, 503 for a service or team on hold.
    """
    service, target = find_service(request.target, rules)
    team = identify_team(request, rules)
    check_hold(rules, service.name, team)
    path = target.partition("?")[0]
    call_rule = find_call(rules, service.name, request.method, path)
    key = find_header(request.headers, b"idempotency-key")
    body_start, body_rest = await read_body_start(request.body, whole=key is not None)
    deadline_ms = clock.deadline_ms(service.deadline_ms)
    document = parse_document(path, body_start, body_rest)
    return Call(
        service=service.name,
        team=team,
        method=request.method,
        target=target,
        headers=forwarded_headers(request),
        chat=identify_chat(service.name, request, document, body_start),
        priority=int(call_rule.priority),
        deadline_ms=deadline_ms,
        idempotent=call_rule.idempotent,
        key=digest_key(team, service.name, key) if key is not None else None,
        body_digest=blake2b(body_start, digest_size=16).digest() if key else None,
        body_start=body_start,
        body_rest=body_rest,
        work=estimate_work(service, document, body_start),
        key_window=parse_key_window(request),
    )


def check_hold(rules: Rules, service: str, team: str) -> None:
    """Raise RequestRefused with 503 if a rule holds the service or the team."""
    if is_held(rules, service, team):
        raise RequestRefused(
            503,
            Reason.HELD,
            f"the operators hold {service} or the team",
            retry_after_ms=HOLD_RETRY_AFTER_MS,
            step="rules",
        )


def parse_key_window(request: Request) -> int:
    """Return the claim window in which the caller first sent its key.

    Returns 0 if the header is absent or not a number of at most ``MAX_WINDOW_DIGITS``
    digits.
    """
    value = find_header(request.headers, WINDOW_HEADER) or b""
    return int(value) if value.isdigit() and len(value) <= MAX_WINDOW_DIGITS else 0


def find_service(target: str, rules: Rules) -> tuple[ServiceRule, str]:
    """Return the service that a target names, and the target without that name.

    Raises RequestRefused with 404 for an unknown service.
    """
    name, slash, rest = target.lstrip("/").partition("/")
    name, mark, query = name.partition("?")
    service = rules.services.get(name)
    if service is None:
        raise RequestRefused(
            404, Reason.UNKNOWN_SERVICE, f"there is no service {name!r}", step="rules"
        )
    return service, "/" + rest + (mark + query if mark and not slash else "")


def identify_team(request: Request, rules: Rules) -> str:
    """Return the caller's team by its token, or by its name if no token is set.

    Raises RequestRefused with 403 for an unknown token and 401 for a missing one.
    """
    authorization = find_header(request.headers, b"authorization") or b""
    scheme, _, token = authorization.partition(b" ")
    has_tokens = bool(rules.tokens)
    if scheme.lower() == b"bearer" and has_tokens:
        team = find_team(rules, token.strip().decode("latin-1"))
        if not team:
            raise RequestRefused(
                403, Reason.BAD_TOKEN, "no team has this token", step="rules"
            )
        return team.name
    name = (find_header(request.headers, b"pulley-team") or b"").decode("latin-1")
    named = rules.teams.get(name)
    if named is not None and not named.token_sha256:
        return named.name
    if has_tokens:
        raise RequestRefused(
            401, Reason.NO_TOKEN, "a bearer token is required", step="rules"
        )
    return name


async def read_body_start(
    body: AsyncIterator[bytes], *, whole: bool
) -> tuple[bytes, AsyncIterator[bytes] | None]:
    """Read the start of a body; the rest is None if the body ended.

    Reads at least ``BUFFERED_BODY_BYTES`` of a longer body, or all of it if ``whole``.
    """
    chunks = []
    n_bytes = 0
    async for chunk in body:
        chunks.append(chunk)
        n_bytes += len(chunk)
        if n_bytes >= BUFFERED_BODY_BYTES and not whole:
            return b"".join(chunks), body
    return b"".join(chunks), None


def forwarded_headers(request: Request):
    """Return the headers that are forwarded to the endpoint."""
    return [
        (name, value)
        for name, value in drop_hop_by_hop_headers(request.headers)
        if name.lower() not in NOT_FORWARDED_HEADERS
        and name.lower() != b"content-length"
    ]


def parse_document(
    path: str, body_start: bytes, body_rest: AsyncIterator | None
) -> dict:
    """Return a completion request's JSON object, or an empty dict if there is none."""
    if body_rest is not None or not path.endswith(COMPLETIONS_SUFFIX):
        return {}
    try:
        document = json.loads(body_start)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def identify_chat(
    service: str, request: Request, document: dict, body_start: bytes
) -> bytes:
    """Return the chat's digest.

    It is taken from the caller's name for the chat, else from the messages up to the
    first user's, else from the start of the body or the target.
    """
    named = find_header(request.headers, b"pulley-chat")
    if named is not None:
        return digest_chat(service, named)
    messages = document.get("messages")
    if isinstance(messages, list) and messages:
        return digest_chat(service, json.dumps(opening_messages(messages)))
    return digest_chat(service, body_start or request.target)


def opening_messages(messages: list) -> list:
    """Return the messages up to the first user's, which a returning chat repeats."""
    for position, message in enumerate(messages):
        if isinstance(message, dict) and message.get("role") == "user":
            return messages[: position + 1]
    return messages


def estimate_work(service: ServiceRule, document: dict, body_start: bytes) -> int:
    """Estimate a model request's work in tokens; return 1 for a plain service."""
    if service.kind != "model":
        return 1
    requested_tokens = document.get("max_completion_tokens") or document.get(
        "max_tokens"
    )
    answer_tokens = (
        requested_tokens
        if isinstance(requested_tokens, int) and requested_tokens > 0
        else DEFAULT_ANSWER_TOKENS
    )
    return len(body_start) // BYTES_PER_TOKEN + answer_tokens


def digest_key(team: str, service: str, key: bytes) -> bytes:
    """Return the 16-byte digest under which an Idempotency-Key is claimed."""
    return blake2b(
        b"\0".join((team.encode(), service.encode(), key)), digest_size=16
    ).digest()
