"""Send a flow of turns to routers and record the result of each turn.

Turns of one chat are sent one after another, each with the chat's history; turns of
different chats are sent at their scheduled times, independently of one another. A
turn that was refused with outcome ``not-run`` is sent again after the requested delay,
for at most ``RETRY_LIMIT_MS``.
"""

import asyncio
import json
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

from callers import Answer, stream_answer
from ceilings import ServedTurn
from workloads import History, Kind, Turn, append_answer, make_messages

from pulley_base import Clock, to_seconds
from pulley_http import Client

DEFAULT_RETRY_DELAY_S = 0.25
RETRY_LIMIT_MS = 12_000
FINAL_WAIT_MS = 15_000
US_PER_MS = 1_000
STATUS_OK = 200


@dataclass(slots=True)
class Ended:
    """The result of one turn; times are readings of the replay's clock.

    ``ready_ms`` is when the turn was due, or when its chat's previous turn ended if
    that was later. ``sent_ms`` and ``end_ms`` are those of the last attempt.
    """

    turn: Turn
    ready_ms: float
    sent_ms: float = 0.0
    end_ms: float = 0.0
    n_refusals: int = 0
    answer: Answer = field(default_factory=Answer)

    @property
    def whole(self) -> bool:
        """Whether the answer was complete."""
        return self.answer.complete

    @property
    def cut(self) -> bool:
        """Whether the answer was interrupted, or the turn may have run without one."""
        answer = self.answer
        refused = answer.status != STATUS_OK and answer.outcome == "not-run"
        return not answer.complete and not refused

    @property
    def first_token_ms(self) -> float:
        """Time from ``ready_ms`` to the first token.

        For a turn without a complete answer, the time until its last attempt ended.
        """
        if not self.whole:
            return self.end_ms - self.ready_ms
        return self.sent_ms - self.ready_ms + self.answer.ttft_us / US_PER_MS


@dataclass(slots=True)
class Replay:
    """The target of a flow of turns, and the results so far.

    ``routers`` returns the addresses of the routers that the load balancer knows at
    the time of the call.
    """

    service: str
    routers: Callable[[], Sequence[str]]
    random: Random
    clock: Clock = field(default_factory=Clock)
    client: Client = field(default_factory=Client)
    ended: list[Ended] = field(default_factory=list)
    histories: dict[str, History] = field(default_factory=lambda: defaultdict(History))
    locks: dict[str, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )
    start_ms: float = 0.0


async def play(replay: Replay, flow: Iterable[Turn]) -> list[Ended]:
    """Send every turn at its time and return the results of all turns.

    After the last turn was sent, turns still running after ``FINAL_WAIT_MS`` are
    cancelled.
    """
    replay.start_ms = replay.clock.now_ms()
    tasks = []
    for turn in flow:
        due_ms = replay.start_ms + turn.at_ms
        await asyncio.sleep(to_seconds(due_ms - replay.clock.now_ms()))
        tasks.append(asyncio.create_task(play_turn(replay, turn)))
    if tasks:
        done, unfinished = await asyncio.wait(tasks, timeout=to_seconds(FINAL_WAIT_MS))
        for task in unfinished:
            task.cancel()
        await asyncio.wait(tasks)
        for task in done:
            task.result()
    return replay.ended


async def play_turn(replay: Replay, turn: Turn) -> None:
    """Send one turn, retry it while it is refused as not run, and record it."""
    async with replay.locks[turn.chat]:
        ended = Ended(turn, max(replay.start_ms + turn.at_ms, replay.clock.now_ms()))
        replay.ended.append(ended)
        delay_s = 0.0
        while delay_s is not None:
            await asyncio.sleep(delay_s)
            delay_s = await send_turn(replay, ended)
        if ended.whole:
            append_answer(replay.histories[turn.chat], turn, ended.answer.text)


async def send_turn(replay: Replay, ended: Ended) -> float | None:
    """Send a turn once; return the delay in s before a retry, None for no retry."""
    turn = ended.turn
    ended.sent_ms = replay.clock.now_ms()
    ended.answer = await stream_answer(
        replay.client,
        replay.random.choice(replay.routers()),
        make_target(replay.service, turn.kind),
        make_turn_headers(turn),
        make_turn_body(replay.histories[turn.chat], turn),
    )
    ended.end_ms = replay.clock.now_ms()
    if ended.whole or ended.cut:
        return None
    ended.n_refusals += 1
    if ended.end_ms - ended.ready_ms > RETRY_LIMIT_MS:
        return None
    return ended.answer.retry_after_s or DEFAULT_RETRY_DELAY_S


def make_target(service: str, kind: Kind) -> str:
    """Return the path for a kind of turn; the rules set the priority by path.

    >>> make_target("consiglio", Kind.REVIEW)
    '/consiglio/batch/v1/chat/completions'
    """
    prefix = "" if kind is Kind.CHAT else f"/{kind}"
    return f"/{service}{prefix}/v1/chat/completions"


def make_turn_headers(turn: Turn) -> list[tuple[bytes, bytes]]:
    """Return the request headers that identify a turn's chat and team."""
    return [
        (b"content-type", b"application/json"),
        (b"pulley-team", turn.team.encode()),
        (b"pulley-chat", turn.chat.encode()),
    ]


def make_turn_body(history: History, turn: Turn) -> bytes:
    """Return the body of a completion request with the turn's answer length."""
    document = {
        "model": "standin",
        "messages": make_messages(history, turn),
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": turn.n_answer_tokens,
        "ignore_eos": True,
    }
    return json.dumps(document).encode()


def iter_served_turns(ended: Iterable[Ended]) -> Iterator[ServedTurn]:
    """Yield the completely answered turns, as input for the reuse ceiling."""
    for result in ended:
        if result.whole:
            yield ServedTurn(
                result.turn.chat,
                result.answer.engine,
                result.sent_ms,
                result.end_ms,
                result.answer.n_prompt_tokens,
                result.answer.n_answer_tokens,
                result.answer.n_cached_tokens,
            )


def find_percentile(values: Iterable[float], percent: int) -> float:
    """Return a percentile by nearest rank; 0 when there are no values.

    >>> find_percentile([3, 1, 2, 4], 50)
    2
    """
    sorted_values = sorted(values)
    if not sorted_values:
        return 0.0
    return sorted_values[max(0, -(-len(sorted_values) * percent // 100) - 1)]
