"""Text of prompts and answers; the same prompt always gets the same answer."""

from collections.abc import Iterator
from hashlib import blake2b

WORDS = (
    "ash oak elm fir box yew bay fig pin cut fit rim tip end top sap "
    "hoe axe saw awl adz hub peg nut rod bar cap jig bit die vat tin "
    "pot jar lid tub gum wax oil tar dry wet hot old new raw set mix "
    "pad rub oak lap dab dip pry tap nip bow arc two six ten one and"
).split()
WORDS_PER_DIGEST = 64
MIN_ANSWER_TOKENS = 24
ANSWER_RANGE_TOKENS = 64


def render_prompt(messages: list[dict]) -> str:
    """Render messages as one prompt that ends where the assistant's answer begins."""
    turns = (f"<|{m['role']}|>\n{message_text(m)}\n" for m in messages)
    return "".join(turns) + "<|assistant|>\n"


def message_text(message: dict) -> str:
    """Return a message's text; its content is a string, a list of parts or None."""
    content = message.get("content") or ""
    if isinstance(content, str):
        return content
    return "".join(part.get("text", "") for part in content)


def answer_seed(prompt: str) -> bytes:
    """Return the 16-byte digest that determines a prompt's answer."""
    return blake2b(prompt.encode(), digest_size=16).digest()


def natural_length_tokens(seed: bytes) -> int:
    """Return the length of a prompt's answer in tokens if no limit applies."""
    return MIN_ANSWER_TOKENS + seed[0] % ANSWER_RANGE_TOKENS


def answer_tokens(seed: bytes, start: int = 0) -> Iterator[str]:
    """Yield an endless sequence of answer tokens, from token ``start`` on.

    Each token is a word of three letters and a space, so that an answer has
    four characters per token.
    """
    index = start
    while True:
        digest_index, offset = divmod(index, WORDS_PER_DIGEST)
        digest = blake2b(
            seed + digest_index.to_bytes(4, "big"), digest_size=64
        ).digest()
        for byte in digest[offset:]:
            yield WORDS[byte % len(WORDS)] + " "
            index += 1
