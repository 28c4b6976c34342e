"""A watcher's copy of what the store holds, from which it answers its followers."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Followers that lag behind by more changes read everything.
MAX_REMOVALS = 1_024


@dataclass(frozen=True, slots=True)
class StoredItem:
    """One item as the store holds it; ``value`` is None for a removal.

    ``revision`` is the store's number of the change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True)
class Mirror:
    """The store's items by key, and the removals since ``complete_after``.

    ``revision`` is the store's number up to which everything is included, ``era`` the
    store's, None if unknown. Removals at or before the revision ``complete_after`` are
    not known.
    """

    revision: int
    era: int | None
    complete_after: int
    items: dict[str, StoredItem] = field(default_factory=dict)
    removed: dict[str, StoredItem] = field(default_factory=dict)


def build_mirror(items: Iterable[StoredItem], revision: int, era: int | None) -> Mirror:
    """Return the copy of a store that was read as a whole at ``revision``."""
    mirror = Mirror(revision, era, complete_after=revision)
    record_items(mirror, items, revision)
    return mirror


def record_items(mirror: Mirror, items: Iterable[StoredItem], revision: int) -> None:
    """Apply changes up to ``revision``, in the order of the store."""
    for item in items:
        if item.value is not None:
            mirror.items[item.key] = item
            mirror.removed.pop(item.key, None)
        elif mirror.items.pop(item.key, None) is not None:
            mirror.removed[item.key] = item
    mirror.revision = max(mirror.revision, revision)
    while len(mirror.removed) > MAX_REMOVALS:
        # In the order of their removal.
        oldest = next(iter(mirror.removed))
        mirror.complete_after = mirror.removed.pop(oldest).revision


def covers(mirror: Mirror, revision: int) -> bool:
    """Check whether all changes since ``revision`` are known."""
    return revision >= mirror.complete_after


def items_after(mirror: Mirror, revision: int) -> list[StoredItem]:
    """Return the changes since ``revision``, in order, of each key the last one."""
    changed = [
        item
        for items in (mirror.items, mirror.removed)
        for item in items.values()
        if item.revision > revision
    ]
    return sorted(changed, key=lambda item: item.revision)
