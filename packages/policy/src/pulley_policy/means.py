"""Estimate the mean load of a service, as one agent sees it.

Agents exchange their current load and capacity in pairs, a few small messages a
second, and each keeps the latest sample of a bounded number of peers. The mean is
the sum of loads divided by the sum of capacities, so it is a share of capacity: an
engine of twice the capacity is expected to carry twice the load.

After a lost message the older sample stays. A duplicated or reordered message
changes nothing, because the higher round wins; a restarted peer, which counts from
0, is accepted again once its old sample has expired. The sample of a peer that
leaves expires, and that of a peer that joins is there after one exchange. Averages
that are passed on, such as push-sum, lose or double mass under the same faults and
need epochs to recover.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

MAX_SAMPLES = 48
SAMPLE_TTL_MS = 4_000
STALE_AFTER_MS = 2_000
ISOLATED_AFTER_MS = 15_000
EXCHANGE_INTERVAL_MS = 250
N_PARTNERS = 2


@dataclass(slots=True)
class Sample:
    """The load that one peer last reported, in units of work.

    ``received_ms`` is a reading of this agent's clock. ``full`` means that a further
    request would not start there at once. ``sent_work`` is the work that has been
    redirected to the peer since.
    """

    load: float
    capacity: float
    round: int
    received_ms: int
    full: bool = False
    sent_work: float = 0.0


@dataclass(frozen=True, slots=True)
class Mean:
    """The estimated load as a share of capacity, and how reliable it is.

    ``n_samples`` counts the engines in it, including this one. ``age_ms`` is the age
    of the latest sample; the mean is ``stale`` after ``STALE_AFTER_MS``. ``isolated``
    means that no peer is listed, or no sample has arrived for ``ISOLATED_AFTER_MS``:
    there is nothing to compare with, so only the engine's own capacity bounds its
    load.
    """

    share: float
    n_samples: int
    age_ms: int = 0
    stale: bool = False
    isolated: bool = False


@dataclass(slots=True)
class MeanEstimate:
    """The samples of peers and the last mean computed from them."""

    samples: dict[str, Sample] = field(default_factory=dict)
    round: int = 0
    last_share: float = 0.0
    last_heard_ms: int | None = None

    def add_sample(
        self,
        peer: str,
        load: float,
        capacity: float,
        round: int,
        now_ms: int,
        full: bool = False,
    ) -> bool:
        """Store a peer's sample; return False if it is not newer than the present one.

        A capacity of 0 means that the peer takes no work: its sample is removed, and
        False is returned. ``full`` means that a further request would not start there
        at once.
        """
        previous = self.samples.get(peer)
        if previous is not None and now_ms - previous.received_ms <= SAMPLE_TTL_MS:
            if previous.round >= round:
                return False
        if capacity <= 0 or load < 0:
            self.samples.pop(peer, None)
            return False
        self.samples[peer] = Sample(load, capacity, round, now_ms, full)
        self.last_heard_ms = now_ms
        if len(self.samples) > MAX_SAMPLES:
            oldest = min(self.samples, key=lambda name: self.samples[name].received_ms)
            del self.samples[oldest]
        return True

    def drop(self, peer: str) -> None:
        """Remove the sample of a peer that has left."""
        self.samples.pop(peer, None)

    def estimate(
        self, own_load: float, own_capacity: float, n_peers: int, now_ms: int
    ) -> Mean:
        """Return the mean at ``now_ms``; ``n_peers`` is the number of listed peers.

        Expired samples are removed. If none is left, the last mean is returned, marked
        stale, until ``ISOLATED_AFTER_MS``. If the clock steps back, samples only expire
        later.
        """
        for peer, sample in list(self.samples.items()):
            if now_ms - sample.received_ms > SAMPLE_TTL_MS:
                del self.samples[peer]
        if n_peers == 0:
            return Mean(own_load / own_capacity, 1, isolated=True)
        if not self.samples:
            return self.estimate_without_samples(now_ms)
        current = self.samples.values()
        load = own_load + sum(sample.load for sample in current)
        capacity = own_capacity + sum(sample.capacity for sample in current)
        self.last_share = load / capacity
        age_ms = max(0, now_ms - max(sample.received_ms for sample in current))
        return Mean(
            self.last_share,
            1 + len(self.samples),
            age_ms,
            stale=age_ms > STALE_AFTER_MS,
        )

    def estimate_without_samples(self, now_ms: int) -> Mean:
        """Return the last mean, marked stale, while no peer has a sample."""
        if self.last_heard_ms is None:
            self.last_heard_ms = now_ms
        age_ms = max(0, now_ms - self.last_heard_ms)
        isolated = age_ms > ISOLATED_AFTER_MS
        return Mean(self.last_share, 1, age_ms, stale=True, isolated=isolated)

    def record_sent_work(self, peer: str, work: float) -> None:
        """Add work that was redirected to a peer, until its next sample."""
        sample = self.samples.get(peer)
        if sample is not None:
            sample.sent_work += work

    def list_full_peers(self) -> frozenset[str]:
        """Return the peers at which a further request would not start at once."""
        return frozenset(peer for peer, sample in self.samples.items() if sample.full)

    def shares(self) -> dict[str, float]:
        """Return the load of each sampled peer as a share of its capacity."""
        return {
            peer: (sample.load + sample.sent_work) / sample.capacity
            for peer, sample in self.samples.items()
        }


def choose_partners(
    peers: Sequence[str], draw: Callable[[], float], n_partners: int = N_PARTNERS
) -> Iterator[str]:
    """Yield up to ``n_partners`` distinct peers at random."""
    remaining = list(peers)
    for _ in range(min(n_partners, len(remaining))):
        yield remaining.pop(int(draw() * len(remaining)))
