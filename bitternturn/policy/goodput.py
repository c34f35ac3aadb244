"""Rate of queries that an index bears, learnt from its refusals."""

import math
from dataclasses import dataclass
from typing import Final

from bitternturn.core.errors import ErrorCode
from bitternturn.policy.admission import Refusal
from bitternturn.schema import config_pb2

MS_PER_SECOND: Final = 1000
# Window over which the rate of answered queries is taken.
WINDOW_S: Final = 1.0
SHRINK_FACTOR: Final = 0.9
# Queries sent before a cut are refused after it; they are not held against it.
SETTLE_S: Final = 0.5
GROWTH_PER_S: Final = 0.1
# Growth once nothing has failed for a while: the limit is far too low then.
FAST_GROWTH_PER_S: Final = 0.5
FAST_AFTER_S: Final = 3.0
# Least time over which the rate of a window that has just begun is taken.
LEAST_AGE_S: Final = 0.25
LEAST_RATE: Final = 0.5
# Limit above this multiple of what is offered binds nobody.
IDLE_FACTOR: Final = 4.0
BURST_S: Final = 0.25
LEAST_BURST: Final = 4.0
# Share of the burst that is left to the more urgent priorities.
RESERVES: Final = (
    (config_pb2.PRIORITY_URGENT, 0.0),
    (config_pb2.PRIORITY_NORMAL, 0.3),
    (config_pb2.PRIORITY_BACKGROUND, 0.5),
)


@dataclass(slots=True)
class _Window:
    """Counts queries over one to two windows."""

    started: float = 0
    count: int = 0
    previous: float = 0

    def add(self, now: float) -> None:
        """Count one query."""
        self._turn(now)
        self.count += 1

    def rate(self, now: float) -> float:
        """Return queries a second, of the last whole window if higher."""
        self._turn(now)
        age_s = max(now - self.started, LEAST_AGE_S)
        return max(self.previous, self.count / age_s)

    def _turn(self, now: float) -> None:
        """Begin a new window when the present one is over."""
        age_s = now - self.started
        if age_s < WINDOW_S:
            return
        self.previous = self.count / age_s if age_s < 2 * WINDOW_S else 0
        self.started = now
        self.count = 0


class GoodputLimit:
    """Token bucket whose rate follows what the index answers.

    Without it queries are let in of which some shard is then refused for
    load, and the work of the other shards is lost. There is no limit until a
    query fails for load.
    """

    __slots__ = ('cut_at', 'done', 'rate', 'tokens', 'updated_at')

    def __init__(self) -> None:
        """Start without a limit."""
        self.rate: float | None = None
        self.tokens: float = 0
        self.updated_at: float = 0
        self.cut_at = float('-inf')
        self.done = _Window()

    def offer(
        self,
        priority: config_pb2.Priority.ValueType,
        now: float,
    ) -> Refusal | None:
        """Take a token for a query, or refuse it."""
        rate = self.rate
        if rate is None:
            return None
        self._refill(rate, now)
        needed = 1 + dict(RESERVES).get(priority, 0) * self._burst(rate)
        if self.tokens >= needed:
            self.tokens -= 1
            return None
        wait_s = (needed - self.tokens) / rate
        return Refusal(
            code=ErrorCode.OVERLOADED,
            retry_after_ms=math.ceil(wait_s * MS_PER_SECOND),
        )

    def on_done(self, now: float) -> None:
        """Take in an answered query."""
        self.done.add(now)

    def on_overload(self, now: float) -> None:
        """Take in a query that failed because a shard was refused for load."""
        if now - self.cut_at < SETTLE_S:
            return
        self.cut_at = now
        measured = self.done.rate(now)
        if self.rate is None:
            self.rate = max(LEAST_RATE, measured)
            self.tokens = self._burst(self.rate)
            self.updated_at = now
            return
        self._refill(self.rate, now)
        self.rate = max(LEAST_RATE, measured, self.rate * SHRINK_FACTOR)

    def _refill(self, rate: float, now: float) -> None:
        """Add the tokens and the growth of the time that has passed."""
        passed_s = now - self.updated_at
        self.updated_at = now
        burst = self._burst(rate)
        self.tokens = min(burst, self.tokens + passed_s * rate)
        if now - self.cut_at < SETTLE_S:
            return
        quiet = now - self.cut_at >= FAST_AFTER_S
        growth_per_s = FAST_GROWTH_PER_S if quiet else GROWTH_PER_S
        grown = rate * (1 + growth_per_s * min(passed_s, 1))
        self.rate = grown
        if grown > IDLE_FACTOR * max(LEAST_RATE, self.done.rate(now)):
            self.rate = None

    def _burst(self, rate: float) -> float:
        """Return the most tokens."""
        return max(LEAST_BURST, rate * BURST_S)
