"""What a process may hold: memory for bodies, and connections."""

from dataclasses import dataclass

from .models import ProcessLimits

MB = 1024 * 1024
# The interpreter, the program, the configuration and the endpoints.
BASE_MB = 40
# Of the memory beyond that, the part for bodies of requests and answers. The rest is
# for connections, and for copies while a body is sent on.
BODIES_SHARE = 0.6
CONNECTIONS_SHARE = 0.3
# What one connection may hold beside a body: its buffers and its parser.
CONNECTION_BYTES = 64 * 1024
# A process with less memory than it needs still serves small requests.
MIN_BODIES_BYTES = 4 * MB
MIN_CONNECTIONS = 64
# Descriptors that are no connections.
FILE_DESCRIPTORS = 200
# Of the connections, the part for callers and the part for endpoints. The rest is for
# the store, other routers, the balancer and operators.
CALLERS_SHARE = 0.65
ENDPOINTS_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Rooms:
    """The most bytes of bodies, and connections of callers and to endpoints."""

    bodies_bytes: int
    caller_connections: int
    endpoint_connections: int


def measure_rooms(limits: ProcessLimits) -> Rooms:
    """Divide up what a process may use.

    >>> measure_rooms(ProcessLimits(memory_mb=222, descriptors=1_570))
    Rooms(bodies_bytes=114504499, caller_connections=890, endpoint_connections=342)
    """
    spare_bytes = max(0, limits.memory_mb - BASE_MB) * MB
    connections = max(MIN_CONNECTIONS, limits.descriptors - FILE_DESCRIPTORS)
    by_memory = int(spare_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES)
    return Rooms(
        max(MIN_BODIES_BYTES, int(spare_bytes * BODIES_SHARE)),
        min(int(connections * CALLERS_SHARE), max(MIN_CONNECTIONS, by_memory)),
        max(1, int(connections * ENDPOINTS_SHARE)),
    )
