"""Queue of the requests that wait for a target."""

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

# Virtual time that one taken entry costs its priority: of 35 entries taken
# from full queues 24 are urgent, 8 normal, 3 background.
STRIDES: Final = (
    (config_pb2.PRIORITY_URGENT, 1),
    (config_pb2.PRIORITY_NORMAL, 3),
    (config_pb2.PRIORITY_BACKGROUND, 8),
)

ItemT = TypeVar('ItemT')


@dataclass(kw_only=True, slots=True, frozen=True)
class Refusal:
    """Why something is not run, and when to come back (0: no hint)."""

    code: ErrorCode
    retry_after_ms: int = 0


@dataclass(kw_only=True, slots=True, eq=False)
class QueueEntry(Generic[ItemT]):
    """One waiting request; `deadline` is a time of the monotonic clock."""

    item: ItemT
    priority: config_pb2.Priority.ValueType
    deadline: float


class ServiceTime:
    """Usual and best times of service, in seconds.

    Both fall while no request ends, so that a slow spell can't keep out the
    requests that would show its end.
    """

    __slots__ = ('best_s', 'updated_at', 'usual_s')

    def __init__(self) -> None:
        """Start with no time known."""
        self.usual_s: float = 0
        self.best_s: float = 0
        self.updated_at: float = 0

    def record(self, service_s: float, now: float) -> None:
        """Take in how long one request took."""
        if not self.usual_s:
            self.usual_s = service_s
            self.best_s = service_s
        self.usual_s += (service_s - self.usual_s) * SERVICE_SMOOTHING
        rise_s = (service_s - self.best_s) * BEST_SERVICE_SMOOTHING
        self.best_s = min(service_s, self.best_s + rise_s)
        self.updated_at = now

    def freshness(self, now: float) -> float:
        """Return the factor, up to 1, by which the times have fallen."""
        idle_s = now - self.updated_at
        if idle_s <= SERVICE_HALF_LIFE_S:
            return 1
        return math.exp2(1 - idle_s / SERVICE_HALF_LIFE_S)


class _Lane(Generic[ItemT]):
    """Entries of one priority by deadline, with its next virtual time."""

    __slots__ = ('entries', 'finish', 'stride')

    def __init__(self, *, stride: int) -> None:
        """Start empty."""
        self.stride = stride
        self.finish = 0
        self.entries: list[QueueEntry[ItemT]] = []

    def taken_before(self, finish: int) -> int:
        """Return how many entries go before a virtual time."""
        if not self.entries or finish < self.finish:
            return 0
        rounds = (finish - self.finish) // self.stride + 1
        return min(len(self.entries), rounds)


class AdmissionQueue(Generic[ItemT]):
    """Holds the requests that can still be served in time.

    Within a priority the nearest deadline goes first; between priorities
    turns are shared out by weight (self-clocked fair queueing), so that an
    urgent request goes before nearly all others and none waits for ever.
    `slots` is the number of requests served at once; the owner of the queue
    keeps it up to date. Every entry that is offered is returned once: by
    `take`, `expire`, `remove` or `drain`, unless it is refused.
    """

    __slots__ = (
        'capacity',
        'dropped',
        'lanes',
        'progress_at',
        'service',
        'size',
        'slots',
        'virtual',
    )

    def __init__(
        self,
        *,
        slots: int,
        capacity: int = DEFAULT_QUEUE_CAPACITY,
    ) -> None:
        """Start empty; more than `capacity` entries never wait."""
        self.slots = slots
        self.capacity = capacity
        self.size = 0
        self.virtual = 0
        self.progress_at: float = 0
        self.service = ServiceTime()
        self.dropped: list[QueueEntry[ItemT]] = []
        self.lanes: dict[int, _Lane[ItemT]] = {
            priority: _Lane(stride=stride) for priority, stride in STRIDES
        }

    def __len__(self) -> int:
        """Return the number of entries that wait."""
        return self.size

    def offer(
        self,
        entry: QueueEntry[ItemT],
        now: float,
    ) -> Refusal | None:
        """Let an entry wait, or refuse it at once when it would be in vain."""
        left_s = entry.deadline - now
        if left_s <= 0:
            return Refusal(code=ErrorCode.DEADLINE)
        lane = self._lane(entry)
        if not lane.entries:
            lane.finish = max(lane.finish, self.virtual + lane.stride)
        if self.size:
            lack_s = self._lack_s(lane, entry, now)
            if lack_s >= 0 or self.size >= self.capacity:
                return self._refuse(lack_s, now)
        else:
            self.progress_at = now
        bisect.insort(lane.entries, entry, key=_deadline)
        self.size += 1
        return None

    def take(self, now: float) -> QueueEntry[ItemT] | None:
        """Return the next entry to run; None when none waits.

        Entries that can't be served in time any more are left to `expire`.
        """
        self._drop(now)
        if not self.size:
            return None
        lane = min(self._waiting(), key=_finish)
        self.virtual = lane.finish
        lane.finish += lane.stride
        self.size -= 1
        self.progress_at = now
        return lane.entries.pop(0)

    def expire(self, now: float) -> list[QueueEntry[ItemT]]:
        """Return the entries that can't be served in time any more."""
        self._drop(now)
        dropped = self.dropped
        self.dropped = []
        return dropped

    def remove(self, entry: QueueEntry[ItemT]) -> bool:
        """Take out a cancelled entry; return False if it does not wait."""
        lane = self._lane(entry)
        start = bisect.bisect_left(lane.entries, entry.deadline, key=_deadline)
        with contextlib.suppress(ValueError):
            lane.entries.pop(lane.entries.index(entry, start))
            self.size -= 1
            return True
        return False

    def drain(self) -> list[QueueEntry[ItemT]]:
        """Return all entries, also the dropped ones, and leave none."""
        drained = self.dropped
        self.dropped = []
        for lane in self.lanes.values():
            drained.extend(lane.entries)
            lane.entries.clear()
        self.size = 0
        return drained

    def on_served(self, service_s: float, now: float) -> None:
        """Take in how long a request took from its sending, in seconds."""
        self.service.record(service_s, now)

    def next_deadline(self) -> float | None:
        """Return the nearest deadline of the entries that wait."""
        return min(
            (lane.entries[0].deadline for lane in self._waiting()),
            default=None,
        )

    def expected_wait_s(self, ahead: int, now: float) -> float:
        """Return the time until `ahead` entries and one more are taken."""
        usual_s = self.service.usual_s * self.service.freshness(now)
        stalled_s = now - self.progress_at
        if stalled_s > usual_s * STALL_FACTOR:
            usual_s = max(usual_s, stalled_s if self.service.usual_s else 0)
        return usual_s * (ahead + 1) / max(1, self.slots)

    def _lane(self, entry: QueueEntry[ItemT]) -> _Lane[ItemT]:
        """Return the lane of an entry; unknown priorities are normal."""
        normal = self.lanes[config_pb2.PRIORITY_NORMAL]
        return self.lanes.get(entry.priority, normal)

    def _waiting(self) -> Iterator[_Lane[ItemT]]:
        """Yield the lanes with entries, urgent first."""
        return (lane for lane in self.lanes.values() if lane.entries)

    def _lack_s(
        self,
        lane: _Lane[ItemT],
        entry: QueueEntry[ItemT],
        now: float,
    ) -> float:
        """Return by how much an entry would be too late, in seconds."""
        place = bisect.bisect_right(lane.entries, entry.deadline, key=_deadline)
        finish = lane.finish + place * lane.stride
        ahead = place + sum(
            other.taken_before(finish)
            for other in self._waiting()
            if other is not lane
        )
        usual_s = self.service.usual_s * self.service.freshness(now)
        end = now + self.expected_wait_s(ahead, now) + usual_s
        return end - entry.deadline

    def _refuse(self, lack_s: float, now: float) -> Refusal:
        """Return a refusal with the time until there is room."""
        surplus = max(0, self.size - self.capacity)
        room_s = max(lack_s, self.expected_wait_s(surplus, now))
        hint_s = min(MAX_RETRY_AFTER_S, room_s)
        return Refusal(
            code=ErrorCode.OVERLOADED,
            retry_after_ms=max(1, math.ceil(hint_s * MS_PER_SECOND)),
        )

    def _drop(self, now: float) -> None:
        """Set aside the entries that even the best service can't save."""
        latest = now + self.service.best_s * self.service.freshness(now)
        for lane in self._waiting():
            if lane.entries[0].deadline > latest:
                continue
            late = bisect.bisect_right(lane.entries, latest, key=_deadline)
            self.dropped.extend(lane.entries[:late])
            lane.entries = lane.entries[late:]
            self.size -= late


def _deadline(entry: QueueEntry[ItemT]) -> float:
    """Return the sort key of a lane."""
    return entry.deadline


def _finish(lane: _Lane[ItemT]) -> int:
    """Return the sort key of the lanes."""
    return lane.finish
