"""Run both example deployments on this machine and print a table of the results.

``python tools/demo.py`` starts the stand-ins, agents and routers of both, sends
returning chats, quotes, handle confirmations, ledger reviews and van
dispatches, and prints the results. With ``--keep`` the deployments keep running
until Ctrl-C. Exits 1 when an answer was not complete.
"""

import asyncio
import signal
import sys
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from random import Random

import defopt
from callers import (
    Answer,
    ask,
    complete_chat,
    look_up,
    make_chats,
    make_text,
    post_once,
)
from fleets import Fleet, read_json, read_metrics, run_fleet
from plans import caruso_plan, kigali_plan
from progress import show_progress
from samplers import LoadSamples, compute_skew, sample_loads

ENGINE_FLAGS = {"slots": 16, "decode_ms": 10, "report_lag_ms": 0}
N_TURNS = 3
RESEND_EVERY = 4
CONTROL_BYTES_METRIC = "plantainpulley_control_bytes_sent"


@dataclass(slots=True)
class Work:
    """One kind of work, its answers, and those to returning turns."""

    name: str
    service: str
    answers: list[Answer] = field(default_factory=list)
    returning: list[Answer] = field(default_factory=list)


async def send_chats(fleet, work, random, n_chats, teams, n_words, path="") -> None:
    """Send chats of several turns; every turn after the first counts as returning."""
    chats = list(make_chats(random, n_chats, teams))
    routers = fleet.routers
    await asyncio.gather(
        *(
            send_chat(
                fleet, work, chat, random, routers[index % len(routers)].address, path
            )
            for index, chat in enumerate(start_chats(chats, random, n_words))
        )
    )


def start_chats(chats, random, n_words):
    """Yield the chats, each after its first question was appended."""
    for chat in chats:
        ask(chat, make_text(random, n_words))
        yield chat


async def send_chat(fleet, work, chat, random, address, path) -> None:
    """Send one chat's turns, each after a pause of 0.05 to 0.6 s."""
    for turn in range(N_TURNS):
        await asyncio.sleep(random.uniform(0.05, 0.6))
        prefix = f"/{work.service}{path}"
        answer = await complete_chat(fleet.client, address, prefix, chat)
        work.answers.append(answer)
        if turn > 0:
            work.returning.append(answer)
        ask(chat, make_text(random, 20))


async def send_orders(fleet, work, random, path, team, n_orders) -> None:
    """Send non-idempotent requests; every ``RESEND_EVERY``-th is sent twice."""
    for index in range(n_orders):
        address = random.choice(fleet.routers).address
        key = f"{path}-{index}-{random.getrandbits(32):08x}"
        target = f"/{work.service}/{path}"
        document = {"order": index}
        answer = await post_once(fleet.client, address, target, team, key, document)
        work.answers.append(answer)
        if index % RESEND_EVERY == 0:
            await post_once(fleet.client, address, target, team, key, document)


async def send_lookups(fleet, work, random, path, team, n_lookups) -> None:
    """Send lookups, which have no side effects."""
    for index in range(n_lookups):
        address = random.choice(fleet.routers).address
        target = f"/{work.service}/{path}/{index}"
        work.answers.append(await look_up(fleet.client, address, target, team))


async def run_caruso(fleet: Fleet, seed: int) -> list[Work]:
    """Send Caruso's work: tool advice, quotes, handle confirmations, status."""
    random = Random(seed)
    advice = Work("tool advice chats", "consiglio")
    quotes = Work("repair quotes", "consiglio")
    handles = Work("handle confirmations", "bottega")
    status = Work("order status", "bottega")
    await asyncio.gather(
        send_chats(fleet, advice, random, 40, ["sportello", "giardini"], 60),
        send_chats(fleet, quotes, random, 20, ["fattorie", "ferramenta"], 120),
        send_orders(fleet, handles, random, "handles", "ferramenta", 40),
        send_lookups(fleet, status, random, "handles", "ferramenta", 40),
    )
    return [advice, quotes, handles, status]


async def run_kigali(fleet: Fleet, seed: int) -> list[Work]:
    """Send Kigali's work: shelf questions, reviews, labels, vans, stock."""
    random = Random(seed)
    shelf = Work("shelf questions", "glue-model")
    reviews = Work("ledger reviews", "glue-model")
    labels = Work("label summaries", "glue-model")
    vans = Work("van dispatches", "alert-app")
    stock = Work("stock lookups", "alert-app")
    await asyncio.gather(
        send_chats(fleet, shelf, random, 20, ["shelf", "cooperatives"], 40),
        send_chats(fleet, reviews, random, 4, ["ledgers"], 4_000, "/reviews"),
        send_chats(fleet, labels, random, 10, ["schools"], 20, "/labels"),
        send_orders(fleet, vans, random, "vans", "dispatch", 20),
        send_lookups(fleet, stock, random, "stock", "shelf", 40),
    )
    return [shelf, reviews, labels, vans, stock]


def print_work(deployment: str, works: list[Work]) -> int:
    """Print one line for each kind of work; return the number of incomplete answers."""
    print(f"\n{deployment}")
    print(f"  {'work':24} {'service':12} {'complete':>10} {'reuse':>7}")
    for work in works:
        n_complete = sum(answer.complete for answer in work.answers)
        completed = f"{n_complete}/{len(work.answers)}"
        print(
            f"  {work.name:24} {work.service:12} {completed:>10} "
            f"{format_reuse(work):>7}"
        )
        for reason in sorted(
            {answer.reason or answer.error for answer in work.answers} - {""}
        ):
            print(f"    refused or failed: {reason}")
    return sum(not answer.complete for work in works for answer in work.answers)


def format_reuse(work: Work) -> str:
    """Return the share of returning turns with cached tokens, as text; "-" if none."""
    if not work.returning:
        return "-"
    n_warm = sum(answer.n_cached_tokens > 0 for answer in work.returning)
    return f"{n_warm / len(work.returning):.2f}"


async def print_fleet(fleet: Fleet, samples: LoadSamples, elapsed_s: float) -> None:
    """Print the load skew, executions and control traffic of one deployment."""
    for service in fleet.plan.services:
        service_endpoints = [
            endpoint for endpoint in fleet.endpoints if endpoint.service == service.name
        ]
        addresses = [endpoint.engine.address for endpoint in service_endpoints]
        print(f"  skew of {service.name}: {compute_skew(samples, addresses):.2f}")
        if service.kind == "plain":
            await print_executions(fleet, service.name, addresses)
    for router in fleet.routers:
        metrics = await read_metrics(fleet, router.addresses["admin"])
        n_bytes = metrics.get(CONTROL_BYTES_METRIC, 0.0)
        print(
            f"  control bytes of {router.name}: {n_bytes:.0f} in {elapsed_s:.0f} s, "
            f"{n_bytes / elapsed_s:.0f} a second"
        )


async def print_executions(fleet: Fleet, service: str, addresses: list[str]) -> None:
    """Print the number of executions per key over all endpoints of a service."""
    totals: dict[str, int] = {}
    for address in addresses:
        for key, n_executions in (
            await read_json(fleet, address, "/executions")
        ).items():
            totals[key] = totals.get(key, 0) + n_executions
    n_max = max(totals.values(), default=0)
    print(f"  executions of {service}: {len(totals)} keys, at most {n_max} for a key")


def print_addresses(fleets: list[Fleet]) -> None:
    """Print the routers' URLs and a complete example curl command."""
    print("\nRouters:")
    for fleet in fleets:
        for router in fleet.routers:
            service = fleet.plan.services[0].name
            print(
                f"  http://{router.address}/{service}/v1   "
                f"admin http://{router.addresses['admin']}/status"
            )
    address = fleets[0].routers[0].address
    print(
        f"\ncurl -N http://{address}/consiglio/v1/chat/completions "
        "-H 'Pulley-Team: sportello' -H 'Pulley-Chat: demo' "
        '-d \'{"stream": true, "messages": '
        '[{"role": "user", "content": "My hoe is loose."}]}\''
    )


async def wait_for_stop_signal() -> None:
    """Wait for SIGINT (Ctrl-C) or SIGTERM."""
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    print("\nThe deployments keep running until Ctrl-C.", flush=True)
    await stop_requested.wait()


async def run_demo(seed: int, keep: bool) -> int:
    """Start both fleets, send the work, print the results; return the exit code."""
    async with AsyncExitStack() as stack:
        show_progress("starting both deployments")
        plans = (caruso_plan(**ENGINE_FLAGS), kigali_plan(**ENGINE_FLAGS))
        fleets = [await stack.enter_async_context(run_fleet(plan)) for plan in plans]
        samples = [
            await stack.enter_async_context(sample_loads(fleet)) for fleet in fleets
        ]
        show_progress("sending work")
        started_s = time.monotonic()
        works = await asyncio.gather(
            run_caruso(fleets[0], seed), run_kigali(fleets[1], seed + 1)
        )
        elapsed_s = time.monotonic() - started_s
        n_incomplete = 0
        for fleet, fleet_works, load_samples in zip(
            fleets, works, samples, strict=True
        ):
            n_incomplete += print_work(fleet.plan.name, fleet_works)
            await print_fleet(fleet, load_samples, elapsed_s)
        print_addresses(fleets)
        if keep:
            await wait_for_stop_signal()
    return 1 if n_incomplete else 0


def demo(*, seed: int = 1, keep: bool = False) -> int:
    """Run both example deployments for a short time.

    Parameters
    ----------
    seed
        The seed of the callers' random numbers.
    keep
        Keep the deployments running until Ctrl-C.
    """
    return asyncio.run(run_demo(seed, keep))


if __name__ == "__main__":
    sys.exit(defopt.run(demo))
