"""Plans of fleets: services, data centres, rules and routers."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service and its endpoints; ``kind`` is ``model`` or ``plain``.

    ``flags`` are passed to each stand-in, ``agent_flags`` to each agent.
    """

    name: str
    kind: str
    n_endpoints: int
    flags: dict[str, object] = field(default_factory=dict)
    agent_flags: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """A deployment; endpoints are assigned to the data centres round-robin.

    ``router_places`` holds the data centre of each router.
    """

    name: str
    data_centres: tuple[str, ...]
    router_places: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    rules: str
    router_flags: dict[str, object] = field(default_factory=dict)


MODEL_AGENT_FLAGS = {"slots": 16, "capacity": 16_000}

CARUSO_RULES = """\
service consiglio kind=model load-multiple=1.5 deadline=60s queue=15s  # maria: quotes
service bottega kind=plain load-multiple=2 deadline=10s queue=2s  # turi: handle orders
call bottega POST /handles idempotent=no  # turi: a confirmation cuts wood once only
call bottega GET /handles priority=quick  # turi: order status
team sportello weight=4  # maria: the shop counter, people wait
team fattorie weight=2  # nino: farmers' quotes
team giardini weight=2  # nino: estate gardeners
team ferramenta weight=1  # turi: hardware shops
"""

KIGALI_RULES = """\
service glue-model kind=model load-multiple=1.25 deadline=120s queue=20s batch-share=0.5  # aline: the shelf first
service alert-app kind=plain load-multiple=1.5 deadline=15s queue=3s  # eric: recalls
call glue-model POST /reviews idempotent priority=batch  # jean: ledgers can wait
call glue-model POST /labels idempotent priority=quick  # jean: small and quick
call alert-app POST /recalls idempotent=no  # eric: a recall notice goes once
call alert-app POST /vans idempotent=no  # eric: a doubled van wastes a day
team shelf weight=6  # aline: shop owners asking about one tin
team cooperatives weight=2  # claudine: furniture cooperatives
team schools weight=2  # claudine: school workshops
team ledgers weight=1  # jean: warehouse reviews
team dispatch weight=3  # eric: vans
"""  # noqa: E501


def caruso_plan(**engine_flags) -> FleetPlan:
    """Return Caruso's deployment at its present size."""
    return FleetPlan(
        "caruso",
        ("caltagirone", "catania", "ragusa"),
        ("caltagirone", "catania"),
        (
            ServicePlan("consiglio", "model", 10, engine_flags, MODEL_AGENT_FLAGS),
            ServicePlan("bottega", "plain", 4, {}, {"capacity": 16}),
        ),
        CARUSO_RULES,
    )


def kigali_plan(**engine_flags) -> FleetPlan:
    """Return Kigali's deployment at its present size."""
    return FleetPlan(
        "kigali",
        ("nyarugenge", "gasabo", "kicukiro"),
        ("nyarugenge", "gasabo"),
        (
            ServicePlan("glue-model", "model", 5, engine_flags, MODEL_AGENT_FLAGS),
            ServicePlan("alert-app", "plain", 3, {}, {"capacity": 16}),
        ),
        KIGALI_RULES,
    )


def one_place_plan(
    n_engines: int,
    *,
    n_routers: int = 1,
    n_services: int = 0,
    engine_flags: dict[str, object] | None = None,
    agent_flags: dict[str, object] | None = None,
    rules: str = CARUSO_RULES,
) -> FleetPlan:
    """Return a plan of consiglio engines and bottega services in one data centre."""
    services = (
        ServicePlan(
            "consiglio", "model", n_engines, engine_flags or {}, agent_flags or {}
        ),
        ServicePlan("bottega", "plain", n_services, {}, agent_flags or {}),
    )
    data_centre = "caltagirone"
    return FleetPlan(
        "bench", (data_centre,), (data_centre,) * n_routers, services, rules
    )
