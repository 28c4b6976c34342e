"""Rows of the capacity table: what each process costs."""

from collections.abc import Iterator

from capacity_rows import Measurements, Row, make_row
from target_fleet import (
    BYTES_PER_S_BUDGET,
    CHANGES_PER_DAY,
    CORE_SHARE_BUDGET,
    DAY_S,
    IN_FORCE_S_BUDGET,
    MEMORY_MB_BUDGET,
    N_CHATS,
    N_DATA_CENTRES,
    N_ENGINES,
    N_ROUTERS,
    N_TEAMS,
    REQUESTS_PER_S,
    TOKENS_PER_S,
    VALUE_BYTES_BUDGET,
)


def list_process_rows(measurements: Measurements, role: str) -> Iterator[Row]:
    """Yield the figures of one role, projected over engine and router counts."""
    per_data_centre = N_ENGINES / N_DATA_CENTRES, N_ROUTERS / N_DATA_CENTRES

    def project(kind: str):
        def compute():
            base, per_engine, per_router = (
                measurements.get_metric("control", f"{kind}_per_{role}_{part}")
                for part in ("base", "per_engine", "per_router")
            )
            figure = (
                base + per_engine * per_data_centre[0] + per_router * per_data_centre[1]
            )
            formula = f"{base:.4g} + {per_engine:.3g} x 462 + {per_router:.3g} x 23"
            return figure, formula

        return compute

    yield make_row(
        role,
        "control traffic, idle",
        project("bytes_per_s"),
        "B/s",
        BYTES_PER_S_BUDGET,
        "greetings, means, list and store reads in its data centre",
    )
    yield make_row(
        role,
        "control traffic, loaded",
        project("loaded_bytes_per_s"),
        "B/s",
        BYTES_PER_S_BUDGET,
        "credit, acknowledgements, pointers",
    )
    yield make_row(
        role,
        "processor time for control",
        project("core_share"),
        "cores",
        CORE_SHARE_BUDGET,
        "one loop, one thread",
    )
    yield make_row(
        role,
        "memory above the modules'",
        project("memory_mb"),
        "MB",
        MEMORY_MB_BUDGET,
        "members, connections, tables",
    )


def list_router_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield the figures that only routers have."""
    requests, kilotokens = REQUESTS_PER_S / N_ROUTERS, TOKENS_PER_S / N_ROUTERS / 1_000

    def answer_core_share():
        cost_ms = measurements.get_metric("overhead", "router_ms_per_kilotoken")
        return cost_ms * kilotokens / 1_000, f"{cost_ms:.3g} ms x {kilotokens:.3g} / s"

    yield make_row(
        "router",
        "connections to agents",
        lambda: (N_ENGINES / N_DATA_CENTRES, "12,000 / 26"),
        "",
        None,
        "those of its data centre; others only when a chat leads there",
    )
    yield make_row(
        "router",
        "requests",
        lambda: (requests, "26,000 / 600"),
        "1/s",
        None,
        "the balancer's share",
    )
    yield make_row(
        "router",
        "processor time for answers",
        answer_core_share,
        "cores",
        1.0,
        "frames to chunks; not control",
    )


def list_agent_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield the figures that only agents have."""
    chats = N_CHATS / N_ENGINES

    def table(metric: str):
        def compute():
            size = measurements.get_metric("tables", metric)
            return chats * size / 1e6, f"808 x {size:.0f} B"

        return compute

    yield make_row(
        "agent",
        "connections from routers",
        lambda: (N_ROUTERS / N_DATA_CENTRES, "600 / 26"),
        "",
        None,
        "the routers of its data centre",
    )
    yield make_row(
        "agent",
        "pointer table",
        table("pointer_bytes"),
        "MB",
        MEMORY_MB_BUDGET,
        "one pointer a chat at its home, 4,096 at most",
    )
    yield make_row(
        "agent",
        "warm chats",
        table("warm_chat_bytes"),
        "MB",
        MEMORY_MB_BUDGET,
        "one entry a chat that is warm here, 4,096 at most",
    )


def list_rules_rows(measurements: Measurements) -> Iterator[Row]:
    """Yield the cost to each process of following rules changes."""
    rate = CHANGES_PER_DAY / DAY_S

    def traffic():
        size = measurements.get_metric("config", "bytes_per_change")
        return size * rate, f"{size:.0f} B x {rate:.2f} / s"

    def cpu_share():
        cost_ms = measurements.get_metric("config", "parse_changed_ms")
        return cost_ms * rate / 1_000, f"{cost_ms:.3g} ms x {rate:.2f} / s"

    def memory():
        size = measurements.get_metric("config", "rules_3000_teams_mb")
        return size, f"{size:.3g} MB for 3,000 teams"

    def value():
        size = measurements.get_metric("config", "rules_3000_teams_kb") * 1_000
        return size, f"{size / N_TEAMS:.0f} B x 3,000 teams"

    def propagation_delay():
        max_delay_s = measurements.get_metric("config", "in_force_max_s")
        return max_delay_s, "the worst of one run, 20 processes"

    each_process = "each"
    yield make_row(
        each_process,
        "rules traffic",
        traffic,
        "B/s",
        BYTES_PER_S_BUDGET,
        "deltas to 3 peers",
    )
    yield make_row(
        each_process,
        "rules processor time",
        cpu_share,
        "cores",
        CORE_SHARE_BUDGET,
        "changed lines are parsed, the whole is checked",
    )
    yield make_row(
        each_process,
        "rules memory",
        memory,
        "MB",
        MEMORY_MB_BUDGET,
        "text, lines, rules",
    )
    yield make_row(
        each_process,
        "accepted to in force",
        propagation_delay,
        "s",
        IN_FORCE_S_BUDGET,
        "rumours",
    )
    yield make_row(
        "store", "rules file", value, "B", VALUE_BYTES_BUDGET, "one key, one value"
    )
