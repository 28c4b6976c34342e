"""Settings that routers and agents have in common."""

import ipaddress
from typing import Annotated, Literal
from zlib import crc32

from pydantic import AfterValidator, Field

from pulley_base.settings import Settings

MAX_PORT = 65_535
FLEET_ID_MASK = 0x7FFFFFFF


def check_address(value: str) -> str:
    """Return an IP:port unchanged; raise ValueError for anything else."""
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("not an IP:port")
    ipaddress.ip_address(host)
    return value


Address = Annotated[str, AfterValidator(check_address)]
Placement = Literal["home", "random", "two-choices", "rendezvous", "bounded"]


def digest_fleet(name: str) -> int:
    """Return the 31-bit id that stands for a fleet's name in frames."""
    return crc32(name.encode()) & FLEET_ID_MASK


FLEET_FIELD = Field(
    "plantainpulley",
    min_length=1,
    description="the fleet's name; frames of other fleets are ignored",
)


class FleetSettings(Settings):
    """This process's addresses and fleet, and the addresses of the platform."""

    peer: Address = Field(
        "127.0.0.1:0",
        description="IP:port for other processes of the fleet, TCP and UDP",
    )
    admin: Address = Field(
        "127.0.0.1:0", description="IP:port for /metrics, /healthz and /readyz"
    )
    store: Address = Field(description="IP:port of the key-value service")
    instances: Address = Field(description="IP:port of the instance list")
    fleet: str = FLEET_FIELD
    data_centre: str = Field(
        min_length=1, description="the name of this instance's data centre"
    )
    drain_ms: int = Field(
        60_000,
        ge=0,
        le=3_600_000,
        description="milliseconds that a shutdown waits for work in flight, 0-3600000",
    )
    log_level: str = Field(
        "info",
        pattern="^(debug|info|warning|error)$",
        description="debug, info, warning or error",
    )
