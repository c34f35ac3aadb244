"""Admission control for the queries of callers."""

import math
from collections import Counter
from typing import Final

from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import ProfileName
from bitternturn.policy.admission import MS_PER_SECOND, Refusal, ServiceTime
from bitternturn.policy.const import (
    DEFAULT_QUERY_CAPACITY,
    LAG_GROWTH_FACTOR,
    LAG_SHRINK_FACTOR,
    MAX_LOOP_LAG_S,
    MAX_PROFILE_SHARE,
    MAX_RETRY_AFTER_S,
    MIN_CAPACITY_SHARE,
)
from bitternturn.schema import config_pb2

# Share of the capacity up to which queries of a priority are admitted.
CAPACITY_CEILINGS: Final = (
    (config_pb2.PRIORITY_URGENT, 1.0),
    (config_pb2.PRIORITY_NORMAL, 0.85),
    (config_pb2.PRIORITY_BACKGROUND, 0.6),
)
# Share of the capacity that is reserved for a priority.
RESERVED_SHARES: Final = (
    (config_pb2.PRIORITY_URGENT, 0.25),
    (config_pb2.PRIORITY_NORMAL, 0.1),
    (config_pb2.PRIORITY_BACKGROUND, 0.05),
)


class QueryAdmission:
    """Sheds queries before any work on them, background ones first.

    A reserve per priority and a cap per profile prevent starvation of any of
    them. `capacity` is a number of queries in progress; the effective
    capacity is reduced while the event loop lags.
    """

    __slots__ = (
        'capacity',
        'effective_capacity',
        'in_progress',
        'profiles',
        'service_time',
        'total',
    )

    def __init__(self, *, capacity: int = DEFAULT_QUERY_CAPACITY) -> None:
        """Initialise with no queries in progress."""
        self.capacity = capacity
        self.effective_capacity = float(capacity)
        self.total = 0
        self.profiles: Counter[ProfileName] = Counter()
        self.in_progress = {priority: 0 for priority, _ in CAPACITY_CEILINGS}
        self.service_time = ServiceTime()

    def try_admit(
        self,
        profile: ProfileName,
        priority: config_pb2.Priority.ValueType,
        now: float,
    ) -> Refusal | None:
        """Admit or refuse a query.

        The end of every admitted query has to be reported.
        """
        known_priority = self._known_priority(priority)
        if not self._has_room(known_priority, profile):
            return self._refuse(now)
        self.total += 1
        self.in_progress[known_priority] += 1
        self.profiles[profile] += 1
        return None

    def on_done(
        self,
        profile: ProfileName,
        priority: config_pb2.Priority.ValueType,
        duration_s: float,
        now: float,
    ) -> None:
        """Record the end of an admitted query after `duration_s` seconds."""
        self.total -= 1
        self.in_progress[self._known_priority(priority)] -= 1
        self.profiles[profile] -= 1
        if not self.profiles[profile]:
            self.profiles.pop(profile)
        self.service_time.record(duration_s, now)

    def on_loop_lag(self, lag_s: float, cpu_time_s: float) -> None:
        """Update the effective capacity by the lag of an event loop timer.

        Both arguments are in seconds: how late the timer was, and how much
        processor time this process has used since the timer was set. The
        queries of this process can't have delayed the timer by more than
        that; the rest of the lag is due to other processes, and shedding
        queries would not reduce it.
        """
        lagging = min(lag_s, cpu_time_s) > MAX_LOOP_LAG_S
        factor = LAG_SHRINK_FACTOR if lagging else LAG_GROWTH_FACTOR
        min_capacity = max(1, self.capacity * MIN_CAPACITY_SHARE)
        self.effective_capacity = min(
            self.capacity, max(min_capacity, self.effective_capacity * factor)
        )

    def _known_priority(
        self,
        priority: config_pb2.Priority.ValueType,
    ) -> config_pb2.Priority.ValueType:
        """Return the priority, or normal for an unknown one."""
        if priority in self.in_progress:
            return priority
        return config_pb2.PRIORITY_NORMAL

    def _has_room(
        self,
        priority: config_pb2.Priority.ValueType,
        profile: ProfileName,
    ) -> bool:
        """Return whether one more query of a profile can be admitted."""
        reserved = {
            other: max(
                0,
                math.ceil(share * self.effective_capacity)
                - self.in_progress[other],
            )
            for other, share in RESERVED_SHARES
        }
        if self.total >= self.effective_capacity:
            return False
        if reserved.pop(priority):
            return True
        ceiling = dict(CAPACITY_CEILINGS)[priority] * self.effective_capacity
        available = ceiling - sum(reserved.values())
        if self.profiles[profile] >= available * MAX_PROFILE_SHARE:
            return False
        return self.total < available

    def _refuse(self, now: float) -> Refusal:
        """Return a refusal with the expected time until a query ends."""
        typical_s = (
            self.service_time.typical_s * self.service_time.decay_factor(now)
        )
        hint_s = min(MAX_RETRY_AFTER_S, typical_s)
        return Refusal(
            code=ErrorCode.OVERLOADED,
            retry_after_ms=max(1, math.ceil(hint_s * MS_PER_SECOND)),
        )
