"""Types that membership shares with its users."""

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
    """What an instance may do with a target."""

    NONE = 'none'
    WAITING = 'waiting'
    OWNED = 'owned'
    RELEASING = 'releasing'


@unique
class MembershipEvent(Enum):
    """Kinds of events on the time line."""

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
    """Durations in seconds, and the largest relative drift of two clocks."""

    probe_interval_s: float = const.DEFAULT_PROBE_INTERVAL_S
    probe_timeout_s: float = const.DEFAULT_PROBE_TIMEOUT_S
    suspicion_s: float = const.DEFAULT_SUSPICION_S
    lease_s: float = const.DEFAULT_LEASE_S
    clock_drift: float = const.DEFAULT_CLOCK_DRIFT

    @property
    def vouch_s(self) -> float:
        """How long a vouch extends a lease."""
        return self.lease_s * const.VOUCH_LEASES

    @property
    def lease_wait_s(self) -> float:
        """Time on any clock within which a lease on another clock ends."""
        return self.lease_s * (1 + self.clock_drift)

    @property
    def vouch_wait_s(self) -> float:
        """Time on any clock within which a vouch on another clock expires."""
        return self.vouch_s * (1 + self.clock_drift)

    @property
    def read_interval_s(self) -> float:
        """Time between two reads of the view."""
        return self.lease_s / const.READS_PER_LEASE


@dataclass(frozen=True, kw_only=True)
class OwnedTargetKey:
    """What decides the owner of a target."""

    target: TargetId
    failure_domain: FailureDomain


@dataclass(frozen=True, kw_only=True)
class Release:
    """A target that has to be given up.

    It may be announced to the next owner `to`, which starts at once; there is
    none when the views do not tell who came next.
    """

    target: TargetId
    to: Member | None
    view_version: Version


@dataclass(frozen=True, kw_only=True)
class Start:
    """A target that this instance has begun to own."""

    target: TargetId
    handed_over: bool


class StoredValue(Protocol):
    """An object of the platform."""

    @property
    def version(self) -> Version:
        """Version of the last write."""

    @property
    def value(self) -> bytes:
        """Content."""


class ObjectStore(Protocol):
    """The calls of the object client that membership makes."""

    async def async_get(self, kind: str, name: str) -> StoredValue | None:
        """Return an object as it stands."""

    async def async_put(
        self, *, kind: str, name: str, value: bytes, if_version: Version
    ) -> Version:
        """Write an object if its version is still the given one."""


class Link(Protocol):
    """The calls to a peer that membership makes."""

    async def async_probe(self, request: ProbeRequest) -> ProbeReply:
        """Probe the peer."""

    async def async_fetch(self, request: FetchRequest) -> FetchReply:
        """Fetch what is newer at the peer."""

    async def async_handover(self, request: HandoverRequest) -> HandoverReply:
        """Tell the peer which targets it may start."""


Links = Callable[[str, int], Link]
EventSink = Callable[..., None]

# Whether the platform's list has shown an instance as gone for longer than
# the stated lag of the list, at the given time.
IsGone = Callable[[InstanceId, float], bool]


def never_gone(instance: InstanceId, now: float) -> bool:
    """Stand in for the platform's list where there is none."""
    return False


@dataclass(frozen=True, kw_only=True)
class MembershipHooks:
    """What membership asks of the other parts of the instance.

    `release` ends when nothing is in flight at the target any more; `adopt`
    starts a target, cold unless its state came with a hand-over. `seeds` are
    peers to fetch the view from when the object API is down.
    """

    targets: Callable[[], Iterable[Target]]
    release: Callable[[TargetId], Awaitable[TargetState]]
    adopt: Callable[[TargetState], None]
    is_gone: IsGone = never_gone
    seeds: Callable[[], Iterable[Address]] = tuple


@dataclass(frozen=True, kw_only=True)
class Runtime:
    """Clock, randomness, tasks and event sink of the instance."""

    now: Clock
    rng: random.Random
    tasks: TaskSet
    event: EventSink


def times_of(settings: MembershipSettings) -> MembershipTimes:
    """Return the durations of the settings; zeros mean the defaults."""
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
    """Return milliseconds as seconds, or the default for zero."""
    return milliseconds / 1000 if milliseconds else default
