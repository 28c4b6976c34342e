"""How many connections a server keeps open, and which one yields to another."""

import select

# A caller sends its first request as soon as it is connected.
FIRST_REQUEST_MS = 1_000


def make_room(server) -> bool:
    """Check whether a server may take one more connection, and close one if need be.

    That is the one which has waited for a request for longest, of those that have no
    right to wait: without a first request for ``FIRST_REQUEST_MS``, or for longer than
    the last answer announced. All others keep what they were promised.
    """
    if not server.max_connections or len(server.connections) < server.max_connections:
        return True
    now_ms = server.clock.now_ms()
    overdue = [one for one in server.connections if is_overdue(one, now_ms)]
    if not overdue:
        return False
    longest = min(overdue, key=lambda one: one.waits_since_ms)
    server.connections.discard(longest)
    longest.abort()
    return True


def is_overdue(connection, now_ms: int) -> bool:
    """Check whether a connection has waited too long, and has nothing to read."""
    if not connection.is_waiting() or connection.handling:
        return False
    allowed_ms = connection.announced_idle_ms or FIRST_REQUEST_MS
    if now_ms - connection.waits_since_ms <= allowed_ms:
        return False
    return not has_bytes(connection.transport.get_extra_info("socket").fileno())


def has_bytes(descriptor: int) -> bool:
    """Check whether a socket has bytes, or its end, that were not read yet."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
