"""Metrics that routers and agents publish."""

from prometheus_client import Counter, Gauge

REFUSALS = Counter(
    "plantainpulley_refusals", "Requests refused, by reason", ["service", "reason"]
)
RETRIES = Counter(
    "plantainpulley_retries", "Attempts made again, by reason", ["service", "reason"]
)
RETRIES_DENIED = Counter(
    "plantainpulley_retries_denied",
    "Attempts not made again for want of retry budget, by reason",
    ["service", "reason"],
)
DROPPED_FRAMES = Counter(
    "plantainpulley_dropped_frames", "Frames of no open attempt, by kind", ["kind"]
)
PEERS_CLOSED = Counter(
    "plantainpulley_peers_closed", "Peer connections that ended, by reason", ["reason"]
)
STORE_CALLS = Counter(
    "plantainpulley_store_calls", "Calls to the key-value service", ["call"]
)
LIST_CALLS = Counter("plantainpulley_list_calls", "Reads of the instance list")
RULES_REVISION = Gauge("plantainpulley_rules_revision", "Revision of the rules held")
RULES_REJECTED = Counter(
    "plantainpulley_rules_rejected", "Rules texts that did not parse"
)
RULES_HEARD = Counter(
    "plantainpulley_rules_heard",
    "Rules that arrived, by the way they came and what became of them",
    ["way", "taken"],
)
RULES_ASKS = Counter(
    "plantainpulley_rules_asks", "Peers asked for newer rules, by what for", ["kind"]
)
CONTROL_BYTES = Gauge(
    "plantainpulley_control_bytes_sent", "Control bytes sent to peers since the start"
)
CONTROL_FRAMES = Gauge(
    "plantainpulley_control_frames_sent", "Control frames sent to peers since the start"
)
PEER_BYTES = Gauge(
    "plantainpulley_peer_bytes", "Bytes on peer connections", ["direction"]
)
IN_FLIGHT = Gauge("plantainpulley_in_flight", "Requests in flight", ["service"])


def publish_traffic(traffic) -> None:
    """Make the traffic gauges read a Traffic's counts at each scrape."""
    CONTROL_BYTES.set_function(lambda: traffic.n_control_bytes_sent)
    CONTROL_FRAMES.set_function(lambda: traffic.n_control_frames_sent)
    PEER_BYTES.labels("sent").set_function(lambda: traffic.n_bytes_sent)
    PEER_BYTES.labels("received").set_function(lambda: traffic.n_bytes_received)


def count_store_call(call: str) -> None:
    """Count one call to the key-value service under its kind."""
    STORE_CALLS.labels(call).inc()


def sum_by_reason(counter: Counter) -> dict[str, int]:
    """Return a counter's values by reason, summed over all services."""
    sums: dict[str, int] = {}
    for metric in counter.collect():
        for sample in metric.samples:
            if sample.name.endswith("_total"):
                reason = sample.labels["reason"]
                sums[reason] = sums.get(reason, 0) + int(sample.value)
    return sums
