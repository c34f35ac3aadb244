"""How long a target usually takes to answer."""

from bitternturn.owners import const


class ResponseTime:
    """Smoothed latency and its deviation, as for retransmission of TCP."""

    __slots__ = ('deviation_s', 'smoothed_s')

    def __init__(self) -> None:
        """Start with a guess."""
        self.smoothed_s = const.FIRST_LATENCY_S
        self.deviation_s = const.FIRST_LATENCY_S / 2

    def record(self, latency_s: float) -> None:
        """Take in the latency of one answer."""
        error_s = latency_s - self.smoothed_s
        self.smoothed_s += error_s * const.LATENCY_SMOOTHING
        change_s = abs(error_s) - self.deviation_s
        self.deviation_s += change_s * const.DEVIATION_SMOOTHING

    def silent_after_s(self, remaining_s: float) -> float:
        """Return after which time without a byte a connection is suspect.

        Half of the remaining time is left for another connection, unless an
        answer may well take longer than that: work that was short of time
        when it was sent is no sign of a broken connection.
        """
        usual_s = self.smoothed_s + self.deviation_s * const.DEVIATIONS
        bound_s = max(const.SILENT_FLOOR_S, usual_s * const.SILENT_FACTOR)
        latest_s = remaining_s * const.SILENT_LATEST_SHARE
        return min(bound_s, max(latest_s, usual_s))
