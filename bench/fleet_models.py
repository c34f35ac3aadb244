"""Messages between a bench and the processes of its targets."""

from dataclasses import dataclass, field

from bitternturn.standins.deployments import Deployment


@dataclass(kw_only=True)
class FleetSpec:
    """Which targets one process runs."""

    deployment: Deployment
    documents: int
    seed: int
    part: int
    parts: int


@dataclass(kw_only=True)
class Command:
    """One call; no targets means all."""

    call: str
    targets: list[str] = field(default_factory=list)
    index: str = ''
    snapshot: int = 0
    shards: int = 0
    behaviour: dict[str, float] = field(default_factory=dict)


@dataclass(kw_only=True)
class TargetReport:
    """Peaks of one target."""

    target: str
    cold_limit: int
    most_in_flight_cold: int
    most_in_flight: int
    most_connections: int
    falls: int
