"""A rules file of the target fleet's size, and what it costs to parse it."""

import time
import tracemalloc
from hashlib import sha256

from target_fleet import N_TEAMS

from pulley_rules import parse_rules


def make_large_file() -> str:
    """Build a rules file of 3,000 teams with tokens and typical comments."""
    lines = ["service consiglio load-multiple=1.5 deadline=60s  # maria: quotes"]
    for number in range(N_TEAMS):
        token = sha256(str(number).encode()).hexdigest()
        lines.append(
            f"team team-{number:04d} weight={1 + number % 5} max-running={number % 50} "
            f"token-sha256={token}  # op{number % 7}: asked for by the community"
        )
    return "\n".join(lines) + "\n"


def measure_parser() -> dict[str, float]:
    """Measure time and memory to parse and check a file of 3,000 teams."""
    text = make_large_file()
    start_s = time.process_time()
    rules = parse_rules(text, 1)
    full_s = time.process_time() - start_s
    changed = text.replace("team-1500 weight=1", "team-1500 weight=9")
    start_s = time.process_time()
    parse_rules(changed, 2, rules)
    changed_s = time.process_time() - start_s
    del rules
    tracemalloc.start()
    rules = parse_rules(text, 1)
    n_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "parse_3000_teams_ms": full_s * 1_000,
        "parse_changed_ms": changed_s * 1_000,
        "rules_3000_teams_mb": (n_bytes + len(rules.text)) / 1e6,
        "rules_3000_teams_kb": len(text) / 1e3,
    }
