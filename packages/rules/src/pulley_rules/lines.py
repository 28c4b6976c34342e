"""Split a line of the rules file into its words and its comment."""

import re
from dataclasses import dataclass

WORD = re.compile(r"\S+")
COMMENT = re.compile(r"(?:^|(?<=\s))#")


@dataclass(frozen=True, slots=True)
class Word:
    """One word of a line and its start column, counted from 1."""

    text: str
    column: int


@dataclass(frozen=True, slots=True)
class Line:
    """One line: its number, counted from 1, its words and its comment.

    ``comment`` is the text after ``#`` without surrounding whitespace, or None if
    the line has no comment. ``comment_column`` counts from 1 and is the column
    after the last character if there is no comment.
    """

    number: int
    words: tuple[Word, ...]
    comment: str | None
    comment_column: int


def split_line(number: int, text: str) -> Line:
    """Split the text of line ``number`` into its words and its comment."""
    start = COMMENT.search(text)
    body = text[: start.start()] if start else text
    words = tuple(Word(m.group(), m.start() + 1) for m in WORD.finditer(body))
    comment = text[start.end() :].strip() if start else None
    column = start.start() + 1 if start else len(text) + 1
    return Line(number, words, comment, column)


def parse_author(comment: str) -> str:
    """Return who asked for a rule: the part of its comment before the colon."""
    return comment.partition(":")[0].strip()
