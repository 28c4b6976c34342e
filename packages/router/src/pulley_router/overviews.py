"""The fleet's state on one page, from the status pages of its processes."""

from collections import Counter

from pulley_base import Sentinel

from .consoles import Console


def describe_fleet(
    console: Console, statuses: dict[str, dict | Sentinel], revision: int
) -> dict:
    """Return the fleet's state as the document of ``--json``."""
    processes = [
        describe_process(instance.role, instance.address, statuses[instance.address])
        for instance in console.instances
    ]
    refusals: Counter = Counter()
    for process in processes:
        refusals.update(process.get("refusals", {}))
    revisions = [process.get("revision", 0) for process in processes]
    return {
        "revision": revision,
        "n_in_force": sum(held >= max(1, revision) for held in revisions),
        "n_processes": len(processes),
        "quarantined": sorted(
            {
                digest
                for process in processes
                for digest in process.get("quarantined", ())
            }
        ),
        "refusals": dict(refusals.most_common()),
        "processes": processes,
    }


def describe_process(role: str, address: str, status: dict | Sentinel) -> dict:
    """Return one process's state, or why its status page is missing."""
    if isinstance(status, Sentinel):
        return {"role": role, "peer": address, "missing": status.reason}
    return status | {"role": role, "peer": address}


def format_fleet(fleet: dict) -> str:
    """Format the fleet's state as text, one line for each process."""
    lines = [
        f"revision {fleet['revision']}: in force at {fleet['n_in_force']} "
        f"of {fleet['n_processes']}",
    ]
    for role in ("router", "agent"):
        lines += [
            format_process(process)
            for process in fleet["processes"]
            if process["role"] == role
        ]
    lines.append(f"quarantined: {', '.join(fleet['quarantined']) or 'none'}")
    for reason, n_refused in fleet["refusals"].items():
        lines.append(f"refused {reason}: {n_refused}")
    return "\n".join(lines)


def format_process(process: dict) -> str:
    """Format one process's state as one line."""
    head = f"{process['role']:6} {process['peer']}"
    if "missing" in process:
        return f"{head} no answer: {process['missing']}"
    state = "leaving" if process.get("draining") else "live"
    parts = [head, state, f"revision={process['revision']}"]
    if process["role"] == "router":
        parts.append(f"in-flight={process['n_in_flight']}")
    else:
        parts += [
            f"service={process['service']}",
            f"engine={process['engine']}",
            f"running={process['n_running']}",
            f"waiting={process['n_waiting']}",
            f"load={process['load']}/{process['bound']}",
        ]
    if process.get("rejected_revision", 0) > process["revision"]:
        parts.append(f"refused-revision={process['rejected_revision']}")
    return " ".join(parts)
