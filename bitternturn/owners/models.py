"""Types that the parts of an owner share."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bitternturn.core.clock import MS_PER_SECOND, Clock
from bitternturn.core.ids import TargetId
from bitternturn.core.tasks import TaskSet
from bitternturn.http.client import ClientConnection
from bitternturn.owners import const
from bitternturn.policy.admission import QueueEntry
from bitternturn.schema.peers_pb2 import QueryGroup, SubQuery, SubResult
from bitternturn.schema.settings_pb2 import ConnectionSettings, LimitSettings
from bitternturn.timeline.models import EventSink


class Work(asyncio.Future[SubResult]):
    """One sub-request at its owner; a future of its result."""

    group: QueryGroup
    item: SubQuery
    deadline: float
    entry: QueueEntry['Work']
    # Whether a target may have run it.
    doubtful: bool
    moved: bool
    flight: 'Flight | None'
    on_cancel: Callable[['Work'], None] | None

    def cancel(self, msg: object = None) -> bool:
        """Cancel the sub-request, also at its target."""
        if not super().cancel(msg):
            return False
        if self.on_cancel is not None:
            self.on_cancel(self)
        return True


def make_work(group: QueryGroup, item: SubQuery, now: float) -> Work:
    """Return a sub-request that was received now."""
    work = Work()
    work.group = group
    work.item = item
    work.deadline = now + group.remaining_ms / MS_PER_SECOND
    work.entry = QueueEntry(
        item=work,
        priority=group.priority,
        deadline=work.deadline,
    )
    work.doubtful = False
    work.moved = False
    work.flight = None
    work.on_cancel = None
    return work


@dataclass(kw_only=True, slots=True, eq=False)
class Flight:
    """One request that was written to a target."""

    work: Work
    connection: 'PooledConnection'
    request_id: str
    sent_at: float
    timer: asyncio.TimerHandle | None = None
    ended: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class PooledConnection:
    """A connection with its times on the monotonic clock."""

    http: ClientConnection
    opened_at: float
    # End of the last whole exchange, or the opening.
    heard_at: float
    ends_at: float


@dataclass(kw_only=True, frozen=True, slots=True)
class PoolSettings:
    """Ages of connections to targets, in seconds."""

    max_age_s: float = const.DEFAULT_MAX_AGE_S
    max_idle_s: float = const.DEFAULT_MAX_IDLE_S
    check_after_idle_s: float = const.DEFAULT_CHECK_AFTER_IDLE_S


def pool_settings_of(settings: ConnectionSettings) -> PoolSettings:
    """Return the settings in seconds, with defaults for what is not set."""
    defaults = PoolSettings()
    return PoolSettings(
        max_age_s=settings.max_age_ms / MS_PER_SECOND or defaults.max_age_s,
        max_idle_s=settings.max_idle_ms / MS_PER_SECOND or defaults.max_idle_s,
        check_after_idle_s=(
            settings.check_after_idle_ms / MS_PER_SECOND
            or defaults.check_after_idle_s
        ),
    )


def queue_capacity(settings: LimitSettings) -> int:
    """Return how many sub-requests may wait for one target."""
    return settings.queue_per_target or const.DEFAULT_QUEUE_CAPACITY


def at_any_time(target: TargetId) -> float:
    """Return a time that has passed."""
    return float('-inf')


@dataclass(kw_only=True, slots=True)
class Ownership:
    """What an owner asks about a target; `may_send` right before a write."""

    owns: Callable[[TargetId], bool]
    may_send: Callable[[TargetId, float], bool]
    is_out: Callable[[TargetId], bool]
    # Time before which nothing can be sent; the past when unknown.
    starts_at: Callable[[TargetId], float] = at_any_time


@dataclass(kw_only=True, slots=True)
class OwnerCounts:
    """Totals of one owner."""

    sent: int = 0
    answered: int = 0
    hedges_cancelled: int = 0
    cancelled: int = 0
    moved: int = 0
    silent: int = 0
    crossed: int = 0


@dataclass(kw_only=True, slots=True)
class OwnerContext:
    """What all targets of one owner share."""

    ownership: Ownership
    pool: PoolSettings
    queue_capacity: int
    now: Clock
    event: EventSink
    tasks: TaskSet
    rng: random.Random
    next_request_id: Callable[[str], str]
    counts: OwnerCounts = field(default_factory=OwnerCounts)
