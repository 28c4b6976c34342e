"""Case 7: a request that crashes engines after its first event is never held back.

Two routers and four engines run as processes. Callers send sound prompts. Another
caller's request comes again every two seconds, at one router and the other in turn,
with the same path, key and body. In the disruption it crashes each engine that runs it,
just after the first event; an engine that crashed is back three seconds later.
"""

import asyncio
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from harness2 import (
    BORN_MS,
    BROKEN,
    COULD_NOT_RUN,
    HEARTBEAT_S,
    HELD,
    HOST,
    TENANT,
    TOKEN,
    CaseError,
    Outcome,
    Record,
    RouterProcess,
    call,
    end_process,
    has_trouble,
    list_engine,
    start_platform,
    start_program,
    start_router,
    stop_router,
    wait_all_ready,
)
from pulley_platform_standins.stores import StandInStore, remove_item

FOLDER = Path(__file__).resolve().parent
SERVICE = "consiglio"
N_ENGINES = 4
N_EVENTS = 20
RESTART_AFTER_S = 3.0
# An entry is removed after three status report intervals of silence.
ENTRY_LAPSES_S = 3 * HEARTBEAT_S
RUN_S = 44.0
SOUND_INTERVAL_S = 0.2
REPEAT_INTERVAL_S = 2.0
STABLE_WINDOW_S = 3.0
# The rule allows so many retries later than the stable window after the third crash.
N_CRASHES = 3
MAX_RETRIES = 3
ROUTE = {
    "name": "fitting-advice",
    "host": HOST,
    "pathPrefix": "/advice/",
    "service": SERVICE,
    "type": "stream",
    "resumable": False,
    "sticky": True,
    "timeoutMs": 10_000,
    "goalMs": 300,
    "gapGoalMs": 300,
    "maxAttempts": 1,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": SERVICE, "maxConns": 460}],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 5_000,
        "idleTimeoutMs": 15_000,
    },
    "tenants": [{"name": TENANT, "apiKeys": [TOKEN]}],
}


@dataclass(slots=True)
class Engines:
    """The engines' processes, and when each run and each crash was.

    ``runs`` has, for each run, its time and the request's id.
    """

    store: StandInStore
    record: Record
    runs: list[tuple[float, str]] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    processes: list = field(default_factory=list)
    n_started: int = 0

    async def keep(self) -> None:
        """Run an engine, and start it again with a new id each time that it ends."""
        while True:
            self.n_started += 1
            name = f"i-{SERVICE}-{self.n_started}"
            process = start_program(FOLDER / "engine.py", name)
            self.processes.append(process)
            address = (await asyncio.to_thread(process.stdout.readline)).strip()
            list_engine(self.store, name, SERVICE, address)
            while line := await asyncio.to_thread(process.stdout.readline):
                self.runs.append((time.monotonic(), line.strip()))
            if process.wait() != 1:
                return
            self.crashes.append(time.monotonic())
            self.record.add(f"{name} crashed")
            asyncio.create_task(self.remove_entry(name))
            await asyncio.sleep(RESTART_AFTER_S)

    async def remove_entry(self, name: str) -> None:
        """Remove the entry of an engine that is silent."""
        await asyncio.sleep(ENTRY_LAPSES_S)
        remove_item(self.store, f"servers/{name}")


async def send_prompt(
    router: RouterProcess, request_id: str, prompt: bytes, body: bytes
) -> Outcome:
    """Send one prompt; an answer without all events counts as none."""
    outcome = await call(
        router.front,
        request_id,
        "/advice/x",
        method="POST",
        deadline_ms=10_009,
        headers=((b"prompt-prefix", prompt),),
        body=body,
    )
    if outcome.status == 200 and outcome.body.count(b"data:") != N_EVENTS:
        return Outcome(None, outcome.took_ms, outcome.body, "cut")
    return outcome


async def send_sound(routers: list[RouterProcess], record: Record) -> None:
    """Send sound prompts at a steady rate and record how they were answered."""
    tasks = []
    for number in range(int(RUN_S / SOUND_INTERVAL_S)):
        prompt = b"5c1e07a2:119,%06x:580,%08x:130" % (number % 32, number)
        sending = send_prompt(routers[number % 2], f"sound-{number}", prompt, b"{}")
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(SOUND_INTERVAL_S)
    outcomes = await asyncio.gather(*tasks)
    statuses = Counter(str(outcome.status) for outcome in outcomes)
    record.add(f"{len(outcomes)} sound prompts, answers {dict(statuses)}")


async def send_repeated(
    routers: list[RouterProcess], record: Record, body: bytes
) -> None:
    """Send the same request again and again, at each router in turn."""
    prompt = b"5c1e07a2:119,abcdef:580,0badf00d:130"
    for number in range(int(RUN_S / REPEAT_INTERVAL_S)):
        started_s = time.monotonic()
        router = routers[number % 2]
        outcome = await send_prompt(router, f"repeated-{number}", prompt, body)
        record.add(f"repeated-{number} at {router.name}: {outcome.status}")
        passed_s = time.monotonic() - started_s
        await asyncio.sleep(max(0.0, REPEAT_INTERVAL_S - passed_s))


def judge(engines: Engines, record: Record) -> int:
    """Return the exit status: whether the repeated request was held back in time."""
    runs = [time_s for time_s, name in engines.runs if name.startswith("repeated-")]
    record.add(f"{len(runs)} runs of the repeated request")
    record.add(f"{len(engines.crashes)} crashes of engines")
    if len(engines.crashes) < N_CRASHES:
        return HELD
    bound_s = sorted(engines.crashes)[N_CRASHES - 1] + STABLE_WINDOW_S
    n_late = sum(time_s > bound_s for time_s in runs)
    record.add(
        f"{n_late} of them later than {STABLE_WINDOW_S} s after the third crash; "
        f"{MAX_RETRIES} are allowed"
    )
    return BROKEN if n_late > MAX_RETRIES else HELD


async def run(folder: Path, record: Record) -> int:
    """Run the case; return its exit status."""
    trouble = has_trouble()
    record.add(f"disruption: {trouble}; engines started at {BORN_MS}")
    store = await start_platform(CONFIGURATION)
    engines = Engines(store, record)
    keeping = [asyncio.create_task(engines.keep()) for _ in range(N_ENGINES)]
    routers = [
        start_router(folder, f"edge-caltagirone-{number}", store.address)
        for number in (1, 2)
    ]
    try:
        await wait_all_ready(routers)
        record.add("both routers are ready")
        body = b'{"prompt": "deadly"}' if trouble else b'{"prompt": "sound"}'
        sending = asyncio.create_task(send_sound(routers, record))
        await asyncio.sleep(1.0)
        await send_repeated(routers, record, body)
        await sending
        for router in routers:
            await stop_router(router, record)
        return judge(engines, record)
    finally:
        for task in keeping:
            task.cancel()
        for process in [*engines.processes, *(one.process for one in routers)]:
            end_process(process)


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
