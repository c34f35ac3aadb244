"""Data types of the gateway: configuration, targets, requests, answers."""

import heapq
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from bitternturn.core.ids import (
    FailureDomain,
    RequestKey,
    RouteName,
    ServiceName,
    TargetId,
    Version,
)
from bitternturn.policy.const import COVERAGE_TOLERANCE
from bitternturn.policy.quota import Permit, QuotaBound

# Memory of an instance whose settings state none, in megabytes.
DEFAULT_MEMORY_MB: Final = 200.0
# Enough for the default number of callers' connections and the reserve.
DEFAULT_MAX_DESCRIPTORS: Final = 4096


# Id, start in Unix milliseconds, host and port of one life of a target.
TargetLife = tuple[TargetId, int, str, int]


@unique
class RepeatPolicy(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'


@unique
class TargetState(Enum):
    """State that a target reports."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(kw_only=True, frozen=True, slots=True)
class WeightedService:
    """One service of a traffic split and its relative weight."""

    service: ServiceName
    weight: float


@dataclass(kw_only=True, frozen=True, slots=True)
class Route:
    """Services and limits of requests with one host and path prefix.

    Exactly one of `services` and `shards` is non-empty. A request goes to one
    of `services` by weight, or to all `shards`, whose answers are merged.
    """

    name: RouteName
    host: str
    prefix: str
    repeat_policy: RepeatPolicy
    # Timeout of requests; 0 if the route sets none.
    timeout_s: float
    # Latency objective: later answers are worth less to the caller.
    latency_objective_s: float
    # Maximum number of targets that one request may reach, for each shard.
    max_targets: int
    # Priority; 0 is the most urgent.
    priority: int
    services: tuple[WeightedService, ...] = ()
    shards: tuple[ServiceName, ...] = ()
    max_records: int = 0
    min_coverage: float = 1
    # Whether requests need no API key where tenants are configured.
    public: bool = False

    def allowed_services(self) -> frozenset[ServiceName]:
        """Return the services to which requests may go."""
        shares = (it.service for it in self.services if it.weight > 0)
        return frozenset((*self.shards, *shares))

    def min_parts(self) -> int:
        """Return the minimum number of parts of an answer."""
        if not self.shards:
            return 1
        # The tolerance covers fractions that floats represent inexactly.
        wanted = self.min_coverage * len(self.shards)
        return max(1, math.ceil(wanted - COVERAGE_TOLERANCE))


@dataclass(kw_only=True, frozen=True, slots=True)
class Service:
    """Limits that all targets of one service share."""

    name: ServiceName
    # Maximum number of connections to one target from all instances together.
    max_connections: int
    health_path: str
    # Requests per second that a target in cold start accepts; 0 for no limit.
    cold_rate_per_s: float


@dataclass(kw_only=True, frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts of callers' requests and connections."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(kw_only=True, frozen=True, slots=True)
class Tenant:
    """Group of callers with API keys, a priority and a quota."""

    name: str
    # As sent in the header. Left out of the representation, so that no log line
    # or error message shows them.
    api_keys: tuple[bytes, ...] = field(repr=False)
    # Takes precedence over the priority of the route; None if not stated.
    priority: int | None = None
    # Requests per second and burst over all instances; a rate of 0 means that
    # there is no limit.
    rate_per_s: float = 0
    burst: float = 0


@dataclass(kw_only=True, frozen=True, slots=True)
class Configuration:
    """One version of the routes, services and tenants."""

    version: Version
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: CallerLimits | None = None
    # None if requests need no API key; if it is empty, no key is valid.
    tenants: tuple[Tenant, ...] | None = None


@dataclass(kw_only=True, frozen=True, slots=True)
class TargetEntry:
    """Store entry that a target writes about itself."""

    id: TargetId
    # Start of the target in Unix milliseconds; 0 if not stated.
    started_at_ms: int
    service: ServiceName
    host: str
    port: int
    failure_domain: FailureDomain
    slots: int
    state: TargetState
    # Remaining time of the cold start when the entry was written.
    cold_remaining_s: float = 0
    # Software version of the target.
    version: str = ''

    @property
    def life(self) -> TargetLife:
        """Identity of one life of the target: its id, start and address."""
        return (self.id, self.started_at_ms, self.host, self.port)


@dataclass(kw_only=True, frozen=True, slots=True)
class GlobalLimits:
    """Limits that apply to all instances together; times are in seconds."""

    # Hedges and retries per service and window: ratio × requests + slack.
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    # Requests per second to a cold target: rate × factor + slack.
    cold_rate_factor: float
    cold_rate_slack: float
    # Time from the stop signal until the process is killed.
    shutdown_grace_s: float


@dataclass(kw_only=True, frozen=True, slots=True)
class ChangeBounds:
    """Times within which changes have to take effect, in seconds."""

    # Time after the end of an outage from which on the other bounds hold.
    stability_window_s: float = 4
    # From the acknowledgement of a configuration, or that a failure domain is
    # out of service, or that a target is draining, until it takes effect.
    configuration_s: float = 3
    domain_out_s: float = 5
    drain_s: float = 3


@dataclass(kw_only=True, frozen=True, slots=True)
class RolloutBounds:
    """Bounds of the roll-out of a version, over all instances together."""

    # Whether the deployment has orders to roll out versions.
    enabled: bool = False
    # Requests of a version under test: share × all requests + slack.
    canary_share: float = 0.1
    canary_slack: float = 50
    # Time from the last tolerated failure until a version gets no request.
    rollback_s: float = 5
    # Failures after which an instance stops using a version by itself; the
    # last tolerated one is the 50th.
    max_failures: int = 40


@dataclass(kw_only=True, frozen=True, slots=True)
class Address:
    """Host and port at which a process listens."""

    host: str
    port: int


@dataclass(kw_only=True, frozen=True, slots=True)
class InstanceSettings:
    """Settings that one instance loads at its start."""

    name: str
    failure_domain: FailureDomain
    failure_domains: tuple[FailureDomain, ...]
    callers: Address
    readiness: Address
    # Address for other instances; None if they cannot reach this one.
    peers: Address | None
    # Number of processor cores that the process may use.
    cores: float
    # Bandwidth of the instance's network link, in megabits per second.
    link_mbps: float
    metrics: Address
    seeds: tuple[Address, ...]
    store: Address
    global_limits: GlobalLimits
    change_bounds: ChangeBounds = ChangeBounds()
    rollout_bounds: RolloutBounds = RolloutBounds()
    # Whether the cluster starts for the first time, so that this process does
    # not replace an earlier one.
    first_start: bool = False
    # Memory that the process may use, in megabytes.
    memory_mb: float = DEFAULT_MEMORY_MB
    # Number of file descriptors that the process may have open.
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    # Bound of the quotas of tenants; None if they are not enforced.
    quota_bound: QuotaBound | None = None


@dataclass(kw_only=True, slots=True, eq=False)
class CallerRequest:
    """One request of a caller."""

    id: str
    method: str
    # Unchanged request target (path and query), and the path alone.
    request_target: str
    path: str
    host: str
    # Time that the caller will wait, in seconds; None if not stated.
    remaining_s: float | None
    # Headers that are forwarded to targets.
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes
    # Whether this is the first request on its connection.
    first_on_connection: bool = False
    # Round-trip time to the caller in seconds, None if it is not known.
    round_trip_s: float | None = None
    # Key of the request, once it has been needed; see `identify_request`.
    key: RequestKey | None = None
    # The same as a hash of this process; see `fingerprint_request`.
    fingerprint: int | None = None
    # API key: None without one, empty if the header occurs more than once. Not
    # part of `headers` where tenants are configured.
    api_key: bytes | None = field(default=None, repr=False)
    # Whether a peer has received the request, and has checked its key.
    from_peer: bool = False
    # Whether a part may be sent to more than one target. Until a peer knows that this
    # instance gathers its request, it may send the parts itself.
    may_repeat: bool = True
    # Whether each target that it was sent to has replied.
    replies: dict[TargetId, bool] = field(default_factory=dict)
    # Called with the target of each send that ends after its part or the request.
    on_detached_end: Callable[[TargetId], None] | None = None
    # Name of the tenant, which targets get; empty without one.
    tenant: str = ''
    # Priority of the tenant, else of the route; 0 is the most urgent.
    priority: int = 0
    # Permit of the tenant's quota, None without a quota, and whether a target may
    # have run the request, so that the permit is used up.
    permit: Permit | None = None
    maybe_run: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class MergedRecords:
    """Records that a peer merged from several answers, from all its reports."""

    # Records in descending order within each report, and the index of the
    # answer that each is from.
    records: list[bytes] = field(default_factory=list)
    answer_indexes: list[int] = field(default_factory=list)
    # Greatest record below which the peer may have left out records, None if
    # it has left out none.
    floor: bytes | None = None
    # Number of merged answers.
    answer_count: int = 0

    def add_report(
        self,
        records: Sequence[bytes],
        answer_indexes: Iterable[int],
        *,
        truncated: bool,
        limit: int,
    ) -> None:
        """Add a report, whose indexes count the answers of all reports.

        A truncated report lacks records that are lower than the greatest
        `limit` ones of this and all earlier reports.
        """
        self.records.extend(records)
        self.answer_indexes.extend(answer_indexes)
        if truncated:
            greatest = heapq.nlargest(limit, self.records)
            self.floor = greatest[-1] if greatest else b''

    def answer_records(self, answer_index: int) -> list[bytes]:
        """Return the records of one answer."""
        return [
            record
            for record, index in zip(
                self.records, self.answer_indexes, strict=True
            )
            if index == answer_index
        ]


@dataclass(kw_only=True, slots=True, eq=False)
class TargetAnswer:
    """One complete answer of a target."""

    status: int
    # Signature of the answer; empty if it has none.
    stamp: str
    # Id of the answered request; empty if not stated.
    request_id: str
    # Whether the target states that it did not run the request.
    not_run: bool
    # Whether another target has received the request at this address.
    misdirected: bool
    # Whether the target states that it leaves.
    leaving: bool
    # How long the target wants no requests, in seconds; NaN if it states a time
    # that can't be read, None if it states none.
    pause_s: float | None
    # Requests per second that the target accepts from all instances; NaN if it
    # states a limit that can't be read, None if it states none.
    limit_per_s: float | None
    # Whether the body has a content encoding: it was changed in transit.
    encoded: bool
    # Target's timeout for idle connections, in seconds; None if not stated.
    idle_timeout_s: float | None
    # Headers that are forwarded to the caller.
    headers: Mapping[str, str]
    body: bytes
    # Merged records of a peer that contain this answer, in place of a body,
    # and the index of this answer among those that the peer merged.
    merged: MergedRecords | None = None
    answer_index: int = 0


@unique
class SendOutcome(Enum):
    """Outcome of one send to a target."""

    # Several sets are searched for each send; `Enum` hashes the name in Python.
    __hash__ = object.__hash__

    ANSWERED = 'answered'
    # The target answered with a failure; it may have run the request.
    FAILED = 'failed'
    # The target states that it has not run the request and will not.
    NOT_RUN = 'not_run'
    # Another target has the address; it has not run the request.
    MISDIRECTED = 'misdirected'
    # No connection to the target could be opened.
    UNREACHABLE = 'unreachable'
    # A peer did not send the request since the target is slow or failing.
    DECLINED = 'declined'
    # The budget of a peer does not allow a further send.
    OVER_BUDGET = 'over_budget'
    # Not sent: the target leaves, has asked for a pause or has named a limit.
    UNWANTED = 'unwanted'
    # Not sent: the request crashes the targets that run it.
    SUSPECTED = 'suspected'
    # The request was not sent, for a reason other than the target.
    NOT_SENT = 'not_sent'
    # Not sent: this instance, or the peer, is cut off from the target.
    NO_PATH = 'no_path'
    # The request was sent, but no valid answer was received.
    LOST = 'lost'
    # The peer that sends the request was lost; the target may have run it.
    PEER_LOST = 'peer_lost'


# Outcomes that show that a target is responsive.
REPLY_OUTCOMES = frozenset(
    (SendOutcome.ANSWERED, SendOutcome.FAILED, SendOutcome.NOT_RUN)
)
# Outcomes of sends that did not reach a target.
UNDELIVERED_OUTCOMES = frozenset(
    (
        SendOutcome.NOT_SENT,
        SendOutcome.NO_PATH,
        SendOutcome.UNREACHABLE,
        SendOutcome.DECLINED,
        SendOutcome.OVER_BUDGET,
        SendOutcome.UNWANTED,
        SendOutcome.SUSPECTED,
    )
)


@unique
class RefusalReason(Enum):
    """Reason for which a request is refused or fails."""

    NO_ROUTE = 'no_route'
    # The API key is missing, repeated or unknown.
    UNAUTHORIZED = 'unauthorized'
    # The tenant has used up its quota.
    OVER_QUOTA = 'over_quota'
    # No instance that grants permits of the quota has one or responds.
    QUOTA_UNKNOWN = 'quota_unknown'
    NOT_READY = 'not_ready'
    DRAINING = 'draining'
    NO_TARGET = 'no_target'
    # Too few services have a responsive target.
    SILENT_TARGETS = 'silent_targets'
    # Too few services have a target that has not asked for a pause.
    PAUSED_TARGETS = 'paused_targets'
    # Too few services have a target that is below its rate limit.
    LIMITED_TARGETS = 'limited_targets'
    # The request crashes the targets that run it.
    CRASHES_TARGETS = 'crashes_targets'
    # Another attempt is tried first, as the request may crash targets.
    TRIED_ELSEWHERE = 'tried_elsewhere'
    BUSY = 'busy'
    NOT_RUN = 'not_run'
    # For the remaining reasons, targets may have run the request.
    FAILED = 'failed'
    DEADLINE = 'deadline'
