"""Rows of the capacity table: calls to the store, its size, and events in the fleet."""

from collections.abc import Iterator

from capacity_rows import Measurements, Row, make_row
from target_fleet import (
    CHANGES_PER_DAY,
    CLAIM_WINDOW_S,
    COMPACTION_S,
    DAY_S,
    FAILED_PER_DAY,
    HOUR_S,
    N_CHATS,
    N_DATA_CENTRES,
    N_ENGINES,
    N_PROCESSES,
    N_REGIONS,
    N_SERVICES,
    N_WINDOWS_KEPT,
    NON_IDEMPOTENT_SHARE,
    REPLACED_PER_DAY,
    REQUESTS_PER_S,
    STORE_CALLS_PER_S_BUDGET,
    STORE_GB_BUDGET,
    STORE_WRITES_PER_S_BUDGET,
)

RULES_READS_PER_S = 4.0
WINDOW_READS_PER_S = 2.0
SUSPECT_READS_PER_S = 1.0
CALLS_PER_APPLY = 3
CALLS_PER_START = 3


def estimate_known_processes() -> float:
    """Return the mean number of processes that an agent knows.

    These are all processes of its data centre, and the agents of its service in
    other data centres.
    """
    n_local = N_PROCESSES / N_DATA_CENTRES
    n_remote = N_ENGINES / N_SERVICES * (1 - 1 / N_DATA_CENTRES)
    return n_local + n_remote


def list_store_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield the calls to the store and the size of the data in it."""
    changes = CHANGES_PER_DAY / DAY_S
    claims = REQUESTS_PER_S * NON_IDEMPOTENT_SHARE
    starts = REPLACED_PER_DAY / DAY_S

    def shared_calls():
        n_sharing_groups = N_PROCESSES / estimate_known_processes()
        figure = (
            (RULES_READS_PER_S + 2 * WINDOW_READS_PER_S) * n_sharing_groups
            + CALLS_PER_APPLY * changes
            + CALLS_PER_START * starts
        )
        return figure, (
            f"(4 + 2 x 2) x 12,600 / {estimate_known_processes():,.0f} "
            f"+ 3 x {changes:.2f} + 3 x {starts:.3f}"
        )

    def suspect_reads():
        n_groups = N_SERVICES * N_DATA_CENTRES
        return SUSPECT_READS_PER_S * n_groups, "11 x 26 x 1 / s"

    def claims_size():
        size = measurements.get_metric("tables", "claim_bytes")
        figure = claims * CLAIM_WINDOW_S * N_WINDOWS_KEPT * size / 1e9
        return figure, f"1,300 / s x 43,200 s x 2 x {size:.0f} B"

    def old_revisions():
        size = measurements.get_metric("config", "rules_3000_teams_kb")
        return (
            size * changes * COMPACTION_S / 1_000,
            f"{size:.0f} KB x {changes:.2f} / s x 300 s",
        )

    store = "store"
    yield make_row(
        store,
        "calls for rules, windows, starts",
        shared_calls,
        "1/s",
        STORE_CALLS_PER_S_BUDGET,
        "reads shared out by rate among the processes that each knows",
    )
    yield make_row(
        store,
        "reads of suspects",
        suspect_reads,
        "1/s",
        STORE_CALLS_PER_S_BUDGET,
        "shared out in a service and data centre; rumours go ahead of them",
    )
    yield make_row(
        store,
        "calls if each process watched the rules",
        lambda: (N_PROCESSES * changes, f"12,600 x {changes:.2f} / s"),
        "1/s",
        STORE_CALLS_PER_S_BUDGET,
        "not built: each event of a watch is a call",
    )
    yield make_row(
        store,
        "claims, one write each",
        lambda: (claims, "26,000 / s x 5% non-idempotent"),
        "1/s",
        STORE_WRITES_PER_S_BUDGET,
        "built so; see below for the grouped form",
    )
    yield make_row(
        store,
        "claims, grouped by data centre",
        lambda: (N_DATA_CENTRES * 10.0, "26 x 10 writes / s of 5 claims"),
        "1/s",
        STORE_WRITES_PER_S_BUDGET,
        "not built",
    )
    yield make_row(
        store,
        "claims held",
        claims_size,
        "GB",
        STORE_GB_BUDGET,
        "two windows of 12 h; a shorter one holds",
    )
    yield make_row(
        store,
        "suspects",
        lambda: (FAILED_PER_DAY / DAY_S, "110 / day, one write a crash"),
        "1/s",
        STORE_WRITES_PER_S_BUDGET,
        "one write a crash",
    )
    yield make_row(
        store,
        "old revisions kept, compacted each 5 min",
        old_revisions,
        "MB",
        None,
        "the store's own history; compaction is the platform's",
    )


def list_event_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield the cost of joins, leaves, and the loss of a data centre or region."""
    n_per_data_centre = N_PROCESSES / N_DATA_CENTRES
    n_per_region = N_PROCESSES / N_REGIONS
    changes = CHANGES_PER_DAY / DAY_S

    def data_centre_rejoin():
        return n_per_data_centre * CALLS_PER_START, "485 processes x 3 calls within 1 s"

    def catch_up():
        size = measurements.get_metric("config", "rules_3000_teams_kb")
        return n_per_region * size / 1_000, f"1,400 processes x {size:.0f} KB"

    yield make_row(
        "event",
        "joins and leaves in a data centre",
        lambda: (REPLACED_PER_DAY / DAY_S / N_DATA_CENTRES, "4,600 / day / 26"),
        "1/s",
        None,
        "list reads, notices to new homes",
    )
    yield make_row(
        "event",
        "a data centre lost: chats without a home",
        lambda: (N_CHATS / N_DATA_CENTRES, "9.7 million / 26"),
        "",
        None,
        "cold starts elsewhere; the rest is untouched",
    )
    yield make_row(
        "event",
        "a data centre back at once: store calls",
        data_centre_rejoin,
        "1/s",
        STORE_CALLS_PER_S_BUDGET,
        "the first reads of a process are not shared out",
    )
    yield make_row(
        "event",
        "a region cut off for an hour: changes missed",
        lambda: (changes * HOUR_S, f"{changes:.2f} / s x 3,600 s"),
        "",
        None,
        "over 32 versions: a full copy each, not deltas",
    )
    yield make_row(
        "event",
        "the same: bytes to catch up, in all",
        catch_up,
        "MB",
        None,
        "one copy a process, from peers that have it",
    )
