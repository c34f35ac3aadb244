"""Bounded, deadline-aware queue of requests waiting for a target."""

import bisect
import contextlib
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

from bitternturn.core.errors import ErrorCode
from bitternturn.policy.const import (
    BEST_SERVICE_SMOOTHING,
    DEFAULT_QUEUE_CAPACITY,
    MAX_RETRY_AFTER_S,
    SERVICE_HALF_LIFE_S,
    SERVICE_SMOOTHING,
    STALL_FACTOR,
)
from bitternturn.schema import config_pb2

MS_PER_SECOND = 1000

# Virtual time charged per dequeued entry of a priority. When all priorities are
# backlogged, 24 of 35 dequeued entries are urgent, 8 normal and 3 background.
STRIDES: Final = (
    (config_pb2.PRIORITY_URGENT, 1),
    (config_pb2.PRIORITY_NORMAL, 3),
    (config_pb2.PRIORITY_BACKGROUND, 8),
)

ItemT = TypeVar('ItemT')


@dataclass(kw_only=True, slots=True, frozen=True)
class Refusal:
    """Reason of a refusal and the suggested retry delay (0: no hint)."""

    code: ErrorCode
    retry_after_ms: int = 0


@dataclass(kw_only=True, slots=True, eq=False)
class QueueEntry(Generic[ItemT]):
    """One queued request; `deadline` is a monotonic clock time."""

    item: ItemT
    priority: config_pb2.Priority.ValueType
    deadline: float


class ServiceTime:
    """Estimates of the typical and the best service time, in seconds.

    Both decay while no request completes. Otherwise the queue would go on to
    refuse, after a slow period, the requests whose completion would show that
    it is over.
    """

    __slots__ = ('best_s', 'typical_s', 'updated_at')

    def __init__(self) -> None:
        """Initialise without any measurement."""
        self.typical_s: float = 0
        self.best_s: float = 0
        self.updated_at: float = 0

    def record(self, service_s: float, now: float) -> None:
        """Record the service time of one request."""
        if not self.typical_s:
            self.typical_s = service_s
            self.best_s = service_s
        self.typical_s += (service_s - self.typical_s) * SERVICE_SMOOTHING
        increase_s = (service_s - self.best_s) * BEST_SERVICE_SMOOTHING
        self.best_s = min(service_s, self.best_s + increase_s)
        self.updated_at = now

    def decay_factor(self, now: float) -> float:
        """Return the decay factor of both times, at most 1."""
        idle_s = now - self.updated_at
        if idle_s <= SERVICE_HALF_LIFE_S:
            return 1
        return math.exp2(1 - idle_s / SERVICE_HALF_LIFE_S)


class _Lane(Generic[ItemT]):
    """Entries of one priority, sorted by deadline.

    `virtual_finish` is the virtual finish time of the next entry.
    """

    __slots__ = ('entries', 'stride', 'virtual_finish')

    def __init__(self, *, stride: int) -> None:
        """Initialise an empty lane."""
        self.stride = stride
        self.virtual_finish = 0
        self.entries: list[QueueEntry[ItemT]] = []

    def count_dequeued_by(self, virtual_finish: int) -> int:
        """Return the number of entries dequeued up to a virtual time."""
        if not self.entries or virtual_finish < self.virtual_finish:
            return 0
        rounds = (virtual_finish - self.virtual_finish) // self.stride + 1
        return min(len(self.entries), rounds)


class AdmissionQueue(Generic[ItemT]):
    """Queues the requests that can still be served before their deadline.

    Within a priority the earliest deadline is dequeued first. Between
    priorities self-clocked fair queueing applies weights, so that an urgent
    request overtakes nearly all others and no priority starves. `slots` is
    the number of requests served concurrently; the owner of the queue keeps
    it up to date. Every accepted entry leaves the queue exactly once: it is
    dequeued, expired, removed or drained.
    """

    __slots__ = (
        'capacity',
        'expired',
        'lanes',
        'last_progress_at',
        'service_time',
        'size',
        'slots',
        'virtual_time',
    )

    def __init__(
        self,
        *,
        slots: int,
        capacity: int = DEFAULT_QUEUE_CAPACITY,
    ) -> None:
        """Initialise an empty queue of at most `capacity` entries."""
        self.slots = slots
        self.capacity = capacity
        self.size = 0
        self.virtual_time = 0
        self.last_progress_at: float = 0
        self.service_time = ServiceTime()
        self.expired: list[QueueEntry[ItemT]] = []
        self.lanes: dict[int, _Lane[ItemT]] = {
            priority: _Lane(stride=stride) for priority, stride in STRIDES
        }

    def __len__(self) -> int:
        """Return the number of queued entries."""
        return self.size

    def enqueue(
        self,
        entry: QueueEntry[ItemT],
        now: float,
    ) -> Refusal | None:
        """Enqueue an entry, or refuse it if it is late or the queue is full."""
        remaining_s = entry.deadline - now
        if remaining_s <= 0:
            return Refusal(code=ErrorCode.DEADLINE)
        lane = self._lane(entry)
        if not lane.entries:
            lane.virtual_finish = max(
                lane.virtual_finish, self.virtual_time + lane.stride
            )
        if self.size:
            lateness_s = self._lateness_s(lane, entry, now)
            if lateness_s >= 0 or self.size >= self.capacity:
                return self._refuse(lateness_s, now)
        else:
            self.last_progress_at = now
        bisect.insort(lane.entries, entry, key=_deadline)
        self.size += 1
        return None

    def dequeue(self, now: float) -> QueueEntry[ItemT] | None:
        """Dequeue the next entry to run, or return None if there is none.

        Entries that can no longer be served in time are skipped and returned
        with the expired ones.
        """
        self._expire_late(now)
        if not self.size:
            return None
        lane = min(self._backlogged_lanes(), key=_virtual_finish)
        self.virtual_time = lane.virtual_finish
        lane.virtual_finish += lane.stride
        self.size -= 1
        self.last_progress_at = now
        return lane.entries.pop(0)

    def pop_expired(self, now: float) -> list[QueueEntry[ItemT]]:
        """Remove and return the entries that will miss their deadline."""
        self._expire_late(now)
        expired = self.expired
        self.expired = []
        return expired

    def remove(self, entry: QueueEntry[ItemT]) -> bool:
        """Remove a cancelled entry; return False if it is not queued."""
        lane = self._lane(entry)
        start = bisect.bisect_left(lane.entries, entry.deadline, key=_deadline)
        with contextlib.suppress(ValueError):
            lane.entries.pop(lane.entries.index(entry, start))
            self.size -= 1
            return True
        return False

    def drain(self) -> list[QueueEntry[ItemT]]:
        """Remove and return all entries, including the expired ones."""
        removed = self.expired
        self.expired = []
        for lane in self.lanes.values():
            removed.extend(lane.entries)
            lane.entries.clear()
        self.size = 0
        return removed

    def record_service_time(self, service_s: float, now: float) -> None:
        """Record the time from sending a request to its answer, in seconds."""
        self.service_time.record(service_s, now)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of the queued entries, if any."""
        return min(
            (lane.entries[0].deadline for lane in self._backlogged_lanes()),
            default=None,
        )

    def expected_wait_s(self, ahead: int, now: float) -> float:
        """Return the queueing time of an entry behind `ahead` others.

        A stall of the queue counts as service time once it is long enough.
        """
        typical_s = (
            self.service_time.typical_s * self.service_time.decay_factor(now)
        )
        stalled_s = now - self.last_progress_at
        if stalled_s > typical_s * STALL_FACTOR:
            typical_s = max(
                typical_s, stalled_s if self.service_time.typical_s else 0
            )
        return typical_s * (ahead + 1) / max(1, self.slots)

    def _lane(self, entry: QueueEntry[ItemT]) -> _Lane[ItemT]:
        """Return the lane of an entry; unknown priorities count as normal."""
        normal = self.lanes[config_pb2.PRIORITY_NORMAL]
        return self.lanes.get(entry.priority, normal)

    def _backlogged_lanes(self) -> Iterator[_Lane[ItemT]]:
        """Yield the lanes that have entries, urgent first."""
        return (lane for lane in self.lanes.values() if lane.entries)

    def _lateness_s(
        self,
        lane: _Lane[ItemT],
        entry: QueueEntry[ItemT],
        now: float,
    ) -> float:
        """Return by how many seconds an entry would miss its deadline."""
        position = bisect.bisect_right(
            lane.entries, entry.deadline, key=_deadline
        )
        virtual_finish = lane.virtual_finish + position * lane.stride
        ahead = position + sum(
            other.count_dequeued_by(virtual_finish)
            for other in self._backlogged_lanes()
            if other is not lane
        )
        typical_s = (
            self.service_time.typical_s * self.service_time.decay_factor(now)
        )
        expected_end = now + self.expected_wait_s(ahead, now) + typical_s
        return expected_end - entry.deadline

    def _refuse(self, lateness_s: float, now: float) -> Refusal:
        """Return a refusal with the expected time until there is room."""
        excess = max(0, self.size - self.capacity)
        until_room_s = max(lateness_s, self.expected_wait_s(excess, now))
        hint_s = min(MAX_RETRY_AFTER_S, until_room_s)
        return Refusal(
            code=ErrorCode.OVERLOADED,
            retry_after_ms=max(1, math.ceil(hint_s * MS_PER_SECOND)),
        )

    def _expire_late(self, now: float) -> None:
        """Move entries to `expired` that are late even at the best time."""
        earliest_end = (
            now + self.service_time.best_s * self.service_time.decay_factor(now)
        )
        for lane in self._backlogged_lanes():
            if lane.entries[0].deadline > earliest_end:
                continue
            late = bisect.bisect_right(
                lane.entries, earliest_end, key=_deadline
            )
            self.expired.extend(lane.entries[:late])
            lane.entries = lane.entries[late:]
            self.size -= late


def _deadline(entry: QueueEntry[ItemT]) -> float:
    """Return the sort key of the entries of a lane."""
    return entry.deadline


def _virtual_finish(lane: _Lane[ItemT]) -> int:
    """Return the sort key of the lanes."""
    return lane.virtual_finish
