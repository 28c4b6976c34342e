"""Seeded workloads: returning chats, short calls, long reviews and surges.

Each flow is a generator of turns sorted by time and limited to a duration; the same
seed yields the same turns. ``merge_flows`` combines several flows.

    flow = merge_flows(
        chat_turns(ChatFlow(seed=1, n_chats=80, rate_per_s=20, duration_ms=9_000)),
        review_turns(ReviewFlow(seed=1, rate_per_s=2, duration_ms=9_000)),
    )
"""

import heapq
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import accumulate
from random import Random

WORDS = (
    "ash olive spade hoe saw handle glue tin label shelf batch ledger quote order "
    "wood joint school van recall stock split grain oiled dry cracked loose new"
).split()
CHARACTERS_PER_TOKEN = 4
TEAM_ZIPF_EXPONENT = 1.0


class Kind(StrEnum):
    """The kind of a turn; the value is the first segment of its path."""

    CHAT = "v1"
    QUICK = "quick"
    REVIEW = "batch"


@dataclass(frozen=True, slots=True)
class Team:
    """A team and the share of turns that it sends."""

    name: str
    share: float


@dataclass(frozen=True, slots=True, order=True)
class Turn:
    """A request to send ``at_ms`` after the start.

    ``text`` is the new message; the caller prepends the chat's earlier messages.
    """

    at_ms: float
    chat: str
    team: str
    kind: Kind
    text: str
    n_answer_tokens: int


@dataclass(frozen=True, slots=True)
class ChatFlow:
    """Parameters of chats with Zipf-distributed popularity that return after pauses.

    A chat opens with a message of ``n_opening_tokens``; its later messages have
    ``n_turn_tokens``. It never returns within ``pause_ms`` of its last turn.
    """

    seed: int
    n_chats: int
    rate_per_s: float
    duration_ms: float
    pause_ms: float = 400
    zipf_exponent: float = 0.9
    n_opening_tokens: int = 400
    n_turn_tokens: int = 60
    n_answer_tokens: int = 24
    teams: tuple[Team, ...] = ()
    start_ms: float = 0
    prefix: str = "chat"


@dataclass(frozen=True, slots=True)
class CallFlow:
    """Parameters of calls without history, each a separate chat, quick or long."""

    seed: int
    kind: Kind
    rate_per_s: float
    duration_ms: float
    n_prompt_tokens: int
    n_answer_tokens: int
    teams: tuple[Team, ...] = ()
    start_ms: float = 0
    prefix: str = "call"


@dataclass(slots=True)
class History:
    """The messages of one chat so far, in the format of the OpenAI API."""

    messages: list[dict] = field(default_factory=list)


def make_teams(n_teams: int = 10, n_large: int = 3) -> tuple[Team, ...]:
    """Return teams whose shares sum to 1; the large teams have Zipf shares.

    The small teams have equal shares, each a quarter of the smallest large share.
    """
    weights = [(rank + 1) ** -TEAM_ZIPF_EXPONENT for rank in range(n_large)]
    weights += [weights[-1] / 4] * (n_teams - n_large)
    total = sum(weights)
    return tuple(
        Team(f"team-{index}", weight / total) for index, weight in enumerate(weights)
    )


def draw_team(random: Random, teams: Sequence[Team]) -> str:
    """Return a random team's name, weighted by share; ``team-0`` without teams."""
    if not teams:
        return "team-0"
    shares = [team.share for team in teams]
    return random.choices(teams, weights=shares)[0].name


def make_text(random: Random, n_tokens: int) -> str:
    """Return random words of about ``n_tokens`` tokens."""
    n_characters = n_tokens * CHARACTERS_PER_TOKEN
    words = []
    while n_characters > 0:
        word = random.choice(WORDS)
        words.append(word)
        n_characters -= len(word) + 1
    return " ".join(words)


def generate_arrival_times(
    random: Random, rate_per_s: float, start_ms: float, duration_ms: float
) -> Iterator[float]:
    """Yield the arrival times of a Poisson process, in ms; none at rate 0."""
    at_ms = start_ms
    while rate_per_s > 0:
        at_ms += random.expovariate(rate_per_s) * 1_000
        if at_ms >= start_ms + duration_ms:
            return
        yield at_ms


def chat_turns(flow: ChatFlow) -> Iterator[Turn]:
    """Yield the turns of a flow of chats; popular chats return more often."""
    random = Random(f"{flow.seed} {flow.prefix}")
    weights = [(rank + 1) ** -flow.zipf_exponent for rank in range(flow.n_chats)]
    cumulative_weights = list(accumulate(weights))
    chat_teams = [draw_team(random, flow.teams) for _ in range(flow.n_chats)]
    last_turn_ms: dict[int, float] = {}
    for at_ms in generate_arrival_times(
        random, flow.rate_per_s, flow.start_ms, flow.duration_ms
    ):
        rank = random.choices(range(flow.n_chats), cum_weights=cumulative_weights)[0]
        if at_ms - last_turn_ms.get(rank, -flow.pause_ms) < flow.pause_ms:
            continue
        is_new = rank not in last_turn_ms
        last_turn_ms[rank] = at_ms
        n_tokens = flow.n_opening_tokens if is_new else flow.n_turn_tokens
        yield Turn(
            at_ms,
            f"{flow.prefix}-{rank}",
            chat_teams[rank],
            Kind.CHAT,
            make_text(random, n_tokens),
            flow.n_answer_tokens,
        )


def call_turns(flow: CallFlow) -> Iterator[Turn]:
    """Yield the turns of independent calls, each with a chat name of its own."""
    random = Random(f"{flow.seed} {flow.prefix}")
    arrival_times_ms = generate_arrival_times(
        random, flow.rate_per_s, flow.start_ms, flow.duration_ms
    )
    for index, at_ms in enumerate(arrival_times_ms):
        yield Turn(
            at_ms,
            f"{flow.prefix}-{index}",
            draw_team(random, flow.teams),
            flow.kind,
            make_text(random, flow.n_prompt_tokens),
            flow.n_answer_tokens,
        )


def merge_flows(*flows: Iterable[Turn]) -> Iterator[Turn]:
    """Yield the turns of several flows, sorted by time."""
    return heapq.merge(*flows, key=lambda turn: turn.at_ms)


def make_messages(history: History, turn: Turn) -> list[dict]:
    """Return the messages to send: the chat's earlier ones and the turn's own."""
    return [*history.messages, {"role": "user", "content": turn.text}]


def append_answer(history: History, turn: Turn, answer: str) -> None:
    """Append a turn and its answer to the chat's history."""
    history.messages.append({"role": "user", "content": turn.text})
    history.messages.append({"role": "assistant", "content": answer})
