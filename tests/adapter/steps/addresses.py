"""Steps about the addresses that tests give to the processes that they start."""

import subprocess
import sys
from pathlib import Path

from behave import then, when
from pulley_platform_standins.processes import reserve_address

# Prints the ports of its arguments that it could reserve.
RESERVE_PORTS = """
import sys
from pulley_platform_standins.processes import try_reserve

print(*[port for port in sys.argv[1:] if try_reserve(int(port))])
"""


@when("{count:d} addresses are reserved")
def reserve_addresses(context, count):
    addresses = [reserve_address() for _ in range(count)]
    context.ports = [int(address.partition(":")[2]) for address in addresses]


@then("the kernel assigns none of their ports to a socket that asks for any port")
def check_not_assigned(context):
    text = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    low, high = map(int, text.split())
    assigned = [port for port in context.ports if low <= port <= high]
    assert not assigned, assigned


@then("another process can reserve none of their ports")
def check_reserved(context):
    command = [sys.executable, "-c", RESERVE_PORTS, *map(str, context.ports)]
    completed = subprocess.run(command, capture_output=True, text=True, check=True)
    assert not completed.stdout.strip(), completed.stdout
