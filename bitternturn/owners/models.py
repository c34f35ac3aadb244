"""Types shared by the modules of an owner."""

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


class SubRequest(asyncio.Future[SubResult]):
    """One sub-request at its owner; the future of its result."""

    group: QueryGroup
    item: SubQuery
    deadline: float
    entry: QueueEntry['SubRequest']
    # Whether a target may have run it in an earlier send.
    possibly_run: bool
    retried: bool
    sent_request: 'SentRequest | None'
    on_cancel: Callable[['SubRequest'], None] | None

    def cancel(self, msg: object = None) -> bool:
        """Cancel the sub-request, also at its target."""
        if not super().cancel(msg):
            return False
        if self.on_cancel is not None:
            self.on_cancel(self)
        return True


def make_sub_request(
    group: QueryGroup, item: SubQuery, now: float
) -> SubRequest:
    """Return a sub-request whose deadline counts from `now`."""
    sub_request = SubRequest()
    sub_request.group = group
    sub_request.item = item
    sub_request.deadline = now + group.remaining_ms / MS_PER_SECOND
    sub_request.entry = QueueEntry(
        item=sub_request,
        priority=group.priority,
        deadline=sub_request.deadline,
    )
    sub_request.possibly_run = False
    sub_request.retried = False
    sub_request.sent_request = None
    sub_request.on_cancel = None
    return sub_request


@dataclass(kw_only=True, slots=True, eq=False)
class SentRequest:
    """One request that was written to a target."""

    sub_request: SubRequest
    connection: 'PooledConnection'
    request_id: str
    sent_at: float
    timer: asyncio.TimerHandle | None = None
    ended: bool = False


@dataclass(kw_only=True, slots=True, eq=False)
class PooledConnection:
    """A connection with its monotonic timestamps."""

    http: ClientConnection
    opened_at: float
    # When it was opened or last returned to the pool.
    last_returned_at: float
    expires_at: float


@dataclass(kw_only=True, frozen=True, slots=True)
class PoolSettings:
    """Age and idle limits of connections to targets."""

    max_age_s: float = const.DEFAULT_MAX_AGE_S
    max_idle_s: float = const.DEFAULT_MAX_IDLE_S
    check_after_idle_s: float = const.DEFAULT_CHECK_AFTER_IDLE_S


def make_pool_settings(settings: ConnectionSettings) -> PoolSettings:
    """Convert connection settings; zero values take the defaults."""
    defaults = PoolSettings()
    return PoolSettings(
        max_age_s=settings.max_age_ms / MS_PER_SECOND or defaults.max_age_s,
        max_idle_s=settings.max_idle_ms / MS_PER_SECOND or defaults.max_idle_s,
        check_after_idle_s=(
            settings.check_after_idle_ms / MS_PER_SECOND
            or defaults.check_after_idle_s
        ),
    )


def get_queue_capacity(settings: LimitSettings) -> int:
    """Return how many sub-requests may be queued for one target."""
    return settings.queue_per_target or const.DEFAULT_QUEUE_CAPACITY


def no_send_delay(target: TargetId) -> float:
    """Return a time in the past: sending is not delayed."""
    return float('-inf')


@dataclass(kw_only=True, slots=True)
class OwnershipQueries:
    """Queries about a target; `may_send` is called right before a write."""

    owns: Callable[[TargetId], bool]
    may_send: Callable[[TargetId, float], bool]
    is_switched_out: Callable[[TargetId], bool]
    # Earliest time at which a send is allowed; in the past if unknown.
    earliest_send_at: Callable[[TargetId], float] = no_send_delay


@dataclass(kw_only=True, slots=True)
class OwnerCounts:
    """Counters of one owner since its start."""

    sent: int = 0
    answered: int = 0
    hedges_cancelled: int = 0
    cancelled: int = 0
    retried: int = 0
    silent: int = 0
    mismatched: int = 0


@dataclass(kw_only=True, slots=True)
class OwnerContext:
    """State and dependencies shared by all targets of one owner."""

    ownership: OwnershipQueries
    pool: PoolSettings
    queue_capacity: int
    now: Clock
    event: EventSink
    tasks: TaskSet
    rng: random.Random
    next_request_id: Callable[[str], str]
    counts: OwnerCounts = field(default_factory=OwnerCounts)
