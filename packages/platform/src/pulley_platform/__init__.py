"""Clients of the key-value service and of the instance list."""

from .gateway import Compare, DeletePrefix, KeyValue, Put, Target
from .instances import UNCHANGED, BadList, Instance, InstanceList, read_instances
from .stores import (
    Committed,
    Conflict,
    KeyEvent,
    Rejected,
    Store,
    Swapped,
    commit_txn,
    grant_lease,
    read_key,
    read_prefix,
    swap_key,
    watch_key,
)

__all__ = [
    "BadList",
    "Committed",
    "Compare",
    "Conflict",
    "DeletePrefix",
    "Instance",
    "InstanceList",
    "KeyEvent",
    "KeyValue",
    "Put",
    "Rejected",
    "Store",
    "Swapped",
    "Target",
    "UNCHANGED",
    "commit_txn",
    "grant_lease",
    "read_instances",
    "read_key",
    "read_prefix",
    "swap_key",
    "watch_key",
]
