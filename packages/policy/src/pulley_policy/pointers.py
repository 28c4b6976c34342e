"""Track which endpoint has a chat's context warm, by soft pointers.

A chat's home keeps the pointers in a bounded table. They are hints: a wrong or
missing one costs a cold start, never a wrong answer. Each endpoint also keeps which
chats it has warm itself and which homes it has notified, so that it can notify the
new homes after a change.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from pulley_base import ABSENT, Sentinel

from .placement import DIGEST_BYTES

MAX_POINTERS = 4_096
MAX_WARM_CHATS = 4_096
MAX_CHATS_PER_NOTICE = 64


@dataclass(slots=True)
class PointerTable:
    """The endpoints that have chats warm, by chat.

    The least recently used pointers are evicted first.
    """

    max_chats: int = MAX_POINTERS
    endpoints: OrderedDict[bytes, str] = field(default_factory=OrderedDict)

    def set(self, chat: bytes, endpoint: str) -> None:
        """Record that ``endpoint`` has ``chat`` warm."""
        self.endpoints[chat] = endpoint
        self.endpoints.move_to_end(chat)
        while len(self.endpoints) > self.max_chats:
            self.endpoints.popitem(last=False)

    def find(self, chat: bytes) -> str | Sentinel:
        """Return the endpoint that has ``chat`` warm, or ABSENT."""
        endpoint = self.endpoints.get(chat, ABSENT)
        if endpoint:
            self.endpoints.move_to_end(chat)
        return endpoint

    def remove_if(self, chat: bytes, endpoint: str) -> None:
        """Remove the pointer of ``chat`` if it still names ``endpoint``."""
        if self.endpoints.get(chat) == endpoint:
            del self.endpoints[chat]

    def remove(self, chat: bytes) -> None:
        """Remove the pointer of ``chat``, such as when it is warm here now."""
        self.endpoints.pop(chat, None)

    def drop_endpoint(self, endpoint: str) -> int:
        """Remove every pointer to an endpoint; return the number removed."""
        stale = [chat for chat, name in self.endpoints.items() if name == endpoint]
        for chat in stale:
            del self.endpoints[chat]
        return len(stale)


@dataclass(slots=True)
class WarmChat:
    """One warm chat: the homes that were notified, and its context in tokens."""

    notified_homes: tuple[str, ...] = ()
    n_tokens: int = 0


@dataclass(slots=True)
class WarmChats:
    """The chats that this endpoint has warm.

    The least recently served ones are evicted first.
    """

    max_chats: int = MAX_WARM_CHATS
    chats: OrderedDict[bytes, WarmChat] = field(default_factory=OrderedDict)
    to_refresh: list[bytes] = field(default_factory=list)

    def touch(self, chat: bytes, n_tokens: int = 0) -> None:
        """Record that the endpoint has just served ``chat``.

        ``n_tokens`` is the size of its context; the larger value is kept.
        """
        warm = self.chats.setdefault(chat, WarmChat())
        warm.n_tokens = max(warm.n_tokens, n_tokens)
        self.chats.move_to_end(chat)
        while len(self.chats) > self.max_chats:
            self.chats.popitem(last=False)

    def count_tokens(self, chat: bytes) -> int:
        """Return the size of a chat's warm context in tokens, 0 if it is cold."""
        warm = self.chats.get(chat)
        return warm.n_tokens if warm is not None else 0

    def drop(self, chat: bytes) -> None:
        """Record that the endpoint evicted ``chat``."""
        self.chats.pop(chat, None)

    def refresh(self, n_chats: int) -> None:
        """Mark the homes of the next ``n_chats`` as not notified.

        Notices may be lost, so each chat's notice is sent again in turn.
        """
        if not self.to_refresh:
            self.to_refresh = list(self.chats)
        for _ in range(min(n_chats, len(self.to_refresh))):
            warm = self.chats.get(self.to_refresh.pop())
            if warm is not None:
                warm.notified_homes = ()

    def iterate_most_recent(self) -> Iterator[bytes]:
        """Yield the chats, the most recently served first."""
        return iter(list(reversed(self.chats)))


@dataclass(frozen=True, slots=True)
class Notice:
    """Pointers for one home: ``endpoint`` has ``chats`` warm."""

    home: str
    endpoint: str
    chats: tuple[bytes, ...]


def find_pending_notices(
    warm: WarmChats, endpoint: str, find_homes: Callable[[bytes], tuple[str, ...]]
) -> Iterator[Notice]:
    """Yield notices for the warm chats whose homes have not been notified.

    ``find_homes`` returns a chat's home and the endpoint ranked second, which replaces
    the home when that is gone. The homes are marked as notified; call again after a
    change of members. A chat whose home is this endpoint needs no notice.
    """
    moved: dict[str, list[bytes]] = {}
    for chat, warm_chat in list(warm.chats.items()):
        homes = find_homes(chat)
        if homes == warm_chat.notified_homes:
            continue
        homes_to_notify = [
            home for home in homes if home not in warm_chat.notified_homes
        ]
        warm_chat.notified_homes = homes
        if endpoint in homes[:1]:
            continue
        for home in homes_to_notify:
            if home != endpoint:
                moved.setdefault(home, []).append(chat)
    for home, chats in moved.items():
        yield from split_into_notices(home, endpoint, chats)


def find_handover_notices(
    table: PointerTable, endpoint: str, find_homes: Callable[[bytes], tuple[str, ...]]
) -> Iterator[Notice]:
    """Remove and yield the pointers of this table that now belong to other homes."""
    moved: dict[tuple[str, str], list[bytes]] = {}
    for chat, target in list(table.endpoints.items()):
        homes = find_homes(chat)
        if endpoint in homes:
            continue
        table.remove_if(chat, target)
        for home in homes:
            moved.setdefault((home, target), []).append(chat)
    for (home, target), chats in moved.items():
        yield from split_into_notices(home, target, chats)


def split_into_notices(
    home: str, endpoint: str, chats: Sequence[bytes]
) -> Iterator[Notice]:
    """Split a list of chats into notices that each fit a datagram."""
    for start in range(0, len(chats), MAX_CHATS_PER_NOTICE):
        yield Notice(home, endpoint, tuple(chats[start : start + MAX_CHATS_PER_NOTICE]))


def join_digests(chats: Iterable[bytes]) -> bytes:
    """Return the digests concatenated, as a message carries them."""
    return b"".join(chats)


def split_digests(data: bytes) -> Iterator[bytes]:
    """Yield the digests of a message, without a truncated last one."""
    for start in range(0, len(data) - DIGEST_BYTES + 1, DIGEST_BYTES):
        yield data[start : start + DIGEST_BYTES]
