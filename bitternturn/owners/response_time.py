"""Estimate of the latency of a target."""

from bitternturn.owners import const


class ResponseTime:
    """Moving averages of latency and deviation, as in TCP's RTO (RFC 6298)."""

    __slots__ = ('deviation_s', 'smoothed_s')

    def __init__(self) -> None:
        """Initialise with an estimate for an unknown target."""
        self.smoothed_s = const.INITIAL_LATENCY_S
        self.deviation_s = const.INITIAL_LATENCY_S / 2

    def record(self, latency_s: float) -> None:
        """Record the latency of one answer."""
        error_s = latency_s - self.smoothed_s
        self.smoothed_s += error_s * const.LATENCY_SMOOTHING
        change_s = abs(error_s) - self.deviation_s
        self.deviation_s += change_s * const.DEVIATION_SMOOTHING

    def silence_timeout_s(self, remaining_s: float) -> float:
        """Return the time without a byte after which to suspect a connection.

        Half of the remaining time is left for a retry over another connection,
        unless the typical latency is longer than that: a late answer to a
        request sent close to its deadline does not indicate a broken
        connection.
        """
        typical_s = self.smoothed_s + self.deviation_s * const.DEVIATION_FACTOR
        bound_s = max(
            const.MIN_SILENCE_TIMEOUT_S,
            typical_s * const.SILENCE_TIMEOUT_FACTOR,
        )
        latest_s = remaining_s * const.MAX_SILENCE_TIMEOUT_SHARE
        return min(bound_s, max(latest_s, typical_s))
