"""Decision when to hedge a request with a second replica."""

import math

from hdrh.histogram import HdrHistogram

from bitternturn.policy import const
from bitternturn.policy.budget import TokenBudget
from bitternturn.policy.replicas import ReplicaView

US_PER_SECOND = 1_000_000
PERCENT = 100
MEDIAN = 0.5


class HedgeBudget(TokenBudget):
    """Limits the extra load of hedging."""

    __slots__ = ()


class LatencyWindow:
    """Latency quantiles over the last one to two windows.

    Latencies are recorded in batches and quantiles are cached for
    `LATENCY_REFRESH_S`, since both operations on the histogram are slow.
    """

    __slots__ = (
        'batch',
        'batch_started_at',
        'cache',
        'cached_at',
        'current',
        'previous',
        'min_samples',
        'window_s',
        'window_started_at',
    )

    def __init__(
        self,
        *,
        window_s: float = const.DEFAULT_LATENCY_WINDOW_S,
        min_samples: int = const.MIN_LATENCY_SAMPLES,
    ) -> None:
        """Initialise without samples; quantiles need `min_samples`."""
        self.window_s = window_s
        self.min_samples = min_samples
        self.current = _histogram()
        self.previous = _histogram()
        self.batch: list[float] = []
        self.batch_started_at: float = 0
        self.window_started_at: float | None = None
        self.cache: dict[float, float | None] = {}
        self.cached_at: float = 0

    def record(self, latency_s: float, now: float) -> None:
        """Record the latency of one answer, in seconds."""
        if not self.batch:
            self.batch_started_at = now
        self.batch.append(latency_s)
        if now - self.batch_started_at >= const.LATENCY_REFRESH_S:
            self._flush()

    def quantile(self, q: float, now: float) -> float | None:
        """Return a quantile in seconds, or None without enough samples."""
        if now - self.cached_at >= const.LATENCY_REFRESH_S:
            self.cache.clear()
            self.cached_at = now
        if q not in self.cache:
            self.cache[q] = self._compute_quantile(q, now)
        return self.cache[q]

    def _compute_quantile(self, q: float, now: float) -> float | None:
        """Compute a quantile over both windows."""
        self._flush()
        self._rotate(now)
        merged = _histogram()
        merged.add(self.previous)
        merged.add(self.current)
        if merged.get_total_count() < self.min_samples:
            return None
        latency_us: float = merged.get_value_at_percentile(q * PERCENT)
        return latency_us / US_PER_SECOND

    def _flush(self) -> None:
        """Record the batch in the window in which it was started."""
        self._rotate(self.batch_started_at)
        for latency_s in self.batch:
            latency_us = int(latency_s * US_PER_SECOND)
            self.current.record_value(
                min(
                    const.MAX_LATENCY_US, max(const.MIN_LATENCY_US, latency_us)
                ),
            )
        self.batch.clear()

    def _rotate(self, now: float) -> None:
        """Start a new window if the current one has ended."""
        if self.window_started_at is None:
            self.window_started_at = now
        age_s = now - self.window_started_at
        if age_s < self.window_s:
            return
        recent = age_s < self.window_s * 2
        self.previous = self.current if recent else _histogram()
        self.current = _histogram()
        self.window_started_at = now


def may_hedge_to(view: ReplicaView) -> bool:
    """Return whether a replica may receive a hedge."""
    return not (view.cold or view.full or view.out_of_service or view.ejected)


def are_stragglers(
    *,
    pending: int,
    fan_out: int,
    waited_s: float,
    delay_s: float,
) -> bool:
    """Return whether the pending shards of a query should be hedged.

    While many shards are pending, the cause is likely a common one such as a
    busy instance, and hedges would spend the budget on answers that are about
    to arrive. If it lasts for several hedge delays, a connection to a peer
    may be lost, and hedges are sent regardless.
    """
    if waited_s >= delay_s * const.MAX_COMMON_CAUSE_DELAYS:
        return True
    return pending <= max(1, math.ceil(fan_out * const.STRAGGLER_SHARE))


def hedge_delay_s(
    *,
    latencies: LatencyWindow,
    now: float,
    remaining_s: float,
    quantile: float = const.DEFAULT_HEDGE_QUANTILE,
    min_delay_s: float = const.DEFAULT_MIN_HEDGE_DELAY_S,
) -> float | None:
    """Return the delay of a hedge in seconds.

    Return None if the answer to the hedge would not arrive in the remaining
    time. Without enough samples the delay is half of the remaining time.
    """
    quantile_s = latencies.quantile(quantile, now)
    median_s = latencies.quantile(MEDIAN, now)
    if quantile_s is None or median_s is None:
        unsampled_delay_s = remaining_s * const.UNSAMPLED_HEDGE_SHARE
        return unsampled_delay_s if unsampled_delay_s >= min_delay_s else None
    delay_s = max(min_delay_s, quantile_s)
    if delay_s + median_s >= remaining_s:
        return None
    return delay_s


def _histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(
        const.MIN_LATENCY_US,
        const.MAX_LATENCY_US,
        const.LATENCY_SIGNIFICANT_DIGITS,
    )
