"""The settings of `plantainpulley-agent`."""

from pydantic import Field

from pulley_fleet.settings import Address, FleetSettings, Placement


class AgentSettings(FleetSettings):
    """Settings of one agent process."""

    service: str = Field(min_length=1, description="name of the endpoint's service")
    engine: Address = Field(description="IP:port of the endpoint beside this agent")
    capacity: int = Field(
        0,
        ge=0,
        le=100_000_000,
        description="work that the endpoint processes at once, in tokens for a model "
        "engine, in requests for a plain service; 0 means 8000 or 8",
    )
    slots: int = Field(
        0,
        ge=0,
        le=1_000_000,
        description="requests that the endpoint runs at once, 0 means no limit",
    )
    placement: Placement = Field(
        "home",
        description="home; to compare: random, two-choices, rendezvous, bounded",
    )
    held_answer_bytes: int = Field(
        256 * 1024,
        ge=1_024,
        le=1 << 30,
        description="bytes of one answer held until acknowledged, 1024-1073741824",
    )
    held_total_bytes: int = Field(
        16 * 1024 * 1024,
        ge=1_024,
        le=1 << 32,
        description="bytes of all finished answers held, 1024-4294967296",
    )
    hold_ms: int = Field(
        120_000,
        ge=0,
        le=3_600_000,
        description="milliseconds that a finished answer is held, 0-3600000",
    )
    claim_window_s: int = Field(
        43_200,
        ge=20,
        le=2_592_000,
        description="seconds of a claim window, 20-2592000 (a claim lasts one to "
        "two windows)",
    )
    claim_writes_per_s: float = Field(
        100.0,
        gt=0,
        le=100_000,
        description="claim writes per second, all agents of the service in this "
        "data centre together, 0-100000",
    )
    quarantine_s: int = Field(
        600,
        ge=1,
        le=86_400,
        description="seconds that a request which crashed two engines is refused, "
        "1-86400",
    )
