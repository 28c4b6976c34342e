"""Case 9: requests sent without waiting for answers stop all others at a router.

One router and one engine of orders. Ordinary callers send ten orders a second on new
channels, while the router is in rotation. A crowd of clients sends small requests with
chunked bodies, on routes that never existed. In the disruption each client sends all of
its requests at once; with ``TROUBLE=0`` it sends each one after the answer to the one
before.
"""

import asyncio
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from harness2 import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    HOST,
    TENANT,
    TOKEN,
    CaseError,
    Outcome,
    RawEngine,
    Record,
    RouterProcess,
    answer_head,
    call,
    check_rotation,
    end_process,
    has_trouble,
    list_engine,
    start_platform,
    start_raw_engine,
    start_router,
    stop_router,
    wait_all_ready,
)

from pulley_base import split_address

FOLDER = Path(__file__).resolve().parent
ROUTE_TIMEOUT_MS = 1_000
# The rule on late answers counts from this long after the route's timeout.
LATE_MS = ROUTE_TIMEOUT_MS + 500
# The rule needs at least so many requests that last longer than the timeout.
MIN_LATE = 8
# Callers here wait longer than the route's timeout, to see whether its end is kept.
DEADLINE_MS = 3_000
SEND_S = 28.0
INTERVAL_S = 0.1
CROWD_AFTER_S = 2.0
N_CROWD = 100
N_REQUESTS = 400
WORK_S = 0.02
BODY = b"order confirmed\n"
# One request of the crowd: a body in one very small chunk.
SMALL_REQUEST = (
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\nx\r\n0\r\n\r\n"
)
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "order-confirm",
            "host": HOST,
            "pathPrefix": "/confirm/",
            "service": "bottega",
            "type": "unsafe",
            "timeoutMs": ROUTE_TIMEOUT_MS,
            "goalMs": 125,
            "maxAttempts": 1,
        }
    ],
    "services": [{"name": "bottega", "maxConns": 200}],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    },
    "tenants": [{"name": TENANT, "apiKeys": [TOKEN]}],
}


async def answer_order(
    engine: RawEngine, headers: dict, path: str, writer: asyncio.StreamWriter
) -> bool:
    """Run an order and answer it."""
    await asyncio.sleep(WORK_S)
    length = f"Content-Length: {len(BODY)}"
    writer.write(answer_head(engine, headers, "200 OK", length) + BODY)
    return True


async def send_orders(router: RouterProcess, outcomes: list[Outcome]) -> None:
    """Send orders at a steady rate while the router is in rotation."""
    tasks = []
    for number in range(int(SEND_S / INTERVAL_S)):
        if router.in_rotation:
            sending = send_order(router, f"order-{number}", outcomes)
            tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.wait(tasks)


async def send_order(
    router: RouterProcess, request_id: str, outcomes: list[Outcome]
) -> None:
    """Send one order and keep what its caller saw."""
    outcomes.append(
        await call(
            router.front,
            request_id,
            "/confirm/x",
            method="POST",
            deadline_ms=DEADLINE_MS,
            body=b"{}",
        )
    )


async def read_answer(reader: asyncio.StreamReader) -> None:
    """Read one answer to a request of the crowd."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = head.partition(b"content-length:")[2].split()[0]
    await reader.readexactly(int(length))


async def run_client(
    channel: tuple[asyncio.StreamReader, asyncio.StreamWriter], at_once: bool
) -> int:
    """Send a client's requests and return how many were answered."""
    reader, writer = channel
    n_answered = 0
    try:
        if at_once:
            writer.write(SMALL_REQUEST * N_REQUESTS)
        for _ in range(N_REQUESTS):
            if not at_once:
                writer.write(SMALL_REQUEST)
            await read_answer(reader)
            n_answered += 1
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return n_answered


async def run_crowd(front: str, at_once: bool, record: Record) -> None:
    """Run the crowd, all of whose channels are open before it sends."""
    address = split_address(front)
    channels = [await asyncio.open_connection(*address) for _ in range(N_CROWD)]
    n_bytes = len(SMALL_REQUEST) * N_REQUESTS
    record.add(f"{N_CROWD} clients send {N_REQUESTS} requests each, {n_bytes} bytes")
    started_s = time.monotonic()
    answered = await asyncio.gather(*(run_client(one, at_once) for one in channels))
    took_s = time.monotonic() - started_s
    record.add(f"{sum(answered)} of them were answered within {took_s:.1f} s")
    for _, writer in channels:
        writer.close()


def judge(outcomes: list[Outcome], record: Record) -> int:
    """Return the exit status: whether the rule on late answers held."""
    statuses = Counter(str(outcome.status) for outcome in outcomes)
    lasting = [one for one in outcomes if one.took_ms >= ROUTE_TIMEOUT_MS]
    late = [one for one in lasting if one.status is None or one.took_ms > LATE_MS]
    slowest_ms = max(outcome.took_ms for outcome in outcomes)
    record.add(
        f"{len(outcomes)} orders sent, answers {dict(statuses)}, the slowest after "
        f"{slowest_ms} ms; {len(lasting)} lasted longer than their route's timeout, "
        f"{len(late)} of them had no answer 0.5 s after it"
    )
    return BROKEN if len(late) >= MIN_LATE and len(late) * 4 > len(lasting) else HELD


async def run(folder: Path, record: Record) -> int:
    """Run the case; return its exit status."""
    trouble = has_trouble()
    record.add(f"disruption: {trouble}")
    store = await start_platform(CONFIGURATION)
    engine = await start_raw_engine("i-bottega-1", answer_order)
    list_engine(store, engine.name, "bottega", engine.address)
    router = start_router(folder, "edge-caltagirone-1", store.address)
    try:
        await wait_all_ready([router])
        record.add("the router is ready")
        rotation = asyncio.create_task(check_rotation(router, record))
        outcomes: list[Outcome] = []
        sending = asyncio.create_task(send_orders(router, outcomes))
        await asyncio.sleep(CROWD_AFTER_S)
        await run_crowd(router.front, trouble, record)
        await sending
        rotation.cancel()
        status = judge(outcomes, record)
        await stop_router(router, record)
        return status
    finally:
        end_process(router.process)


def main() -> int:
    """Run the case in a temporary folder."""
    record = Record(FOLDER / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as folder:
            status = asyncio.run(run(Path(folder), record))
    except (CaseError, OSError) as error:
        record.add(f"the case could not run: {error}")
        status = COULD_NOT_RUN
    record.add(f"exit status {status}")
    record.save()
    return status


if __name__ == "__main__":
    sys.exit(main())
