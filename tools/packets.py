"""Count bytes and packets on the loopback interface by port, with a packet socket.

Needs the permission to open a packet socket. Each IP packet is counted once, with its
headers; ``n_dropped`` is the number of packets that the kernel dropped because the
receive buffer was full.
"""

import asyncio
import socket
import struct
from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

INTERFACE = "lo"
ALL_PROTOCOLS = 3
ETHERNET_HEADER_BYTES = 14
CAPTURED_BYTES = 96
PACKET_HOST = 0
SOL_PACKET = 263
PACKET_STATISTICS = 6
RECEIVE_BUFFER_BYTES = 32 * 1024 * 1024
COUNTED_PROTOCOLS = frozenset({socket.IPPROTO_TCP, socket.IPPROTO_UDP})
MAX_READS_PER_CALL = 2_000


@dataclass(slots=True)
class Tally:
    """The number of packets and bytes to and from one port."""

    n_packets: int = 0
    n_bytes: int = 0


@dataclass(slots=True)
class Counter:
    """Tallies by port; a packet counts for both its source and destination port."""

    packet_socket: socket.socket
    ports: dict[int, Tally] = field(default_factory=lambda: defaultdict(Tally))
    n_dropped: int = 0


@contextmanager
def count_packets() -> Iterator[Counter]:
    """Count loopback packets while the body of the ``with`` statement runs."""
    packet_socket = socket.socket(
        socket.AF_PACKET, socket.SOCK_RAW, socket.htons(ALL_PROTOCOLS)
    )
    packet_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    packet_socket.bind((INTERFACE, 0))
    packet_socket.setblocking(False)
    counter = Counter(packet_socket)
    loop = asyncio.get_running_loop()
    loop.add_reader(packet_socket, read_packets, counter)
    try:
        yield counter
        read_packets(counter)
    finally:
        loop.remove_reader(packet_socket)
        statistics = packet_socket.getsockopt(SOL_PACKET, PACKET_STATISTICS, 8)
        counter.n_dropped = struct.unpack("II", statistics)[1]
        packet_socket.close()


def read_packets(counter: Counter) -> None:
    """Count the queued packets, at most ``MAX_READS_PER_CALL`` of them.

    A loopback packet is seen when sent and when received; only the latter counts.
    """
    for _ in range(MAX_READS_PER_CALL):
        try:
            frame_start, address = counter.packet_socket.recvfrom(CAPTURED_BYTES)
        except BlockingIOError:
            return
        if address[2] == PACKET_HOST:
            tally_packet(counter, frame_start[ETHERNET_HEADER_BYTES:])


def tally_packet(counter: Counter, packet: bytes) -> None:
    """Count one IPv4 packet of TCP or UDP; skip others and truncated ones."""
    if len(packet) < 24 or packet[0] >> 4 != 4 or packet[9] not in COUNTED_PROTOCOLS:
        return
    n_bytes = int.from_bytes(packet[2:4], "big")
    ip_header_bytes = (packet[0] & 15) * 4
    for port in struct.unpack_from("!HH", packet, ip_header_bytes):
        tally = counter.ports[port]
        tally.n_packets += 1
        tally.n_bytes += n_bytes


def sum_ports(counter: Counter, ports: Iterable[int]) -> Tally:
    """Return the sum of the tallies of several ports."""
    tallies = [counter.ports[port] for port in ports]
    return Tally(
        sum(tally.n_packets for tally in tallies),
        sum(tally.n_bytes for tally in tallies),
    )
