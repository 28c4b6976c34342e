"""Compare the measured reuse of warm contexts with that of an ideal placement.

The ceiling is computed by replaying one run: which engine served each turn, and which
engines left, were unreachable or came back. A returning chat's context counts as
reusable when any reachable engine still holds it; it is lost only when its engine left
or evicted it. Load is ignored, so the ceiling is never too low.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

TOKENS_PER_BLOCK = 16


@dataclass(frozen=True, slots=True)
class ServedTurn:
    """A turn that was answered completely; all times are from the same clock.

    ``n_cached_tokens`` is the value that the engine reported in
    ``usage.prompt_tokens_details.cached_tokens``.
    """

    chat: str
    engine: str
    start_ms: float
    end_ms: float
    n_prompt_tokens: int
    n_answer_tokens: int
    n_cached_tokens: int


class Event(Enum):
    """A change in an engine's availability."""

    LOST = "its contexts are gone"
    AWAY = "it is out of reach, its contexts stay"
    BACK = "it is within reach again"


@dataclass(frozen=True, slots=True)
class EngineChange:
    """A change of one engine's availability at a point in time."""

    at_ms: float
    engine: str
    event: Event


@dataclass(slots=True)
class EngineCache:
    """The contexts cached by one engine, in tokens, least recently used first."""

    max_tokens: int
    contexts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    n_tokens: int = 0
    unreachable: bool = False

    def store_context(self, chat: str, n_tokens: int) -> None:
        """Cache a chat's context, evicting the least recently used above the limit."""
        self.n_tokens += n_tokens - self.contexts.pop(chat, 0)
        self.contexts[chat] = n_tokens
        while self.n_tokens > self.max_tokens:
            _evicted_chat, n_freed = self.contexts.popitem(last=False)
            self.n_tokens -= n_freed


@dataclass(frozen=True, slots=True)
class Reuse:
    """Prompt tokens of returning turns: total, reusable and reused."""

    n_prompt_tokens: int
    n_reusable_tokens: int
    n_reused_tokens: int
    n_turns: int

    @property
    def over_ceiling(self) -> float:
        """Reused tokens divided by those that an ideal placement would reuse."""
        return self.n_reused_tokens / max(1, self.n_reusable_tokens)

    @property
    def share(self) -> float:
        """Reused tokens divided by all prompt tokens of returning turns."""
        return self.n_reused_tokens / max(1, self.n_prompt_tokens)


@dataclass(frozen=True, slots=True)
class ReuseOpportunity:
    """A returning turn and the number of its tokens that could have been reused."""

    turn: ServedTurn
    n_reusable_tokens: int


def measure_reuse(
    served: Sequence[ServedTurn], changes: Iterable[EngineChange], n_cache_tokens: int
) -> Reuse:
    """Return the measured reuse and its ceiling for one run."""
    opportunities = list(find_reuse_opportunities(served, changes, n_cache_tokens))
    return Reuse(
        sum(opportunity.turn.n_prompt_tokens for opportunity in opportunities),
        sum(opportunity.n_reusable_tokens for opportunity in opportunities),
        sum(opportunity.turn.n_cached_tokens for opportunity in opportunities),
        len(opportunities),
    )


def find_reuse_opportunities(
    served: Sequence[ServedTurn], changes: Iterable[EngineChange], n_cache_tokens: int
) -> Iterator[ReuseOpportunity]:
    """Yield every returning turn with the number of tokens it could have reused."""
    caches: dict[str, EngineCache] = {}
    known_chats: set[str] = set()
    for _event_ms, order, item in sort_events(served, changes):
        if isinstance(item, EngineChange):
            apply_change(caches, item, n_cache_tokens)
        elif item.chat in known_chats and order == STARTED:
            yield ReuseOpportunity(item, count_reusable_tokens(caches, item))
        elif order == ENDED:
            known_chats.add(item.chat)
            cache = caches.setdefault(item.engine, EngineCache(n_cache_tokens))
            cache.store_context(item.chat, item.n_prompt_tokens + item.n_answer_tokens)


CHANGED, ENDED, STARTED = range(3)


def sort_events(
    served: Sequence[ServedTurn], changes: Iterable[EngineChange]
) -> list[tuple]:
    """Sort changes, turn ends and turn starts by time; ties are in this order."""
    events = [(change.at_ms, CHANGED, change) for change in changes]
    events += [(turn.end_ms, ENDED, turn) for turn in served]
    events += [(turn.start_ms, STARTED, turn) for turn in served]
    return sorted(events, key=lambda event: event[:2])


def apply_change(
    caches: dict[str, EngineCache], change: EngineChange, n_cache_tokens: int
) -> None:
    """Apply an engine's loss, unreachability or return to the caches."""
    if change.event is Event.LOST:
        caches.pop(change.engine, None)
        return
    cache = caches.setdefault(change.engine, EngineCache(n_cache_tokens))
    cache.unreachable = change.event is Event.AWAY


def count_reusable_tokens(caches: dict[str, EngineCache], turn: ServedTurn) -> int:
    """Return the largest reusable token count of a turn over all reachable engines.

    Only whole blocks count, and at least one prompt token is always computed.
    """
    n_cached_by_engine = [
        cache.contexts.get(turn.chat, 0)
        for cache in caches.values()
        if not cache.unreachable
    ]
    n_in_whole_blocks = (
        max(n_cached_by_engine, default=0) // TOKENS_PER_BLOCK * TOKENS_PER_BLOCK
    )
    return max(0, min(n_in_whole_blocks, turn.n_prompt_tokens - 1))
