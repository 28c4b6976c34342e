"""An instance list stand-in: Prometheus HTTP service discovery.

The admin listener controls it. The body of ``POST /list`` is the whole list in
the format of the service. That of ``POST /views`` is ``{"reader IP": {"lag_ms":
500, "hide": ["IP:PORT"], "list": [...]}}``: that reader sees the list with a lag,
without the hidden targets, or another list in its place.
"""

import asyncio
import json
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from urllib.parse import parse_qs, urlsplit

from pulley_http import (
    Request,
    Response,
    Server,
    close_server,
    find_header,
    read_all,
    start_server,
)

MAX_VERSIONS = 64
JSON_TYPE = (b"content-type", b"application/json")


@dataclass(slots=True)
class View:
    """How one reader sees the list: lag, hidden targets, or replacement ``groups``."""

    lag_ms: int = 0
    hide: frozenset[str] = frozenset()
    groups: list | None = None


@dataclass(slots=True)
class Version:
    """The list that was set at ``set_ms`` on the monotonic clock."""

    set_ms: float
    groups: list


@dataclass(slots=True)
class ListStandin:
    """A running stand-in; ``versions`` are sorted from oldest to newest."""

    versions: list[Version] = field(default_factory=lambda: [Version(0, [])])
    views: dict[str, View] = field(default_factory=dict)
    calls: Counter = field(default_factory=Counter)
    server: Server | None = None
    admin: Server | None = None


async def start_list(host: str, port: int = 0, admin_port: int = 0) -> ListStandin:
    """Start a stand-in; port 0 takes any free port."""
    standin = ListStandin()
    standin.server = await start_server(
        lambda request: handle_list_request(standin, request), host, port
    )
    standin.admin = await start_server(
        lambda request: handle_admin_request(standin, request), host, admin_port
    )
    return standin


async def serve_list(host: str, port: int, admin_port: int = 0) -> None:
    """Run a stand-in until cancelled, after printing its addresses."""
    standin = await start_list(host, port, admin_port)
    print(
        f"event=listening address={standin.server.address} "
        f"admin={standin.admin.address}",
        flush=True,
    )
    await asyncio.Event().wait()


def stop_list(standin: ListStandin) -> None:
    """Close both listeners and abort their connections."""
    for server in (standin.server, standin.admin):
        close_server(server)


def set_groups(standin: ListStandin, groups: list) -> None:
    """Set the list; readers with a lag see it later."""
    standin.versions.append(Version(now_ms(), groups))
    del standin.versions[:-MAX_VERSIONS]


def now_ms() -> float:
    """Return the time of the machine's monotonic clock in milliseconds."""
    return time.monotonic() * 1_000


def groups_for(standin: ListStandin, reader: str, data_centre: str) -> list:
    """Return the groups that one reader, an IP address, sees now.

    An empty ``data_centre`` selects all groups.
    """
    view = standin.views.get(reader, View())
    if view.groups is not None:
        groups = view.groups
    else:
        groups = groups_at(standin.versions, now_ms() - view.lag_ms)
    return list(visible_groups(groups, view.hide, data_centre))


def groups_at(versions: list[Version], at_ms: float) -> list:
    """Return the newest list that was set by ``at_ms``, or else the oldest one."""
    known = [version for version in versions if version.set_ms <= at_ms]
    return (known[-1] if known else versions[0]).groups


def visible_groups(
    groups: list, hide: frozenset[str], data_centre: str
) -> Iterator[dict]:
    """Yield the groups of a data centre, without hidden targets and empty groups."""
    for group in groups:
        labels = group.get("labels", {})
        if data_centre and labels.get("data_centre") != data_centre:
            continue
        targets = [target for target in group["targets"] if target not in hide]
        if targets:
            yield {"targets": targets, "labels": labels}


async def handle_list_request(standin: ListStandin, request: Request) -> Response:
    """Answer with the list, or with 304 if the reader's ETag is current."""
    standin.calls["reads"] += 1
    query = parse_qs(urlsplit(request.target).query)
    data_centre = query.get("data_centre", [""])[0]
    reader = request.peer.rpartition(":")[0]
    body = json.dumps(groups_for(standin, reader, data_centre)).encode()
    etag = b'"%s"' % blake2b(body, digest_size=8).hexdigest().encode()
    if find_header(request.headers, b"if-none-match") == etag:
        standin.calls["unchanged"] += 1
        return Response(304, [(b"etag", etag)])
    return Response(200, [JSON_TYPE, (b"etag", etag)], body)


async def handle_admin_request(standin: ListStandin, request: Request) -> Response:
    """Answer a request to the admin listener."""
    document = json.loads(await read_all(request.body) or b"null")
    if request.path == "/list" and isinstance(document, list):
        set_groups(standin, document)
    elif request.path == "/views" and isinstance(document, dict):
        standin.views = {
            reader: View(
                view.get("lag_ms", 0),
                frozenset(view.get("hide", ())),
                view.get("list"),
            )
            for reader, view in document.items()
        }
    elif request.path != "/calls":
        return Response(404, [JSON_TYPE], b"{}")
    return Response(200, [JSON_TYPE], json.dumps(dict(standin.calls)).encode())
