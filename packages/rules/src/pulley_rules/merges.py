"""Merge two edits of a rules file by lines, given their common base."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from .deltas import Edit, compare_lines, join_lines, split_text
from .grammar import SYNTAXES
from .lines import parse_author, split_line

N_IDENTITY_WORDS = {"service": 2, "team": 2, "call": 4, "hold": 3, "drain": 3}


@dataclass(frozen=True, slots=True)
class MergeConflict:
    """Two incompatible changes of one rule.

    ``mine`` and ``theirs`` are the two lines, empty if the rule was removed.
    ``base`` is the line that both started from, empty for a new rule.
    """

    base: str
    mine: str
    theirs: str

    def __str__(self) -> str:
        return "\n".join(
            (
                f"  was:    {self.base or '(no such rule)'}",
                f"  yours:  {self.mine or '(removed)'}{format_author(self.mine)}",
                f"  theirs: {self.theirs or '(removed)'}{format_author(self.theirs)}",
            )
        )


@dataclass(frozen=True, slots=True)
class Merge:
    """The merged text, which is empty if there are conflicts."""

    text: str
    conflicts: tuple[MergeConflict, ...] = ()


@dataclass(slots=True)
class Changes:
    """One side's changes, by the index of the base line, counted from 0.

    ``replaced`` maps a line to its new text, None if it was removed. ``added`` maps
    a line to the lines inserted before it.
    """

    replaced: dict[int, str | None] = field(default_factory=dict)
    added: dict[int, list[str]] = field(default_factory=dict)


def format_author(line: str) -> str:
    """Return a note that names who asked for a line, empty if its comment does not."""
    author = parse_author(split_line(1, line).comment or "")
    return f"   (asked for by {author})" if author else ""


def identify_line(line: str) -> tuple[str, ...]:
    """Return the words that identify a rule; empty for a line without a rule."""
    words = [word.text for word in split_line(1, line).words]
    if not words or words[0] not in SYNTAXES:
        return ()
    return tuple(words[: N_IDENTITY_WORDS.get(words[0], len(words))])


def merge_texts(base: str, mine: str, theirs: str) -> Merge:
    """Merge two texts that were both edited from ``base``.

    Changes of different lines are both kept, and so are lines added at the same
    place, theirs first. Two different changes of one rule, and two different
    new lines for one rule, are conflicts. A renamed rule counts as one rule removed
    and another added, and so does a changed comment line.

    >>> merge_texts("a\\nb", "A\\nb", "a\\nB").text
    'A\\nB'
    """
    lines = split_text(base)
    my_changes = collect_changes(lines, split_text(mine))
    their_changes = collect_changes(lines, split_text(theirs))
    conflicts: list[MergeConflict] = []
    result: list[str] = []
    their_added = {line for added in their_changes.added.values() for line in added}
    for index in range(len(lines) + 1):
        result.extend(their_changes.added.get(index, ()))
        result.extend(filter_added_lines(my_changes.added.get(index, ()), their_added))
        if index < len(lines):
            result.extend(
                merge_line(index, lines[index], my_changes, their_changes, conflicts)
            )
    conflicts.extend(find_conflicting_additions(my_changes, their_changes))
    if conflicts:
        return Merge("", tuple(conflicts))
    return Merge(join_lines(result))


def collect_changes(base: tuple[str, ...], edited: tuple[str, ...]) -> Changes:
    """Return one side's changes, sorted into replaced lines and added lines."""
    changes = Changes()
    for edit in compare_lines(base, edited):
        record_edit(base, edit, changes)
    return changes


def record_edit(base: tuple[str, ...], edit: Edit, changes: Changes) -> None:
    """Record the lines that an edit replaces, removes and adds in ``changes``."""
    removed = range(edit.line, edit.line + edit.n_removed)
    matches = match_rules(base, edit)
    for index in removed:
        position = matches.get(index)
        changes.replaced[index] = None if position is None else edit.added[position]
    base_indexes = {position: index for index, position in matches.items()}
    insert_index = edit.line + edit.n_removed
    for position in reversed(range(len(edit.added))):
        if position in base_indexes:
            insert_index = base_indexes[position]
        else:
            changes.added.setdefault(insert_index, []).insert(0, edit.added[position])


def match_rules(base: tuple[str, ...], edit: Edit) -> dict[int, int]:
    """Match removed lines with the added lines of the same rules, in order.

    Returns a map from the index of the base line to that of the added line.
    """
    names = [identify_line(line) for line in edit.added]
    matches: dict[int, int] = {}
    start = 0
    for index in range(edit.line, edit.line + edit.n_removed):
        name = identify_line(base[index])
        if name and name in names[start:]:
            matches[index] = names.index(name, start)
            start = matches[index] + 1
    return matches


def filter_added_lines(lines: Iterable[str], their_added: set[str]) -> Iterator[str]:
    """Yield the lines that the other side has not added, and all blank lines."""
    for line in lines:
        if line not in their_added or not line.strip():
            yield line


def merge_line(
    index: int, line: str, mine: Changes, theirs: Changes, conflicts: list
) -> list[str]:
    """Return a base line after both sides' changes; append any conflict."""
    changes = [
        side.replaced[index] for side in (mine, theirs) if index in side.replaced
    ]
    if not changes:
        return [line]
    if len(changes) == 2 and changes[0] != changes[1]:
        conflicts.append(MergeConflict(line, changes[0] or "", changes[1] or ""))
        return []
    return [] if changes[0] is None else [changes[0]]


def find_conflicting_additions(mine: Changes, theirs: Changes) -> list[MergeConflict]:
    """Return the conflicts of rules that both sides added with different text."""
    their_rules = {
        identify_line(line): line for added in theirs.added.values() for line in added
    }
    my_lines = [line for added in mine.added.values() for line in added]
    candidates = ((line, their_rules.get(identify_line(line))) for line in my_lines)
    return [
        MergeConflict("", line, other)
        for line, other in candidates
        if identify_line(line) and other is not None and other != line
    ]
