"""Encoding and decoding of crash reports, for the store and for datagrams."""

import json
from dataclasses import replace

from pulley_base import ProtocolError
from pulley_policy.losses import Clearance, LostRequest, Suspect

from ..state.models import CrashReports

MAX_VALUE_BYTES = 768 * 1024
MAX_TEXT_LENGTH = 256
MAX_DEPTH = 1_000
MAX_PROBES = 1_000
MAX_AGE_MS = 10 * 86_400_000


def encode_reports(reports: CrashReports) -> bytes:
    """Encode one router's reports as JSON rows.

    ``held`` has a row for each of ``lost``; earlier versions of the router ignore it.
    """
    lost = [
        [one.crash, [[suspect.key, suspect.depth] for suspect in one.suspects]]
        for one in reports.lost
    ]
    held = [encode_held(one) for one in reports.lost]
    cleared = [[one.key, list(one.crashes)] for one in reports.cleared]
    return json.dumps({"lost": lost, "held": held, "cleared": cleared}).encode()


def encode_held(lost: LostRequest) -> list:
    """Encode what else is told of a lost request than its keys and their depths."""
    n_probes = [suspect.n_probes for suspect in lost.suspects]
    return [lost.age_ms, lost.team, n_probes, int(lost.parts_cleared)]


def decode_reports(reporter: str, value: bytes) -> CrashReports:
    """Decode one router's reports; raises ProtocolError if any row is invalid."""
    if len(value) > MAX_VALUE_BYTES:
        raise ProtocolError("crash reports are too large", step="decode")
    try:
        document = json.loads(value)
        lost = tuple(decode_lost(*row) for row in document["lost"])
        if "held" in document:
            pairs = zip(lost, document["held"], strict=True)
            lost = tuple(decode_held(one, *row) for one, row in pairs)
        cleared = tuple(decode_clearance(*row) for row in document["cleared"])
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise ProtocolError(f"invalid crash report: {error}", step="decode") from error
    return CrashReports(reporter, lost, cleared)


def decode_lost(crash: object, rows: object) -> LostRequest:
    """Decode one lost request, which has at least one key."""
    suspects = tuple(
        Suspect(read_text(key), read_number(n, 1, MAX_DEPTH)) for key, n in rows
    )
    if not suspects:
        raise ValueError("no keys")
    return LostRequest(read_text(crash), suspects)


def decode_held(
    lost: LostRequest,
    age: object,
    team: object,
    n_probes: object,
    parts_cleared: object = 0,
) -> LostRequest:
    """Return a lost request with what else is told of it."""
    pairs = zip(lost.suspects, n_probes, strict=True)
    suspects = tuple(
        replace(one, n_probes=read_number(n, 0, MAX_PROBES)) for one, n in pairs
    )
    age_ms = read_number(age, 0, MAX_AGE_MS)
    cleared = bool(read_number(parts_cleared, 0, 1))
    return LostRequest(lost.crash, suspects, read_text(team), age_ms, cleared)


def decode_clearance(key: object, crashes: object) -> Clearance:
    """Decode one cleared key."""
    return Clearance(read_text(key), tuple(read_text(crash) for crash in crashes))


def read_text(value: object) -> str:
    """Return a text of bounded length; raises ValueError for anything else."""
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise ValueError(f"not a short text: {value!r:.40}")
    return value


def read_number(value: object, least: int, most: int) -> int:
    """Return a whole number within bounds; raises ValueError for anything else."""
    if type(value) is not int or not least <= value <= most:
        raise ValueError(f"not a number from {least} to {most}: {value!r:.40}")
    return value
