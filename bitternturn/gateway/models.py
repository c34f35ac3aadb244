"""Routes, services and targets as the gateway knows them."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique

from bitternturn.core.ids import (
    FailureDomain,
    RouteName,
    ServiceName,
    TargetId,
    Version,
)
from bitternturn.policy.const import COVERAGE_TOLERANCE


@unique
class Repeat(Enum):
    """How often a request may run."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'


@unique
class TargetState(Enum):
    """What a target says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(kw_only=True, frozen=True, slots=True)
class WeightedService:
    """One service of a split and its share of the requests."""

    service: ServiceName
    weight: float


@dataclass(kw_only=True, frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and how urgently.

    Exactly one of `services` and `shards` is filled: one service per request
    by weight, or every shard with the answers merged.
    """

    name: RouteName
    host: str
    prefix: str
    repeat: Repeat
    # Longest time that a request is kept waiting.
    timeout_s: float
    # Time within which an answer earns its full credit.
    aim_s: float
    # Most targets that one request may reach, for each shard.
    attempts: int
    # Rank; 0 is the most urgent.
    priority: int
    services: tuple[WeightedService, ...] = ()
    shards: tuple[ServiceName, ...] = ()
    max_records: int = 0
    least_coverage: float = 1

    def least_parts(self) -> int:
        """Return how many parts an answer has to have."""
        if not self.shards:
            return 1
        # The share may be a fraction that floats can't hold exactly.
        wanted = self.least_coverage * len(self.shards)
        return max(1, math.ceil(wanted - COVERAGE_TOLERANCE))


@dataclass(kw_only=True, frozen=True, slots=True)
class Service:
    """Limits that all targets of one service state."""

    name: ServiceName
    # Most connections to one target, from all instances together.
    max_connections: int
    health_path: str
    # Requests per second that a target in cold start bears; 0: no limit.
    cold_rate: float


@dataclass(kw_only=True, frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(kw_only=True, frozen=True, slots=True)
class Configuration:
    """One version of the routes and services."""

    version: Version
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: CallerLimits | None = None


@dataclass(kw_only=True, frozen=True, slots=True)
class TargetEntry:
    """One target as it describes itself in the store."""

    id: TargetId
    # Start of the target in Unix milliseconds; 0 when it does not say.
    born_ms: int
    service: ServiceName
    host: str
    port: int
    failure_domain: FailureDomain
    slots: int
    state: TargetState
    # How much longer the target was cold when it wrote the entry.
    cold_left_s: float = 0


@dataclass(kw_only=True, frozen=True, slots=True)
class Bounds:
    """Limits that hold over all instances together; times are in seconds."""

    # Further sends per service and window: ratio × requests + slack.
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    # Requests per second to a cold target: rate × factor + slack.
    cold_factor: float
    cold_slack: float
    # Time from the signal to stop until the process is killed.
    grace_s: float


@dataclass(kw_only=True, frozen=True, slots=True)
class Address:
    """Where a process listens."""

    host: str
    port: int


@dataclass(kw_only=True, frozen=True, slots=True)
class InstanceSettings:
    """What one instance knows of itself at its start."""

    name: str
    failure_domain: FailureDomain
    failure_domains: tuple[FailureDomain, ...]
    callers: Address
    readiness: Address
    # Where other instances reach this one; None when they can't.
    peers: Address | None
    # Processor that the process may use, in cores.
    cores: float
    # Capacity of the instance's link, in megabits per second.
    link_mbps: float
    metrics: Address
    seeds: tuple[Address, ...]
    store: Address
    bounds: Bounds
    # Whether the whole system starts for the first time, so that no process
    # has been here before this one.
    first_start: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class CallerRequest:
    """One request of a caller."""

    id: str
    method: str
    # Path and query as they came, and the path alone.
    target: str
    path: str
    host: str
    # How long the caller will wait, in seconds; None when it does not say.
    remaining_s: float | None
    # Headers that are passed on to targets.
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes
    # Whether it is the first on its connection.
    first: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class MergedRecords:
    """Records that a peer has merged from several answers."""

    # Records, falling, and the place of the answer that each came from.
    records: Sequence[bytes]
    places: Sequence[int]
    # Whether there were more records than the limit.
    cut: bool
    # How many answers were merged.
    answered: int

    def records_of(self, place: int) -> list[bytes]:
        """Return the records of one answer."""
        return [
            record
            for record, owner in zip(self.records, self.places, strict=True)
            if owner == place
        ]


@dataclass(kw_only=True, slots=True, eq=False)
class TargetAnswer:
    """One whole answer of a target."""

    status: int
    # Signature of the answer; empty when there is none.
    stamp: str
    # Id of the request that it answers; empty when the target does not say.
    request_id: str
    # Whether the target states that it did not run the request.
    not_run: bool
    # Whether another target listens at the address.
    misdirected: bool
    # Whether the body was changed on the way.
    encoded: bool
    # How long the target keeps an idle connection, None when it does not say.
    idle_s: float | None
    # Headers that are passed on to the caller.
    headers: Mapping[str, str]
    body: bytes
    # Records of an answer that a peer has received, in place of a body.
    merged: MergedRecords | None = None
    place: int = 0


@unique
class Outcome(Enum):
    """How one send to a target ended."""

    ANSWERED = 'answered'
    # The target answered that it failed; it may have run the request.
    FAILED = 'failed'
    # The target says that it has not run the request and won't.
    NOT_RUN = 'not_run'
    # Another target listens at the address and has not run the request.
    MISDIRECTED = 'misdirected'
    # No connection to the target could be opened.
    UNREACHABLE = 'unreachable'
    # A peer knows that the target is slow or failing and has sent nothing.
    DECLINED = 'declined'
    # Nothing of the request was sent, for a reason other than the target.
    NOT_SENT = 'not_sent'
    # The request was sent and no valid answer came.
    LOST = 'lost'


@unique
class RefusalReason(Enum):
    """Why a request is not served."""

    NO_ROUTE = 'no_route'
    NOT_READY = 'not_ready'
    DRAINING = 'draining'
    NO_TARGET = 'no_target'
    # Too many services have no target that answers at present.
    SILENT_TARGETS = 'silent_targets'
    BUSY = 'busy'
    NOT_RUN = 'not_run'
    # The rest may have run.
    FAILED = 'failed'
    DEADLINE = 'deadline'
