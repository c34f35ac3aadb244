"""Messages between a bench and the processes that run its targets."""

from dataclasses import dataclass, field

from bitternturn.standins.deployments import Deployment


@dataclass(kw_only=True)
class FleetSpec:
    """Parameters of a fleet, and the part of it that one process runs."""

    deployment: Deployment
    documents: int
    seed: int
    part: int
    parts: int


@dataclass(kw_only=True)
class Command:
    """Command to a worker; an empty list of targets means all of them."""

    call: str
    targets: list[str] = field(default_factory=list)
    index: str = ''
    snapshot: int = 0
    shards: int = 0
    behaviour: dict[str, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class TargetReport:
    """Peak counts of one target."""

    target: str
    cold_limit: int
    most_in_flight_cold: int
    most_in_flight: int
    most_connections: int
    # Number of outages caused by an overload during cold start.
    falls: int
