"""Problems of a rules file, each with its line and column."""

from dataclasses import dataclass
from difflib import get_close_matches

from pulley_base import PulleyError


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One problem in a rules file.

    ``line`` and ``column`` count from 1. ``found`` is empty if something is missing.
    ``suggestion`` is the closest allowed word, or empty if none is close.
    """

    line: int
    column: int
    found: str
    expected: str
    suggestion: str = ""

    def __str__(self) -> str:
        text = (
            f"line {self.line}, column {self.column}: found {self.found or 'nothing'}"
        )
        text += f", expected {self.expected}"
        return f"{text}; did you mean {self.suggestion}?" if self.suggestion else text


class RulesError(PulleyError):
    """An invalid rules file; ``problems`` lists all its problems in file order."""

    def __init__(self, problems: list[Problem], *, step: str = "parse"):
        self.problems = sorted(problems)
        super().__init__("\n".join(map(str, self.problems)), step=step)


def suggest_word(found: str, allowed) -> str:
    """Return the closest word of ``allowed``, or an empty string if none is close."""
    return next(iter(get_close_matches(found, allowed, n=1)), "")
