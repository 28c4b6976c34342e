"""Prepare an operator's edit of the rules for storing."""

from dataclasses import dataclass

from pulley_base import Sentinel

from .errors import RulesError
from .following import RulesText
from .headers import (
    MAX_NONCES,
    Header,
    find_revision,
    join_header,
    split_header,
)
from .merges import MergeConflict, merge_texts
from .parsers import parse_rules

UNCHANGED = Sentinel("unchanged", "the stored rules already have this text")


@dataclass(frozen=True, slots=True)
class StoredFile:
    """The file in the store; ``mod_revision`` is 0 if the store has no file."""

    text: str = ""
    mod_revision: int = 0


@dataclass(frozen=True, slots=True)
class PreparedEdit:
    """A text to store if the key's ``mod_revision`` is still ``expected_revision``."""

    text: str
    expected_revision: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why an edit can't be stored: conflicts, or the problems of the merged file."""

    conflicts: tuple[MergeConflict, ...] = ()
    error: RulesError | None = None


def prepare_edit(
    base: str, mine: str, current: StoredFile, highest: RulesText, nonce: str
) -> PreparedEdit | Refusal | Sentinel:
    """Merge an edit into the latest accepted rules.

    ``base`` and ``mine`` are rules without a header. ``highest`` is the text with
    the highest revision that any process is known to hold, at revision 0 if none
    answered. It replaces a stored file that is missing, damaged or outdated, and
    the new revision exceeds it. Returns UNCHANGED if there is nothing to store.
    """
    is_current = is_valid(current) and stored_revision(current) >= highest.revision
    header, theirs = split_header(current.text if is_current else highest.text)
    merge = merge_texts(base, mine, theirs)
    if merge.conflicts:
        return Refusal(conflicts=merge.conflicts)
    try:
        parse_rules(merge.text)
    except RulesError as error:
        return Refusal(error=error)
    if merge.text == theirs and is_current:
        return UNCHANGED
    min_offset = highest.revision - current.mod_revision
    nonces = (nonce, *header.nonces)[:MAX_NONCES]
    text = join_header(Header(nonces, max(header.offset, min_offset)), merge.text)
    return PreparedEdit(text, current.mod_revision)


def stored_revision(stored: StoredFile) -> int:
    """Return the revision of the file in the store."""
    return find_revision(stored.text, stored.mod_revision)


def is_valid(stored: StoredFile) -> bool:
    """Check whether the store holds a file and it is valid."""
    try:
        parse_rules(stored.text)
    except RulesError:
        return False
    return stored.mod_revision > 0


def contains_nonce(text: str, nonce: str) -> bool:
    """Check whether a stored text includes the write that ``nonce`` identifies."""
    return nonce in split_header(text)[0].nonces
