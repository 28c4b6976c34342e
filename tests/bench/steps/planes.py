"""Steps for linear fits and packet counts."""

import struct
from itertools import product

from behave import given, then
from packets import Counter, sum_ports, tally_packet
from slopes import Point, fit_slope


@given("points with base {base:d}, {engine:d} per engine and {router:d} per router")
def set_points_on_plane(context, base, engine, router):
    context.points = [
        Point(engines, routers, base + engine * engines + router * routers)
        for engines, routers in product((5, 10, 50), (2, 8))
    ]


@then(
    "the fit has {base:d}, {engine:d} and {router:d}, and projects {far:d} for "
    "{engines:d} engines and {routers:d} routers"
)
def check_fit(context, base, engine, router, far, engines, routers):
    slope = fit_slope(context.points)
    found = (slope.base, slope.per_engine, slope.per_router)
    assert all(abs(a - b) < 1e-6 for a, b in zip(found, (base, engine, router)))
    assert abs(slope.project(engines, routers) - far) < 1e-6


@given("points that all have {routers:d} routers")
def set_points_with_equal_routers(context, routers):
    context.points = [Point(engines, routers, engines) for engines in (5, 10, 50)]


@then("fitting the points fails")
def check_fit_fails(context):
    try:
        fit_slope(context.points)
    except ValueError:
        return
    raise AssertionError("fitted")


@given("a UDP packet of 60 bytes from port 1000 to port 2000 and a truncated one")
def count_packet_and_truncated(context):
    head = bytes([0x45, 0]) + struct.pack("!H", 60) + bytes(5) + bytes([17]) + bytes(10)
    context.counter = Counter(None)
    for data in (head + struct.pack("!HHHH", 1000, 2000, 40, 0), head):
        tally_packet(context.counter, data)


@then("ports 1000 and 2000 have 1 packet of 60 bytes each, and no other port has any")
def check_tallies(context):
    assert set(context.counter.ports) == {1000, 2000}
    for port in (1000, 2000):
        tally = sum_ports(context.counter, [port])
        assert (tally.n_packets, tally.n_bytes) == (1, 60)
