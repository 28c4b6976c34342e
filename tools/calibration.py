"""Measure the machine's current speed as the CPU time of a fixed computation.

CPU time increases when other work shares a core's two hardware threads or its
caches. Compare two CPU time measurements only together with the calibration value
of each.
"""

import time
from hashlib import blake2b

N_HASHES = 20_000


def calibration_us() -> float:
    """Return the CPU time of hashing 64 bytes once, in µs, averaged over a loop."""
    data = b"x" * 64
    started_ns = time.process_time_ns()
    for _number in range(N_HASHES):
        data = blake2b(data, digest_size=64).digest()
    return (time.process_time_ns() - started_ns) / 1_000 / N_HASHES
