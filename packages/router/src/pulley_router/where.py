"""`plantainpulley where`: where a request would go now, as a running router tells."""

import asyncio
import sys
from collections.abc import Iterator
from json import dumps, loads
from urllib.parse import urlencode

from pulley_base import PulleyError
from pulley_http import Client, close_client, fetch

EXIT_NOT_SERVED = 1
OK_STATUS = 200
COLUMNS = ("name", "data_centre", "load", "age_ms", "source", "duration", "withheld")


def where(
    router: str, host: str, path: str, *, parts: str = "", json: bool = False
) -> int:
    """Print where a request would go now, and why, without sending it.

    Exit status 1 if the router does not answer, or would refuse the request.

    :param router: IP:PORT at which the router shows its metrics and status
    :param host: the host that the request names
    :param path: the request's path
    :param parts: a prompt's parts, as comma-separated DIGEST:TOKENS entries
    :param json: print the router's answer as it is
    """
    query = urlencode({"host": host, "path": path, "parts": parts})
    try:
        found = asyncio.run(ask_router(router, query))
    except PulleyError as error:
        print(error, file=sys.stderr)
        return EXIT_NOT_SERVED
    if json:
        print(dumps(found, indent=1))
    else:
        print("\n".join(format_answer(found)))
    return EXIT_NOT_SERVED if is_refused(found) else 0


async def ask_router(router: str, query: str) -> dict:
    """Return a router's answer; raises PulleyError without one."""
    client = Client()
    try:
        answer = await fetch(client, router, "GET", f"/where?{query}")
    finally:
        close_client(client)
    if answer.status != OK_STATUS:
        raise PulleyError(f"status {answer.status}", step="where", peer=router)
    return loads(answer.body)


def is_refused(found: dict) -> bool:
    """Check whether the request would be refused, whichever service it went to."""
    return "refused" in found or all("refused" in one for one in found["services"])


def format_answer(found: dict) -> Iterator[str]:
    """Yield the lines that tell where a request would go.

    >>> list(format_answer({"refused": "no-route"}))
    ['refused: no-route']
    """
    if "refused" in found:
        yield f"refused: {found['refused']}"
        return
    for service in found["services"]:
        name = service["service"]
        yield f"route {found['route']}, service {name}: {describe_outcome(service)}"
        rows = ([one[key] for key in COLUMNS] for one in service["endpoints"])
        yield from format_table(
            [list(map(format_cell, row)) for row in (COLUMNS, *rows)]
        )


def describe_outcome(service: dict) -> str:
    """Return what would become of the request at a service."""
    mean = f"mean load {service['mean_load']}"
    if "refused" in service:
        opens = service["opens_in_ms"]
        until = "" if opens is None else f", opens in {opens} ms"
        return f"refused: {service['refused']}{until} ({mean})"
    rank = "" if service["rank"] is None else f", rank {service['rank']}"
    return f"{service['chosen']}{rank}, bound {service['bound']} ({mean})"


def format_cell(value: object) -> str:
    """Return a cell's text, a dash for what is not known or does not hold."""
    return "-" if value is None else str(value)


def format_table(rows: list[list[str]]) -> Iterator[str]:
    """Yield the lines of a table with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        yield "  ".join(cells).rstrip()
