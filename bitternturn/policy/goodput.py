"""Adaptive rate limit of the queries to an index."""

import math
from dataclasses import dataclass
from typing import Final

from bitternturn.core.errors import ErrorCode
from bitternturn.policy.admission import Refusal
from bitternturn.schema import config_pb2

MS_PER_SECOND: Final = 1000
# Window over which the rate of answered queries is measured.
WINDOW_S: Final = 1.0
SHRINK_FACTOR: Final = 0.9
# Time without a further decrease: overloads in it are due to queries that were
# admitted before the last decrease.
DECREASE_INTERVAL_S: Final = 0.5
# Relative increase of the limit per second.
GROWTH_PER_S: Final = 0.1
# Faster growth after a period without overload, when the limit is far too low.
FAST_GROWTH_PER_S: Final = 0.5
FAST_GROWTH_AFTER_S: Final = 3.0
# Minimum time over which the rate of a new window is computed.
MIN_WINDOW_AGE_S: Final = 0.25
MIN_RATE_PER_S: Final = 0.5
# The limit is removed above this multiple of the rate of answered queries.
REMOVAL_FACTOR: Final = 4.0
# Burst, as the time in which the limit refills it, and its minimum in queries.
BURST_S: Final = 0.25
MIN_BURST: Final = 4.0
# Share of the burst that is reserved for more urgent priorities.
RESERVED_BURST_SHARES: Final = (
    (config_pb2.PRIORITY_URGENT, 0.0),
    (config_pb2.PRIORITY_NORMAL, 0.3),
    (config_pb2.PRIORITY_BACKGROUND, 0.5),
)


@dataclass(slots=True)
class _Window:
    """Counter of queries over the last one to two windows."""

    started_at: float = 0
    count: int = 0
    previous_rate: float = 0

    def add(self, now: float) -> None:
        """Record one query."""
        self._rotate(now)
        self.count += 1

    def rate(self, now: float) -> float:
        """Return queries per second, the higher rate of both windows."""
        self._rotate(now)
        age_s = max(now - self.started_at, MIN_WINDOW_AGE_S)
        return max(self.previous_rate, self.count / age_s)

    def _rotate(self, now: float) -> None:
        """Start a new window if the current one has ended."""
        age_s = now - self.started_at
        if age_s < WINDOW_S:
            return
        self.previous_rate = self.count / age_s if age_s < 2 * WINDOW_S else 0
        self.started_at = now
        self.count = 0


class GoodputLimit:
    """Token bucket whose rate follows the rate of answered queries.

    Without it, queries are admitted that fail because one of their shards is
    overloaded, which wastes the work of their other shards. There is no limit
    until a query fails due to overload.
    """

    __slots__ = ('answered', 'decreased_at', 'rate', 'tokens', 'updated_at')

    def __init__(self) -> None:
        """Initialise without a limit."""
        self.rate: float | None = None
        self.tokens: float = 0
        self.updated_at: float = 0
        self.decreased_at = float('-inf')
        self.answered = _Window()

    def try_admit(
        self,
        priority: config_pb2.Priority.ValueType,
        now: float,
    ) -> Refusal | None:
        """Spend a token on a query, or refuse the query."""
        rate = self.rate
        if rate is None:
            return None
        self._refill(rate, now)
        needed = 1 + dict(RESERVED_BURST_SHARES).get(priority, 0) * self._burst(
            rate
        )
        if self.tokens >= needed:
            self.tokens -= 1
            return None
        wait_s = (needed - self.tokens) / rate
        return Refusal(
            code=ErrorCode.OVERLOADED,
            retry_after_ms=math.ceil(wait_s * MS_PER_SECOND),
        )

    def on_answered(self, now: float) -> None:
        """Record an answered query."""
        self.answered.add(now)

    def on_overload(self, now: float) -> None:
        """Record a query that failed because a shard was overloaded."""
        if now - self.decreased_at < DECREASE_INTERVAL_S:
            return
        self.decreased_at = now
        answered_rate = self.answered.rate(now)
        if self.rate is None:
            self.rate = max(MIN_RATE_PER_S, answered_rate)
            self.tokens = self._burst(self.rate)
            self.updated_at = now
            return
        self._refill(self.rate, now)
        self.rate = max(
            MIN_RATE_PER_S, answered_rate, self.rate * SHRINK_FACTOR
        )

    def _refill(self, rate: float, now: float) -> None:
        """Add tokens and increase the rate for the elapsed time."""
        elapsed_s = now - self.updated_at
        self.updated_at = now
        burst = self._burst(rate)
        self.tokens = min(burst, self.tokens + elapsed_s * rate)
        if now - self.decreased_at < DECREASE_INTERVAL_S:
            return
        without_overload = now - self.decreased_at >= FAST_GROWTH_AFTER_S
        growth_per_s = FAST_GROWTH_PER_S if without_overload else GROWTH_PER_S
        grown = rate * (1 + growth_per_s * min(elapsed_s, 1))
        self.rate = grown
        if grown > REMOVAL_FACTOR * max(
            MIN_RATE_PER_S, self.answered.rate(now)
        ):
            self.rate = None

    def _burst(self, rate: float) -> float:
        """Return the capacity of the bucket in tokens."""
        return max(MIN_BURST, rate * BURST_S)
