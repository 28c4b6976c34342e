"""Parsers for the values in a rules file.

Each parser takes a word and returns its value, or raises ValueError whose message
describes the values that are allowed.
"""

import math
import re
from ipaddress import ip_address

from .models import Priority

UNITS_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000}
DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
SHA256 = re.compile(r"[0-9a-f]{64}")
CHAT_DIGEST = re.compile(r"[0-9a-f]{32}")
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*")
KINDS = ("model", "plain")
FLAGS = {"yes": True, "no": False}
MAX_DURATION_MS = 24 * UNITS_MS["h"]
MAX_COUNT = 1_000_000


def parse_name(text: str) -> str:
    """Parse the name of a service, team or data centre."""
    if not NAME.fullmatch(text):
        raise ValueError("a name of letters, digits, '.', '_' or '-', 64 at most")
    return text


def parse_duration(text: str) -> int:
    """Parse a duration such as ``500ms`` or ``1.5m`` and return whole milliseconds."""
    match = DURATION.fullmatch(text)
    value = round(float(match[1]) * UNITS_MS[match[2]]) if match else 0
    if not 0 < value <= MAX_DURATION_MS:
        raise ValueError("a duration with its unit (ms, s, m, h), 24h at most")
    return value


def parse_number(text: str) -> float:
    """Parse a finite number; return NaN, which fails every range check, otherwise."""
    try:
        value = float(text)
    except ValueError:
        return math.nan
    return value if math.isfinite(value) else math.nan


def parse_multiple(text: str) -> float:
    """Parse a multiple of the mean load, from 1 to 100."""
    value = parse_number(text)
    if not 1.0 <= value <= 100.0:
        raise ValueError("a number from 1 to 100")
    return value


def parse_weight(text: str) -> float:
    """Parse a team's weight, from 0.001 to 1000."""
    value = parse_number(text)
    if not 0.001 <= value <= 1_000.0:
        raise ValueError("a number from 0.001 to 1000")
    return value


def parse_share(text: str) -> float:
    """Parse a share of the whole, from 0 to 1."""
    value = parse_number(text)
    if not 0.0 <= value <= 1.0:
        raise ValueError("a number from 0 to 1")
    return value


def parse_count(text: str) -> int:
    """Parse a count from 0 to ``MAX_COUNT``; 0 means no limit."""
    value = int(text) if text.isascii() and text.isdigit() else -1
    if not 0 <= value <= MAX_COUNT:
        raise ValueError(f"a whole number from 0 to {MAX_COUNT}")
    return value


def parse_flag(text: str) -> bool:
    """Parse ``yes`` or ``no`` as a boolean."""
    return parse_choice(text, FLAGS)


def parse_kind(text: str) -> str:
    """Parse a service's kind, ``model`` or ``plain``."""
    return parse_choice(text, {kind: kind for kind in KINDS})


def parse_method(text: str) -> str:
    """Parse an HTTP method; ``*`` stands for all methods."""
    return parse_choice(text, {method: method for method in METHODS})


def parse_priority(text: str) -> Priority:
    """Parse the lower-case name of a priority class."""
    return parse_choice(text, {p.name.lower(): p for p in Priority})


def parse_choice(text: str, choices: dict):
    """Return the value of ``text`` in ``choices``; the error lists the choices."""
    if text not in choices:
        raise ValueError(f"one of {', '.join(choices)}")
    return choices[text]


def parse_path(text: str) -> str:
    """Parse a path prefix, which starts with ``/``."""
    if not text.startswith("/"):
        raise ValueError("a path that starts with /")
    return text


def parse_sha256(text: str) -> str:
    """Parse the SHA-256 of a token: 64 lower-case hexadecimal digits."""
    if not SHA256.fullmatch(text):
        raise ValueError("64 lower-case hexadecimal digits (the token's SHA-256)")
    return text


def parse_chat(text: str) -> str:
    """Parse the digest of a chat: 32 lower-case hexadecimal digits."""
    if not CHAT_DIGEST.fullmatch(text):
        raise ValueError("32 lower-case hexadecimal digits (the chat's digest)")
    return text


def parse_endpoint(text: str) -> str:
    """Parse an endpoint as ``IP:port`` with a port from 1 to 65535."""
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        port = ""
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        raise ValueError("an endpoint as IP:port")
    return text
