"""The settings of `plantainpulley route`."""

from pydantic import Field

from pulley_fleet.settings import Address, FleetSettings, Placement


class RouterSettings(FleetSettings):
    """The settings of a router."""

    listen: Address = Field("127.0.0.1:8080", description="IP:port for callers")
    body_bytes: int = Field(
        8 * 1024 * 1024,
        ge=1,
        le=1 << 30,
        description="the largest request body in bytes, 1-1073741824",
    )
    head_timeout_ms: int = Field(
        10_000,
        ge=100,
        le=600_000,
        description="milliseconds within which a head must arrive, 100-600000",
    )
    body_timeout_ms: int = Field(
        10_000,
        ge=100,
        le=600_000,
        description="milliseconds that a caller's body may stall, 100-600000",
    )
    placement: Placement = Field(
        "home",
        description="home, or for comparison random, two-choices, rendezvous, bounded",
    )
