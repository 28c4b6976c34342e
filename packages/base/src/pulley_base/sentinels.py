"""Sentinel values for a missing result, with the reason why it is missing."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Sentinel:
    """A falsy result that states why there is no value.

    Functions return a sentinel if a missing value is a normal outcome, and raise
    an error if it is not. Sentinels are equal if their names are equal.

    >>> absent = Sentinel("absent", "no such key")
    >>> bool(absent), absent.reason
    (False, 'no such key')
    """

    name: str
    reason: str = field(default="", compare=False)

    def __bool__(self) -> bool:
        return False

    def because(self, reason: str) -> "Sentinel":
        """Return an equal sentinel with a more precise reason."""
        return Sentinel(self.name, reason)


ABSENT = Sentinel("absent", "there is no value")
UNKNOWN = Sentinel("unknown", "the reply was lost; the effect is not known")
UNAVAILABLE = Sentinel("unavailable", "the service can't be reached")
