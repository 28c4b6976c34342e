"""Make and apply deltas between the texts of two revisions."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from difflib import SequenceMatcher
from hashlib import blake2b

from pulley_base import Sentinel

DIGEST_BYTES = 16
MISMATCH = Sentinel("mismatch", "the resulting text does not have the delta's digest")


@dataclass(frozen=True, slots=True)
class Edit:
    """Replace ``n_removed`` base lines from ``line``, counted from 0, by ``added``."""

    line: int
    n_removed: int
    added: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Delta:
    """The edits that turn the text at revision ``base`` into the one at ``revision``.

    ``edits`` are in file order and don't overlap. ``digest`` is the digest of the
    resulting text.
    """

    base: int
    revision: int
    edits: tuple[Edit, ...]
    digest: bytes


def split_text(text: str) -> tuple[str, ...]:
    """Split a text into lines at line feeds; ``join_lines`` reverses this exactly."""
    return tuple(text.split("\n"))


def join_lines(lines: Sequence[str]) -> str:
    """Return the lines joined by line feeds."""
    return "\n".join(lines)


def digest_text(text: str) -> bytes:
    """Return the 16-byte BLAKE2b digest of a text."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def compare_lines(before: Sequence[str], after: Sequence[str]) -> Iterator[Edit]:
    """Yield the edits that turn one list of lines into another."""
    n_prefix = count_common_prefix(before, after)
    n_rest = min(len(before), len(after)) - n_prefix
    n_suffix = min(n_rest, count_common_prefix(before[::-1], after[::-1]))
    old = before[n_prefix : len(before) - n_suffix]
    new = after[n_prefix : len(after) - n_suffix]
    matcher = SequenceMatcher(None, old, new, autojunk=False)
    for tag, old_start, old_end, new_start, new_end in matcher.get_opcodes():
        if tag != "equal":
            yield Edit(
                n_prefix + old_start,
                old_end - old_start,
                tuple(new[new_start:new_end]),
            )


def count_common_prefix(before: Sequence[str], after: Sequence[str]) -> int:
    """Return the number of equal leading lines."""
    n_equal = 0
    for old, new in zip(before, after):
        if old != new:
            break
        n_equal += 1
    return n_equal


def make_delta(
    base: int, before: Sequence[str], revision: int, after: Sequence[str]
) -> Delta:
    """Return the delta between the lines of two revisions.

    >>> make_delta(1, ["a", "b"], 2, ["a", "c"]).edits
    (Edit(line=1, n_removed=1, added=('c',)),)
    """
    edits = tuple(compare_lines(before, after))
    return Delta(base, revision, edits, digest_text(join_lines(after)))


def apply_delta(lines: Sequence[str], delta: Delta) -> tuple[str, ...] | Sentinel:
    """Return the lines after a delta.

    Returns MISMATCH if an edit lies outside the text or the digest of the result
    differs from the delta's.
    """
    result: list[str] = []
    position = 0
    for edit in delta.edits:
        if not position <= edit.line <= edit.line + edit.n_removed <= len(lines):
            return MISMATCH.because("an edit's lines lie outside the text")
        result.extend(lines[position : edit.line])
        result.extend(edit.added)
        position = edit.line + edit.n_removed
    result.extend(lines[position:])
    if digest_text(join_lines(result)) != delta.digest:
        return MISMATCH
    return tuple(result)
