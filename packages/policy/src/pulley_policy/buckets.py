"""Token buckets: a rate with bursts of a bounded size."""

from dataclasses import dataclass

MS_PER_S = 1_000


@dataclass(slots=True)
class TokenBucket:
    """A bucket that fills with ``rate_per_s`` tokens a second, up to ``capacity``.

    ``left`` is the number of tokens at ``filled_ms``, a clock reading.
    """

    rate_per_s: float
    capacity: float
    left: float
    filled_ms: int


def fill(bucket: TokenBucket, now_ms: int) -> float:
    """Add the tokens of the time that has passed, and return how many there are.

    >>> fill(TokenBucket(rate_per_s=2.0, capacity=3.0, left=1.0, filled_ms=0), 500)
    2.0
    """
    n_earned = (now_ms - bucket.filled_ms) * bucket.rate_per_s / MS_PER_S
    bucket.left = min(bucket.capacity, bucket.left + n_earned)
    bucket.filled_ms = now_ms
    return bucket.left


def take(bucket: TokenBucket, now_ms: int) -> bool:
    """Take one token; return False if there is not a whole one."""
    if fill(bucket, now_ms) < 1.0:
        return False
    bucket.left -= 1.0
    return True


def reserve(bucket: TokenBucket, now_ms: int) -> float:
    """Take one token, also one that is still to come; return the time to it in ms."""
    left = fill(bucket, now_ms)
    bucket.left = left - 1.0
    return max(0.0, -bucket.left * MS_PER_S / bucket.rate_per_s)


def wait_ms(bucket: TokenBucket, now_ms: int) -> float:
    """Return the time until there is a whole token, in ms; infinite at a rate of 0."""
    n_missing = 1.0 - fill(bucket, now_ms)
    if n_missing <= 0:
        return 0.0
    if bucket.rate_per_s <= 0:
        return float("inf")
    return n_missing * MS_PER_S / bucket.rate_per_s
