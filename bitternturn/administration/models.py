"""Status reports and dependencies of the administration API."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from bitternturn.configuration.state import ConfigurationState
from bitternturn.configuration.store import ConfigurationStore
from bitternturn.schema.peers_pb2 import TimelineRequest
from bitternturn.schema.timeline_pb2 import Event


@dataclass(kw_only=True, frozen=True, slots=True)
class MemberStatus:
    """Status of one member of the view."""

    instance_id: str
    incarnation: int
    failure_domain: str
    state: str
    peer: str = ''
    operators: str = ''


@dataclass(kw_only=True, frozen=True, slots=True)
class TargetStatus:
    """Status of one target, as its owner reports it."""

    target: str
    failure_domain: str = ''
    owner: str = ''
    state: str = ''
    limit: int = 0
    in_flight: int = 0
    queued: int = 0
    ejected: bool = False


@dataclass(kw_only=True, frozen=True, slots=True)
class VersionStatus:
    """Versions of the view and configurations in force."""

    view: int = 0
    profiles: int = 0
    indexes: int = 0
    switches: int = 0


@dataclass(kw_only=True, frozen=True, slots=True)
class StatusReport:
    """Status of one instance and its view of the tier."""

    instance_id: str
    failure_domain: str
    ready: bool
    why_not_ready: str = ''
    draining: bool = False
    versions: VersionStatus = field(default_factory=VersionStatus)
    lease_s: float = 0
    store_reached: bool = True
    members: tuple[MemberStatus, ...] = ()
    targets: tuple[TargetStatus, ...] = ()
    profiles: tuple[str, ...] = ()


@dataclass(kw_only=True, frozen=True, slots=True)
class AdministrationDependencies:
    """Dependencies of the request handlers."""

    state: ConfigurationState
    store: ConfigurationStore
    status: Callable[[], StatusReport]
    # Returns the merged events of all instances.
    timeline: Callable[[TimelineRequest], Awaitable[Sequence[Event]]]
    metrics: Callable[[], bytes]
