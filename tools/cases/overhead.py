"""Overhead of the fleet: the same traffic sent to the engines directly and through it.

One run has three phases. The direct and the routed phase send 200 concurrent streams of
the same lengths to the same engines, without and with a router and agents. The share
phase keeps one router at its share of the target load, 43 new requests and 10,500
tokens a second, by callers that repeatedly stream 244 tokens each. The times of the
direct phase are metrics that begin with ``straight_``; those that begin with ``added_``
are the routed phase's minus these.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from calibration import calibration_us
from callers import Answer, Chat, ask, complete_chat, make_chats, make_text
from fleets import Fleet, run_fleet
from hdrh.histogram import HdrHistogram
from plans import one_place_plan
from processes import Process, read_cpu_s, read_rss_mb
from progress import show_progress
from results import CaseResult, Target, make_histogram, percentile_ms

from pulley_http import Client, close_client

N_ENGINES = 10
N_STREAMS = 200
DECODE_MS = 41
N_WORDS = 60
ANSWER_TOKENS = 150
SHARE_REQUESTS_PER_S = 43
SHARE_TOKENS_PER_S = 10_500
SHARE_ANSWER_TOKENS = SHARE_TOKENS_PER_S // SHARE_REQUESTS_PER_S
WARM_UP_S = 3.0
WINDOW_S = 10.0
LONG_FACTOR = 6
CONNECT_TIMEOUT_MS = 10_000
PERCENTILES = (50, 95, 99)


@dataclass(slots=True)
class Phase:
    """Times, counts and causes of incomplete answers of one phase.

    The histograms ``ttft`` and ``gaps`` hold microseconds.
    """

    ttft: HdrHistogram = field(default_factory=make_histogram)
    gaps: HdrHistogram = field(default_factory=make_histogram)
    n_answers: int = 0
    n_incomplete: int = 0
    n_tokens: int = 0
    causes: Counter = field(default_factory=Counter)

    def count_tokens(self, n_tokens: int) -> None:
        """Add tokens as they arrive, including those of unfinished answers."""
        self.n_tokens += n_tokens


def record_answer(phase: Phase, answer: Answer) -> None:
    """Add an answer to its phase; an incomplete one counts without its times."""
    phase.n_answers += 1
    phase.n_incomplete += not answer.complete
    if not answer.complete:
        phase.causes[answer.reason or answer.error or str(answer.status)] += 1
    if answer.complete:
        phase.ttft.record_value(answer.ttft_us)
        for gap_us in answer.gaps_us:
            phase.gaps.record_value(gap_us)


@dataclass(slots=True)
class Usage:
    """Processor seconds, requests and tokens of a window of the share phase."""

    router_s: float
    agents_s: float
    wall_s: float
    n_requests: int
    n_tokens: int


async def run(seed: int, long: bool) -> CaseResult:
    """Run the three phases and compare them."""
    factor = LONG_FACTOR if long else 1
    plan = one_place_plan(
        N_ENGINES,
        engine_flags={"slots": 64, "decode_ms": DECODE_MS},
        agent_flags={"slots": 64, "capacity": 40_000},
        rules="service consiglio load-multiple=3 deadline=120s  # bench: overhead\n"
        "team t0  # bench: overhead\n",
    )
    async with run_fleet(plan) as fleet:
        agents = [endpoint.agent for endpoint in fleet.endpoints]
        idle_mb = {
            "router": read_rss_mb(fleet.routers[0]),
            "agent": find_mean_rss_mb(agents),
        }
        engines = [endpoint.engine.address for endpoint in fleet.endpoints]
        router = fleet.routers[0].address
        show_progress(f"{N_STREAMS} streams straight to {N_ENGINES} engines")
        direct = await run_phase(seed, "", lambda n: engines[n % N_ENGINES], factor)
        show_progress(f"{N_STREAMS} streams through the fleet")
        routed = await run_phase(seed + 1, "/consiglio", lambda n: router, factor)
        calibrations_us = [calibration_us()]
        usage, share = await sustain_share(fleet, seed + 2, WINDOW_S * factor)
        calibrations_us.append(calibration_us())
        loaded_mb = {
            "router": read_rss_mb(fleet.routers[0]),
            "agent": find_mean_rss_mb(agents),
        }
    causes = direct.causes + routed.causes + share.causes
    show_progress(f"incomplete answers by cause: {dict(causes)}")
    result = summarize(direct, routed, share, usage, idle_mb, loaded_mb)
    result.metrics["calibration_us"] = sum(calibrations_us) / len(calibrations_us)
    return result


def find_mean_rss_mb(processes: list[Process]) -> float:
    """Return the mean resident memory of some processes, in megabytes."""
    return sum(map(read_rss_mb, processes)) / len(processes)


async def run_phase(
    seed: int, prefix: str, choose_address: Callable[[int], str], factor: int
) -> Phase:
    """Run 200 callers at once, each of which starts at a random time within 1.5 s."""
    random = Random(seed)
    phase = Phase()
    client = Client(connect_timeout_ms=CONNECT_TIMEOUT_MS, max_idle=N_STREAMS)
    chats = list(make_chats(random, N_STREAMS, ["t0"]))
    callers = [
        run_caller(phase, client, choose_address(n), prefix, chat, random, factor)
        for n, chat in enumerate(chats)
    ]
    await asyncio.gather(*callers)
    close_client(client)
    return phase


async def run_caller(phase, client, address, prefix, chat, random, factor) -> None:
    """Stream ``factor`` answers of one chat, one after another."""
    await asyncio.sleep(random.uniform(0, 1.5))
    for _turn in range(factor):
        ask(chat, make_text(random, N_WORDS))
        answer = await complete_chat(
            client, address, prefix, chat, max_tokens=ANSWER_TOKENS, ignore_eos=True
        )
        record_answer(phase, answer)


async def sustain_share(
    fleet: Fleet, seed: int, window_s: float
) -> tuple[Usage, Phase]:
    """Keep one router at its share of the target load and measure a window of it."""
    random = Random(seed)
    phase = Phase()
    n_callers = round(SHARE_TOKENS_PER_S * DECODE_MS / 1_000)
    client = Client(connect_timeout_ms=CONNECT_TIMEOUT_MS, max_idle=n_callers)
    show_progress(f"{n_callers} callers hold {SHARE_TOKENS_PER_S} tokens a second")
    router = fleet.routers[0]
    chats = make_chats(random, n_callers, ["t0"])
    callers = [
        asyncio.create_task(
            run_endless_caller(phase, client, router.address, chat, random)
        )
        for chat in chats
    ]
    await asyncio.sleep(WARM_UP_S)
    usage = await measure_window(fleet, phase, window_s)
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    close_client(client)
    return usage, phase


async def run_endless_caller(
    phase: Phase, client: Client, address: str, chat: Chat, random: Random
) -> None:
    """Stream answers of 244 tokens until cancelled; the first one is of random length.

    The first length spreads the ends of all callers' answers evenly over time.
    """
    n_tokens = random.randint(1, SHARE_ANSWER_TOKENS)
    while True:
        chat.messages.clear()
        ask(chat, make_text(random, N_WORDS))
        answer = await complete_chat(
            client,
            address,
            "/consiglio",
            chat,
            phase.count_tokens,
            max_tokens=n_tokens,
            ignore_eos=True,
        )
        record_answer(phase, answer)
        n_tokens = SHARE_ANSWER_TOKENS


async def measure_window(fleet: Fleet, phase: Phase, window_s: float) -> Usage:
    """Measure processor time, answers and tokens over a window."""
    router = fleet.routers[0]
    agents = [endpoint.agent for endpoint in fleet.endpoints]
    before = (read_cpu_s(router), sum(map(read_cpu_s, agents)), time.monotonic())
    n_answers, n_tokens = phase.n_answers, phase.n_tokens
    await asyncio.sleep(window_s)
    after = (read_cpu_s(router), sum(map(read_cpu_s, agents)), time.monotonic())
    router_s, agents_s, wall_s = (b - a for a, b in zip(before, after, strict=True))
    return Usage(
        router_s,
        agents_s,
        wall_s,
        phase.n_answers - n_answers,
        phase.n_tokens - n_tokens,
    )


def summarize(direct, routed, share, usage, idle_mb, loaded_mb) -> CaseResult:
    """Build the result: metrics, and the targets that the requirement states."""
    metrics = {}
    for percentile in PERCENTILES:
        for name in ("ttft", "gap"):
            attribute = "gaps" if name == "gap" else name
            values = [
                percentile_ms(getattr(phase, attribute), percentile)
                for phase in (direct, routed)
            ]
            metrics[f"added_{name}_p{percentile}_ms"] = values[1] - values[0]
            metrics[f"straight_{name}_p{percentile}_ms"] = values[0]
    n_kilotokens = usage.n_tokens / 1_000
    metrics |= {
        "share_requests_per_s": usage.n_requests / usage.wall_s,
        "share_tokens_per_s": usage.n_tokens / usage.wall_s,
        "router_core_share": usage.router_s / usage.wall_s,
        "agents_core_share": usage.agents_s / usage.wall_s,
        "router_ms_per_kilotoken": usage.router_s * 1_000 / n_kilotokens,
        "agent_ms_per_kilotoken": usage.agents_s * 1_000 / n_kilotokens,
        "router_ms_per_request": usage.router_s * 1_000 / usage.n_requests,
        "agent_ms_per_request": usage.agents_s * 1_000 / usage.n_requests,
        "router_rss_idle_mb": idle_mb["router"],
        "agent_rss_idle_mb": idle_mb["agent"],
        "router_rss_mb": loaded_mb["router"],
        "agent_rss_mb": loaded_mb["agent"],
        "incomplete": direct.n_incomplete + routed.n_incomplete + share.n_incomplete,
    }
    targets = {
        "added_ttft_p95_ms": Target("<", 10),
        "added_gap_p95_ms": Target("<", 2),
        "router_core_share": Target("<", 0.6),
        "share_requests_per_s": Target(">=", SHARE_REQUESTS_PER_S * 0.95),
        "share_tokens_per_s": Target(">=", SHARE_TOKENS_PER_S * 0.95),
        "incomplete": Target("==", 0),
    }
    return CaseResult(metrics, targets)
