"""Types of membership and its interfaces."""

import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from bitternturn.core.clock import Clock
from bitternturn.core.ids import (
    FailureDomain,
    Incarnation,
    InstanceId,
    TargetId,
    Version,
)
from bitternturn.core.tasks import TaskSet
from bitternturn.membership import const
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import Member
from bitternturn.schema.peers_pb2 import (
    FetchReply,
    FetchRequest,
    HandoverReply,
    HandoverRequest,
    ProbeReply,
    ProbeRequest,
    TargetState,
)
from bitternturn.schema.settings_pb2 import Address, MembershipSettings


@unique
class OwnershipState(Enum):
    """State of a target at an instance."""

    NONE = 'none'
    WAITING = 'waiting'
    OWNED = 'owned'
    RELEASING = 'releasing'


@unique
class MembershipEvent(Enum):
    """Kinds of membership events on the timeline."""

    JOINED = 'joined'
    LEFT = 'left'
    REPLACED = 'replaced'
    VIEW = 'view'
    SUSPECTED = 'suspected'
    REMOVED = 'removed'
    TARGET_STARTED = 'target_started'
    TARGET_RELEASED = 'target_released'
    HANDED_OVER = 'handed_over'


@dataclass(frozen=True, kw_only=True)
class MembershipTimes:
    """Durations in seconds and the maximum relative drift of two clocks."""

    probe_interval_s: float = const.DEFAULT_PROBE_INTERVAL_S
    probe_timeout_s: float = const.DEFAULT_PROBE_TIMEOUT_S
    suspicion_s: float = const.DEFAULT_SUSPICION_S
    lease_s: float = const.DEFAULT_LEASE_S
    clock_drift: float = const.DEFAULT_CLOCK_DRIFT

    @property
    def vote_lifetime_s(self) -> float:
        """Duration for which a vote extends a lease."""
        return self.lease_s * const.VOTE_LIFETIME_LEASES

    @property
    def lease_expiry_wait_s(self) -> float:
        """Time on any clock after which a lease on another has expired."""
        return self.lease_s * (1 + self.clock_drift)

    @property
    def vote_expiry_wait_s(self) -> float:
        """Time on any clock after which a vote on another has expired."""
        return self.vote_lifetime_s * (1 + self.clock_drift)

    @property
    def read_interval_s(self) -> float:
        """Interval between reads of the view."""
        return self.lease_s / const.READS_PER_LEASE


@dataclass(frozen=True, kw_only=True)
class OwnedTargetKey:
    """Properties of a target that determine its owner."""

    target: TargetId
    failure_domain: FailureDomain


@dataclass(frozen=True, kw_only=True)
class Release:
    """A pending release of a target.

    The release is announced to `next_owner`, which then starts at once. It is
    None if the next owner isn't known from the history or is not a member.
    """

    target: TargetId
    next_owner: Member | None
    view_version: Version


@dataclass(frozen=True, kw_only=True)
class StartedTarget:
    """A target that this instance has started to own."""

    target: TargetId
    handed_over: bool


class StoredValue(Protocol):
    """An object in the object store."""

    @property
    def version(self) -> Version:
        """Version of the last write."""

    @property
    def value(self) -> bytes:
        """Content of the object."""


class ObjectStore(Protocol):
    """Calls of the object client that membership uses."""

    async def async_get(self, kind: str, name: str) -> StoredValue | None:
        """Return the current object, None if it does not exist."""

    async def async_put(
        self, *, kind: str, name: str, value: bytes, if_version: Version
    ) -> Version:
        """Write an object if its version still equals `if_version`."""


class Link(Protocol):
    """Calls to a peer that membership uses."""

    async def async_probe(self, request: ProbeRequest) -> ProbeReply:
        """Probe the peer."""

    async def async_fetch(self, request: FetchRequest) -> FetchReply:
        """Fetch the objects of which the peer has a later version."""

    async def async_handover(self, request: HandoverRequest) -> HandoverReply:
        """Notify the peer of the targets that it may start."""


# Returns the link to the peer at a host and port.
Links = Callable[[str, int], Link]
EventSink = Callable[..., None]

# Whether an instance has been missing from the platform's list of instances
# for longer than the maximum lag of the list, at the given time.
IsGone = Callable[[InstanceId, float], bool]


def never_gone(instance: InstanceId, now: float) -> bool:
    """Default for use without a list of instances: none is ever gone."""
    return False


@dataclass(frozen=True, kw_only=True)
class MembershipHooks:
    """Callbacks of membership into other components of the instance.

    The release hook returns once nothing is in flight at the target. The
    start hook starts a target, cold unless a handover included its state.
    `seeds` are the peers that serve the view when the object API is down.
    """

    targets: Callable[[], Iterable[Target]]
    async_release_target: Callable[[TargetId], Awaitable[TargetState]]
    start_target: Callable[[TargetState], None]
    is_gone: IsGone = never_gone
    seeds: Callable[[], Iterable[Address]] = tuple


@dataclass(frozen=True, kw_only=True)
class Runtime:
    """Clock, randomness, tasks and event sink of the instance."""

    now: Clock
    rng: random.Random
    tasks: TaskSet
    event: EventSink


def times_from_settings(settings: MembershipSettings) -> MembershipTimes:
    """Return the durations from the settings; zeros mean the defaults."""
    default = MembershipTimes()
    return MembershipTimes(
        probe_interval_s=_seconds(
            settings.probe_interval_ms, default.probe_interval_s
        ),
        probe_timeout_s=_seconds(
            settings.probe_timeout_ms, default.probe_timeout_s
        ),
        suspicion_s=_seconds(settings.suspicion_ms, default.suspicion_s),
        lease_s=_seconds(settings.lease_ms, default.lease_s),
        clock_drift=settings.clock_drift or default.clock_drift,
    )


def incarnation_of(member: Member) -> Incarnation:
    """Return the incarnation of a member."""
    return Incarnation(member.incarnation)


def _seconds(milliseconds: int, default: float) -> float:
    """Convert milliseconds to seconds; return the default for zero."""
    return milliseconds / 1000 if milliseconds else default
