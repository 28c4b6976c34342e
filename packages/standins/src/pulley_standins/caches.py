"""A bounded prefix cache of blocks of prompt text, with LRU eviction."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b

CHARACTERS_PER_TOKEN = 4
TOKENS_PER_BLOCK = 16
BLOCK_CHARACTERS = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK
BLOCK_ID_BYTES = 8


def count_tokens(text: str) -> int:
    """Return the number of tokens in a text: one per four characters, rounded up."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def hash_blocks(text: str) -> Iterator[bytes]:
    """Yield an id for each complete block of a text.

    Each id also depends on all text before its block; an incomplete block at the
    end has none.
    """
    block = b""
    for end in range(BLOCK_CHARACTERS, len(text) + 1, BLOCK_CHARACTERS):
        piece = text[end - BLOCK_CHARACTERS : end].encode()
        block = blake2b(block + piece, digest_size=BLOCK_ID_BYTES).digest()
        yield block


@dataclass(slots=True)
class PrefixCache:
    """The cached blocks of an engine, and the last known blocks of each chat.

    ``max_blocks`` limits both the blocks and the chats. ``n_hit_tokens`` and
    ``n_queried_tokens`` are totals since the engine started.
    """

    max_blocks: int
    blocks: OrderedDict[bytes, None] = field(default_factory=OrderedDict)
    chats: OrderedDict[str, list[bytes]] = field(default_factory=OrderedDict)
    n_hit_tokens: int = 0
    n_queried_tokens: int = 0

    @property
    def usage(self) -> float:
        """The share of the cache in use, from 0 to 1."""
        return len(self.blocks) / max(1, self.max_blocks)


def match_prefix(cache: PrefixCache, text: str) -> int:
    """Return how many leading tokens of ``text`` are cached.

    Leaves at least one token to prefill. Marks the matched blocks as used and
    updates the totals.
    """
    n_matched_tokens = 0
    for block in hash_blocks(text):
        if block not in cache.blocks:
            break
        cache.blocks.move_to_end(block)
        n_matched_tokens += TOKENS_PER_BLOCK
    n_cached_tokens = max(0, min(n_matched_tokens, count_tokens(text) - 1))
    cache.n_hit_tokens += n_cached_tokens
    cache.n_queried_tokens += count_tokens(text)
    return n_cached_tokens


def cache_text(cache: PrefixCache, chat: str, text: str):
    """Cache the blocks of a chat's text and evict the least recently used."""
    cache_blocks(cache, chat, list(hash_blocks(text)))


def cache_blocks(cache: PrefixCache, chat: str, blocks: list[bytes]):
    """Cache the blocks of a chat and evict the least recently used.

    The last blocks of a prefix are evicted before its first ones.
    """
    for block in reversed(blocks):
        cache.blocks[block] = None
        cache.blocks.move_to_end(block)
    if chat:
        cache.chats[chat] = blocks
        cache.chats.move_to_end(chat)
    while len(cache.blocks) > cache.max_blocks:
        cache.blocks.popitem(last=False)
    while len(cache.chats) > cache.max_blocks:
        cache.chats.popitem(last=False)


def find_cached_blocks(cache: PrefixCache, chat: str) -> list[bytes]:
    """Return the leading blocks of a chat that are still cached."""
    cached = []
    for block in cache.chats.get(chat, []):
        if block not in cache.blocks:
            break
        cached.append(block)
    return cached
