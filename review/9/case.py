"""Case 9: a faulty engine's 200 without a stamp reaches callers as a success.

One router runs as a process, beside two engines of the service ``bottega``. Callers
send orders. In the disruption one of the engines is faulty: three in a hundred of its
answers are spoiled. Such an answer has neither the stamp nor the engine's bytes.
"""

import asyncio
import sys
import tempfile
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
    answer_head,
    call,
    end_process,
    has_trouble,
    list_engine,
    start_platform,
    start_raw_engine,
    start_router,
    stop_router,
    wait_all_ready,
)

FOLDER = Path(__file__).resolve().parent
N_REQUESTS = 400
INTERVAL_S = 0.02
WORK_S = 0.02
BODY = b"order confirmed\n"
# Three in a hundred: each so manieth answer of the faulty engine is spoiled.
SPOILED_EVERY = 33
SPOILED_BODY = b"\x00\x7f\x10\x00 \xff\xfe\x00"
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "order-confirm",
            "host": HOST,
            "pathPrefix": "/confirm/",
            "service": "bottega",
            "type": "unsafe",
            "timeoutMs": 1_000,
            "goalMs": 125,
            "maxAttempts": 1,
        }
    ],
    "services": [{"name": "bottega", "maxConns": 200}],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 5_000,
        "idleTimeoutMs": 15_000,
    },
    "tenants": [{"name": TENANT, "apiKeys": [TOKEN]}],
}


async def answer_soundly(
    engine: RawEngine, headers: dict, path: str, writer: asyncio.StreamWriter
) -> bool:
    """Run an order and answer it."""
    await asyncio.sleep(WORK_S)
    length = f"Content-Length: {len(BODY)}"
    writer.write(answer_head(engine, headers, "200 OK", length) + BODY)
    return True


async def answer_faultily(
    engine: RawEngine, headers: dict, path: str, writer: asyncio.StreamWriter
) -> bool:
    """Spoil some of the answers."""
    if len(engine.runs) % SPOILED_EVERY:
        return await answer_soundly(engine, headers, path, writer)
    await asyncio.sleep(WORK_S)
    lines = (
        "HTTP/1.1 200 OK",
        f"Attempt-Id: {headers.get('attempt-id', '')}",
        f"Content-Length: {len(SPOILED_BODY)}",
    )
    writer.write("\r\n".join([*lines, "", ""]).encode() + SPOILED_BODY)
    return True


def has_stamp(outcome: Outcome) -> bool:
    """Check whether an answer bears an engine's stamp."""
    return any(name.lower() == b"server-stamp" for name, _ in outcome.headers)


async def send_orders(front: str) -> dict[str, Outcome]:
    """Send orders at a steady rate and return what their callers saw."""
    tasks = {}
    for number in range(N_REQUESTS):
        request_id = f"order-{number}"
        sending = call(front, request_id, "/confirm/x", method="POST", body=b"{}")
        tasks[request_id] = asyncio.create_task(sending)
        await asyncio.sleep(INTERVAL_S)
    return {request_id: await task for request_id, task in tasks.items()}


async def run(folder: Path, record: Record) -> int:
    """Run the case; return its exit status."""
    trouble = has_trouble()
    record.add(f"disruption: {trouble}")
    store = await start_platform(CONFIGURATION)
    engines = [
        await start_raw_engine("i-bottega-1", answer_soundly),
        await start_raw_engine(
            "i-bottega-2", answer_faultily if trouble else answer_soundly
        ),
    ]
    for engine in engines:
        list_engine(store, engine.name, "bottega", engine.address)
    router = start_router(folder, "edge-caltagirone-1", store.address)
    try:
        await wait_all_ready([router])
        record.add("the router is ready")
        outcomes = await send_orders(router.front)
        statuses = Counter(str(outcome.status) for outcome in outcomes.values())
        record.add(f"{len(outcomes)} orders sent, answers {dict(statuses)}")
        for engine in engines:
            record.add(f"{engine.name} ran {len(engine.runs)}")
        successes = {
            request_id: outcome
            for request_id, outcome in outcomes.items()
            if outcome.status is not None and 200 <= outcome.status < 300
        }
        unstamped = [key for key, one in successes.items() if not has_stamp(one)]
        for request_id in unstamped:
            outcome = successes[request_id]
            record.add(
                f"{request_id}: {outcome.status} without a stamp, {outcome.body!r}"
            )
        record.add(f"{len(unstamped)} successes without a stamp")
        await stop_router(router, record)
        return BROKEN if unstamped else HELD
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
