"""Admission of queries at their entry."""

import math
from collections import Counter
from typing import Final

from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import ProfileName
from bitternturn.policy.admission import MS_PER_SECOND, Refusal, ServiceTime
from bitternturn.policy.const import (
    DEFAULT_ENTRY_CAPACITY,
    LAG_GROWTH_FACTOR,
    LAG_SHRINK_FACTOR,
    MAX_LOOP_LAG_S,
    MAX_PROFILE_SHARE,
    MAX_RETRY_AFTER_S,
    MIN_CAPACITY_SHARE,
)
from bitternturn.schema import config_pb2

# Share of the capacity up to which a priority is taken.
CEILINGS: Final = (
    (config_pb2.PRIORITY_URGENT, 1.0),
    (config_pb2.PRIORITY_NORMAL, 0.85),
    (config_pb2.PRIORITY_BACKGROUND, 0.6),
)
# Share of the capacity that is kept for a priority.
RESERVES: Final = (
    (config_pb2.PRIORITY_URGENT, 0.25),
    (config_pb2.PRIORITY_NORMAL, 0.1),
    (config_pb2.PRIORITY_BACKGROUND, 0.05),
)


class EntryAdmission:
    """Sheds queries early, background ones first.

    A reserve for each priority and a cap for each profile keep any of them
    from being starved. `capacity` is a number of queries in progress; it
    shrinks while the event loop lags.
    """

    __slots__ = (
        'capacity',
        'profiles',
        'running',
        'service',
        'total',
        'usable',
    )

    def __init__(self, *, capacity: int = DEFAULT_ENTRY_CAPACITY) -> None:
        """Start with nothing in progress."""
        self.capacity = capacity
        self.usable = float(capacity)
        self.total = 0
        self.profiles: Counter[ProfileName] = Counter()
        self.running = {priority: 0 for priority, _ in CEILINGS}
        self.service = ServiceTime()

    def offer(
        self,
        profile: ProfileName,
        priority: config_pb2.Priority.ValueType,
        now: float,
    ) -> Refusal | None:
        """Count a query in, or refuse it; `on_done` must follow if taken."""
        known = self._known(priority)
        if not self._has_room(known, profile):
            return self._refuse(now)
        self.total += 1
        self.running[known] += 1
        self.profiles[profile] += 1
        return None

    def on_done(
        self,
        profile: ProfileName,
        priority: config_pb2.Priority.ValueType,
        duration_s: float,
        now: float,
    ) -> None:
        """Count a query out that took `duration_s` seconds."""
        self.total -= 1
        self.running[self._known(priority)] -= 1
        self.profiles[profile] -= 1
        if not self.profiles[profile]:
            self.profiles.pop(profile)
        self.service.record(duration_s, now)

    def on_lag(self, lag_s: float, used_s: float) -> None:
        """Take in by how much a timer of the loop was late, in seconds.

        `used_s` is the processor time of this process since the timer was
        set: its queries have delayed the timer by no more than that. The rest
        is due to other processes, and fewer queries would not shorten it.
        """
        late = min(lag_s, used_s) > MAX_LOOP_LAG_S
        factor = LAG_SHRINK_FACTOR if late else LAG_GROWTH_FACTOR
        least = max(1, self.capacity * MIN_CAPACITY_SHARE)
        self.usable = min(self.capacity, max(least, self.usable * factor))

    def _known(
        self,
        priority: config_pb2.Priority.ValueType,
    ) -> config_pb2.Priority.ValueType:
        """Return the priority, normal for an unknown one."""
        if priority in self.running:
            return priority
        return config_pb2.PRIORITY_NORMAL

    def _has_room(
        self,
        priority: config_pb2.Priority.ValueType,
        profile: ProfileName,
    ) -> bool:
        """Return whether one more query of a profile is taken."""
        kept = {
            other: max(0, math.ceil(share * self.usable) - self.running[other])
            for other, share in RESERVES
        }
        if self.total >= self.usable:
            return False
        if kept.pop(priority):
            return True
        ceiling = dict(CEILINGS)[priority] * self.usable
        room = ceiling - sum(kept.values())
        if self.profiles[profile] >= room * MAX_PROFILE_SHARE:
            return False
        return self.total < room

    def _refuse(self, now: float) -> Refusal:
        """Return a refusal with the time until a query ends."""
        usual_s = self.service.usual_s * self.service.freshness(now)
        hint_s = min(MAX_RETRY_AFTER_S, usual_s)
        return Refusal(
            code=ErrorCode.OVERLOADED,
            retry_after_ms=max(1, math.ceil(hint_s * MS_PER_SECOND)),
        )
