"""Prometheus metrics that only agents publish."""

from prometheus_client import Counter, Histogram

WAIT_BUCKETS_MS = (1, 5, 20, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000, 30_000)

ADMITTED = Counter("plantainpulley_admitted", "Attempts handed on to run", ["team"])
WAITED_MS = Histogram(
    "plantainpulley_waited_ms",
    "Milliseconds that admitted attempts waited in the queue",
    buckets=WAIT_BUCKETS_MS,
)
REDIRECTS = Counter(
    "plantainpulley_redirects", "Attempts sent on to another endpoint", ["kind"]
)
POINTER_ASKS = Counter(
    "plantainpulley_pointer_asks", "Questions where a chat is warm", ["result"]
)
NOTICES = Counter("plantainpulley_notices", "Pointers sent to homes", ["kind"])
EXPORTS = Counter("plantainpulley_exports", "Contexts exported at a drain", ["result"])
PAUSES = Counter(
    "plantainpulley_pauses", "Batch completions that gave way to other work"
)
RESUMES = Counter(
    "plantainpulley_resumes", "Answers asked for again on a new connection", ["result"]
)
