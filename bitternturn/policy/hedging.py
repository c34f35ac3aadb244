"""When a second replica is asked."""

import math

from hdrh.histogram import HdrHistogram

from bitternturn.policy import const
from bitternturn.policy.budget import TokenBudget
from bitternturn.policy.replicas import ReplicaView

US_PER_SECOND = 1_000_000
PERCENT = 100
MEDIAN = 0.5


class HedgeBudget(TokenBudget):
    """Bounds the extra load of hedging."""

    __slots__ = ()


class LatencyTrack:
    """Quantiles of the latencies of the last one to two windows.

    Latencies are recorded in batches and quantiles kept for
    `LATENCY_REFRESH_S`, for both are slow in the histogram.
    """

    __slots__ = (
        'batch',
        'batch_at',
        'cache',
        'cached_at',
        'current',
        'previous',
        'samples',
        'turned_at',
        'window_s',
    )

    def __init__(
        self,
        *,
        window_s: float = const.DEFAULT_LATENCY_WINDOW_S,
        samples: int = const.DEFAULT_LATENCY_SAMPLES,
    ) -> None:
        """Start with no sample; quantiles need at least `samples`."""
        self.window_s = window_s
        self.samples = samples
        self.current = _histogram()
        self.previous = _histogram()
        self.batch: list[float] = []
        self.batch_at: float = 0
        self.turned_at: float | None = None
        self.cache: dict[float, float | None] = {}
        self.cached_at: float = 0

    def record(self, latency_s: float, now: float) -> None:
        """Take in the latency of one answer, in seconds."""
        if not self.batch:
            self.batch_at = now
        self.batch.append(latency_s)
        if now - self.batch_at >= const.LATENCY_REFRESH_S:
            self._flush()

    def quantile(self, q: float, now: float) -> float | None:
        """Return a quantile in seconds; None while samples are too few."""
        if now - self.cached_at >= const.LATENCY_REFRESH_S:
            self.cache.clear()
            self.cached_at = now
        if q not in self.cache:
            self.cache[q] = self._read(q, now)
        return self.cache[q]

    def _read(self, q: float, now: float) -> float | None:
        """Return a quantile of both windows."""
        self._flush()
        self._turn(now)
        both = _histogram()
        both.add(self.previous)
        both.add(self.current)
        if both.get_total_count() < self.samples:
            return None
        value_us: float = both.get_value_at_percentile(q * PERCENT)
        return value_us / US_PER_SECOND

    def _flush(self) -> None:
        """Record the batch in the window in which it began."""
        self._turn(self.batch_at)
        for latency_s in self.batch:
            value_us = int(latency_s * US_PER_SECOND)
            self.current.record_value(
                min(const.MAX_LATENCY_US, max(const.MIN_LATENCY_US, value_us)),
            )
        self.batch.clear()

    def _turn(self, now: float) -> None:
        """Begin a new window when the present one is over."""
        if self.turned_at is None:
            self.turned_at = now
        age_s = now - self.turned_at
        if age_s < self.window_s:
            return
        fresh = age_s < self.window_s * 2
        self.previous = self.current if fresh else _histogram()
        self.current = _histogram()
        self.turned_at = now


def may_hedge_to(view: ReplicaView) -> bool:
    """Return whether a replica is fit for a second try."""
    return not (view.cold or view.full or view.out or view.ejected)


def are_stragglers(
    *,
    still_open: int,
    fan_out: int,
    waited_s: float,
    delay_s: float,
) -> bool:
    """Return whether the open shards of a query are worth a hedge.

    While many are open the cause is a common one, such as a busy entry, and
    hedges would use up the budget for answers that are on their way; but one
    that lasts some hedge delays may be a lost connection to a peer.
    """
    if waited_s >= delay_s * const.COMMON_CAUSE_DELAYS:
        return True
    return still_open <= max(1, math.ceil(fan_out * const.STRAGGLER_SHARE))


def hedge_delay_s(
    *,
    track: LatencyTrack,
    now: float,
    remaining_s: float,
    quantile: float = const.DEFAULT_HEDGE_QUANTILE,
    floor_s: float = const.DEFAULT_HEDGE_FLOOR_S,
) -> float | None:
    """Return the seconds to wait before a second replica is asked.

    None when the second answer would not come in the remaining time. Before
    there are enough samples half of the remaining time passes first.
    """
    slow_s = track.quantile(quantile, now)
    median_s = track.quantile(MEDIAN, now)
    if slow_s is None or median_s is None:
        late_s = remaining_s * const.LATE_HEDGE_SHARE
        return late_s if late_s >= floor_s else None
    delay_s = max(floor_s, slow_s)
    if delay_s + median_s >= remaining_s:
        return None
    return delay_s


def _histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(
        const.MIN_LATENCY_US, const.MAX_LATENCY_US, const.LATENCY_DIGITS
    )
